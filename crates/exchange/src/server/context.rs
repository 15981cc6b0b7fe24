//! State that all requests of one exchange thread share.

use super::{
    Limit,
    outbox::Outbox,
    request::BufferUsage,
    waiter::Waiters, //
};
use crate::{
    caller::Directory,
    upstream::Connections, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::event::{
    Event,
    Sink,
    request, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc, //
};

/// State that all requests of one exchange thread share.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) waiters: Waiters,
    pub(super) outbox: Outbox,
    pub(super) connections: Connections,
    pub(super) directory: RefCell<Rc<Directory>>,
    pub(super) buffer_usage: BufferUsage,
    pub(super) limit: Limit,
    pub(super) clock: fn() -> Time,
    pub(super) draining: Cell<bool>,
    pub(super) counter: RefCell<request::Counter>,
    pub(super) sink: RefCell<Sink>,
}

impl Context {
    /// Records the refusal of a request that the dispatch thread never received.
    pub(super) fn record_refusal(&self, refusal: &Refusal) {
        let event = Event::refused((self.clock)(), refusal);
        self.sink.borrow_mut().record(event);
    }

    pub(super) fn next_id(&self) -> request::Id {
        self.counter.borrow_mut().next_id()
    }
}
