//! Ring that carries the events of one thread to the thread that writes log lines and metrics.

use crate::Event;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal,
    ring, //
};
use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

/// Recording end of a thread's event ring.
#[derive(Debug)]
pub struct Sink {
    sender: Sender<Event>,
    dropped: Arc<AtomicU64>,
}

/// Reading end of a thread's event ring.
#[derive(Debug)]
pub struct Source {
    pub(crate) thread: &'static str,
    pub(crate) receiver: Receiver<Event>,
    pub(crate) dropped: Arc<AtomicU64>,
}

/// Creates the event ring of the named thread, with room for `capacity` events.
pub fn sink(thread: &'static str, capacity: usize, signal: &Signal) -> (Sink, Source) {
    let (sender, receiver) = ring(capacity, signal);
    let dropped = Arc::new(AtomicU64::new(0));
    let source = Source {
        thread,
        receiver,
        dropped: Arc::clone(&dropped),
    };
    (Sink { sender, dropped }, source)
}

impl Sink {
    /// Records an event, or counts it as dropped if the ring is full.
    pub fn record(&mut self, event: Event) {
        if self.sender.send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
