//! Key of a request known to the dispatch engine.

slotmap::new_key_type! {
    /// Identifies a request known to the dispatch engine within one process; it has no meaning outside of it.
    pub struct Key;
}
