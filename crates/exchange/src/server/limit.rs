//! Bounds of an exchange thread.

use core::time::Duration;

/// Bounds of one exchange thread.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Most connections of callers.
    pub connections: usize,
    /// Most requests that wait for a decision or an answer.
    pub callers: usize,
    /// Largest request body in bytes that is held for a retry, and answer body that is held for repeats.
    pub body_bytes: usize,
    /// Largest body in bytes of a request that may run only once; it is always held, since its key stands for all of it.
    pub keyed_body_bytes: usize,
    /// Most memory in bytes for held request bodies; above it, bodies of idempotent requests are streamed and can't be
    /// retried, and keyed requests are refused.
    pub buffer_bytes: usize,
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest time for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// Longest wait for the next request of a new or idle connection after the thread has closed.
    pub idle_close_timeout: Duration,
    /// Longest time for a caller to send a body that is held.
    pub body_timeout: Duration,
}

impl Limit {
    /// Messages that one waiting request may have in the ring to the dispatch thread at once: its arrival, the end
    /// of an attempt, a drain sign and its cancellation.
    pub const MESSAGES_PER_CALLER: usize = 4;

    /// Returns the capacity that the rings to and from the dispatch thread need.
    pub const fn ring_capacity(&self) -> usize {
        self.callers * Self::MESSAGES_PER_CALLER
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            connections: 4_096,
            callers: 4_096,
            body_bytes: 64 * 1_024,
            keyed_body_bytes: 1_024 * 1_024,
            buffer_bytes: 32 * 1_024 * 1_024,
            head_bytes: 64 * 1_024,
            head_timeout: Duration::from_secs(10),
            idle_close_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(30),
        }
    }
}
