//! Key of an entry process, which accepts requests of customers and forwards them to upstreams.

slotmap::new_key_type! {
    /// Identifies an entry process within one process; it has no meaning outside of it.
    pub struct Key;
}
