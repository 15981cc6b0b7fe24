//! Sending of events by several tasks of one thread.

use super::Event;
use core::time::Duration;
use sassafrascrank_ring::Sender;
use std::{
    cell::RefCell,
    rc::Rc, //
};
use tokio::time::sleep;

/// Pause before another try when the ring is full.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// Sending end that several tasks of one thread share.
#[derive(Clone)]
pub(super) struct Outlet(Rc<RefCell<Sender<Event>>>);

impl Outlet {
    pub(super) fn new(sender: Sender<Event>) -> Self {
        Self(Rc::new(RefCell::new(sender)))
    }

    /// Sends an event, and waits while the ring is full.
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
