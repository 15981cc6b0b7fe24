//! Ring that carries the events of one thread to the observe thread.

use super::Event;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
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

/// Reading end of a thread's event ring, held by the observe thread.
#[derive(Debug)]
pub struct Source {
    thread: &'static str,
    receiver: Receiver<Event>,
    dropped: Arc<AtomicU64>,
}

/// Creates the event ring of the thread named `thread`, with room for `capacity` events.
pub fn ring(thread: &'static str, capacity: usize, signal: &Signal) -> (Sink, Source) {
    let (sender, receiver) = sassafrascrank_ring::ring(capacity, signal);
    let dropped = Arc::new(AtomicU64::new(0));
    let sink = Sink {
        sender,
        dropped: Arc::clone(&dropped),
    };
    let source = Source {
        thread,
        receiver,
        dropped,
    };
    (sink, source)
}

impl Sink {
    /// Records an event. If the ring is full, drops the event and counts it. Never allocates.
    ///
    /// Record an event before passing its effect to another thread, so that the time line shows cause and effect in
    /// order.
    #[inline]
    pub fn record(&mut self, event: Event) {
        if self.sender.send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of events dropped since the ring was created.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Source {
    /// Returns the name of the recording thread.
    pub fn thread(&self) -> &'static str {
        self.thread
    }

    /// Takes the oldest event, if there is one.
    pub fn try_recv(&mut self) -> Option<Event> {
        self.receiver.try_recv()
    }

    /// Tells whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.receiver.is_empty()
    }

    /// Returns the number of events dropped since the ring was created.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
