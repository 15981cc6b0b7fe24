//! Bounds of an exchange thread.

use core::time::Duration;

/// Bounds of one exchange thread.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Most open connections of callers.
    pub connections: usize,
    /// Most requests that wait for a decision or an answer at once.
    pub callers: usize,
    /// Largest body in bytes of a request that is held for a retry, and of an answer that is stored for repeats.
    pub body_bytes: usize,
    /// Largest body in bytes of a request with an idempotency key; it is always held, because the fingerprint of the
    /// request covers the whole body.
    pub keyed_body_bytes: usize,
    /// Most memory in bytes for held request bodies. Above it, idempotent requests are streamed and can't be retried,
    /// and requests with an idempotency key are refused.
    pub buffer_bytes: usize,
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest time for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a new or idle connection stays open for one more request once the thread is closing.
    pub idle_close_timeout: Duration,
    /// Longest time for a caller to send a body that is held in memory.
    pub body_timeout: Duration,
}

impl Limit {
    /// Messages that one waiting request may have in the ring to the dispatch thread at once: `Arrive`, `Finish`,
    /// `Draining` and `Cancel`.
    pub const MESSAGES_PER_CALLER: usize = 4;

    /// Returns the number of messages that each ring to and from the dispatch thread must hold.
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
