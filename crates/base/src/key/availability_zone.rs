//! Key of an availability zone.

slotmap::new_key_type! {
    /// Identifies an availability zone within one process; it has no meaning outside of it.
    pub struct Key;
}
