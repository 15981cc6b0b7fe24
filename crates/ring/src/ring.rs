//! Sender and receiver of a ring.

use crate::Signal;
use std::sync::atomic::{
    Ordering,
    fence, //
};

/// Producing end of a ring.
#[derive(Debug)]
pub struct Sender<T> {
    producer: rtrb::Producer<T>,
    signal: Signal,
}

/// Consuming end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: rtrb::Consumer<T>,
}

/// Creates a ring for `capacity` items, whose consumer waits on `signal`.
pub fn ring<T>(capacity: usize, signal: &Signal) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let signal = signal.clone();
    (Sender { producer, signal }, Receiver { consumer })
}

impl<T> Sender<T> {
    /// Puts an item into the ring and wakes the consumer if it is waiting.
    ///
    /// # Errors
    ///
    /// Returns the item if the ring is full.
    pub fn send(&mut self, item: T) -> Result<(), T> {
        self.producer
            .push(item)
            .map_err(|rtrb::PushError::Full(item)| item)?;
        // Orders the push before the check of the consumer's flag in `raise`. It pairs with the fence in
        // `Receiver::is_empty`, which orders the setting of the flag before the check for items.
        fence(Ordering::SeqCst);
        self.signal.raise();
        Ok(())
    }

    /// Returns how many items can be sent before the ring is full.
    pub fn free(&self) -> usize {
        self.producer.slots()
    }

    /// Returns whether the receiver was dropped.
    pub fn is_closed(&self) -> bool {
        self.producer.is_abandoned()
    }
}

impl<T> Receiver<T> {
    /// Removes and returns the oldest item, or `None` if the ring is empty.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        fence(Ordering::SeqCst);
        self.consumer.is_empty()
    }

    /// Returns whether the sender was dropped; items may still be in the ring.
    pub fn is_closed(&self) -> bool {
        self.consumer.is_abandoned()
    }
}
