//! Key of a customer.

slotmap::new_key_type! {
    /// Identifies a customer within one process; it has no meaning outside of it.
    pub struct Key;
}
