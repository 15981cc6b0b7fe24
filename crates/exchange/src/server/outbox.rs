//! Sender of messages to the dispatch thread.

use crate::Message;
use sassafrascrank_ring::Sender;
use std::{
    cell::RefCell,
    rc::Rc, //
};

/// Sender of messages to the dispatch thread, shared by all requests of this thread.
#[derive(Clone, Debug)]
pub(super) struct Outbox(Rc<RefCell<Sender<Message>>>);

impl Outbox {
    pub(super) fn new(sender: Sender<Message>) -> Self {
        Self(Rc::new(RefCell::new(sender)))
    }

    /// Sends a message; returns whether the ring had room for it.
    ///
    /// The ring has room for every message of every waiting request, so it is full only if that thread has died.
    pub(super) fn send(&self, message: Message) -> bool {
        self.0.borrow_mut().send(message).is_ok()
    }
}
