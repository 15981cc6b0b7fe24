//! Sender of events that several tasks of one thread share.

use super::Event;
use core::time::Duration;
use sassafrascrank_ring::Sender;
use std::{
    cell::RefCell,
    rc::Rc, //
};
use tokio::time::sleep;

/// Pause before the next attempt to send while the ring is full.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// Sender of events that several tasks of one thread share.
#[derive(Clone)]
pub(super) struct EventSender(Rc<RefCell<Sender<Event>>>);

impl EventSender {
    pub(super) fn new(sender: Sender<Event>) -> Self {
        Self(Rc::new(RefCell::new(sender)))
    }

    /// Sends an event, and waits while the ring is full. Drops the event if the receiver is gone.
    pub(super) async fn send(&self, event: Event) {
        let mut event = event;
        loop {
            let sent = self.0.borrow_mut().send(event);
            match sent {
                Ok(()) => return,
                Err(back) => event = back,
            }
            if self.0.borrow().is_closed() {
                return;
            }
            sleep(FULL_PAUSE).await;
        }
    }
}
