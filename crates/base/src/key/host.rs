//! Key of a host.

slotmap::new_key_type! {
    /// Identifies a host within one process; it has no meaning outside of it.
    pub struct Key;
}
