//! Key of a rack.

slotmap::new_key_type! {
    /// Identifies a rack within one process; it has no meaning outside of it.
    pub struct Key;
}
