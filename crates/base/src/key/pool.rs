//! Key of a pool.

slotmap::new_key_type! {
    /// Identifies a pool within one process; it has no meaning outside of it.
    pub struct Key;
}
