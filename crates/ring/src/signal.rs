//! Signal by which many producers wake one consumer.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};
use tokio::sync::Notify;

/// Wakes the consumer of one or more rings.
///
/// A wake-up costs far more than a push, so producers wake the consumer only if it is waiting.
#[derive(Clone, Debug, Default)]
pub struct Signal(Arc<State>);

#[derive(Debug, Default)]
struct State {
    waiting: AtomicBool,
    notify: Notify,
}

impl Signal {
    /// Creates a signal whose consumer is not waiting.
    pub fn new() -> Self {
        Self::default()
    }

    /// Wakes the consumer if it is waiting.
    #[inline]
    pub fn raise(&self) {
        // This swap and the one in `wait` have a total order, so it cannot happen that the producer misses the flag and
        // the consumer misses the item.
        if self.0.waiting.swap(false, Ordering::SeqCst) {
            self.0.notify.notify_one();
        }
    }

    /// Waits until a producer raises the signal, or returns immediately if `ready` returns true.
    ///
    /// `ready` must check all rings of the consumer for items.
    pub async fn wait(&self, ready: impl Fn() -> bool) {
        self.0.waiting.swap(true, Ordering::SeqCst);
        if ready() {
            self.0.waiting.store(false, Ordering::SeqCst);
            return;
        }
        self.0.notify.notified().await;
    }
}
