//! Key of an upstream.

slotmap::new_key_type! {
    /// Identifies an upstream within one process; it has no meaning outside of it.
    pub struct Key;
}
