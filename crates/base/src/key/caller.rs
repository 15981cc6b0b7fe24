//! Key of a caller that waits for an answer.

slotmap::new_key_type! {
    /// Identifies a waiting caller within one exchange thread.
    pub struct Key;
}

/// Identifies a waiting caller within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Handle {
    /// Index of the exchange thread.
    pub thread: u8,
    /// Key within that thread.
    pub key: Key,
}
