//! Callers that wait for a reply of the dispatch thread.

use crate::Reply;
use sassafrascrank_base::prelude::*;
use slotmap::SlotMap;
use std::{
    cell::RefCell,
    rc::Rc, //
};
use tokio::sync::Notify;

/// Arena of the waiting callers of one exchange thread.
#[derive(Clone, Debug)]
pub(super) struct Waiters {
    thread: u8,
    limit: usize,
    arena: Rc<RefCell<SlotMap<caller::Key, Rc<ReplySlot>>>>,
}

/// Waiting caller; dropping it removes it from the arena.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) handle: caller::Handle,
    slot: Rc<ReplySlot>,
    waiters: Waiters,
}

/// Latest reply for one caller.
#[derive(Debug, Default)]
struct ReplySlot {
    reply: RefCell<Option<Reply>>,
    notify: Notify,
}

impl Waiters {
    pub(super) fn new(thread: u8, limit: usize) -> Self {
        Self {
            thread,
            limit,
            arena: Rc::new(RefCell::new(SlotMap::with_capacity_and_key(limit))),
        }
    }

    /// Adds a caller, or returns `None` if the arena is full.
    pub(super) fn insert(&self) -> Option<Waiter> {
        let mut arena = self.arena.borrow_mut();
        if arena.len() >= self.limit {
            return None;
        }
        let slot = Rc::new(ReplySlot::default());
        let handle = caller::Handle {
            thread: self.thread,
            key: arena.insert(slot.clone()),
        };
        Some(Waiter {
            handle,
            slot,
            waiters: self.clone(),
        })
    }

    /// Delivers a reply to its caller; a reply to a caller that no longer waits is discarded.
    pub(super) fn deliver(&self, reply: Reply) {
        let arena = self.arena.borrow();
        if let Some(slot) = arena.get(reply.caller().key) {
            slot.reply.replace(Some(reply));
            slot.notify.notify_one();
        }
    }

    /// Returns the number of waiting callers.
    pub(super) fn len(&self) -> usize {
        self.arena.borrow().len()
    }
}

impl Waiter {
    /// Waits for the next reply.
    pub(super) async fn reply(&self) -> Reply {
        loop {
            if let Some(reply) = self.slot.reply.take() {
                return reply;
            }
            self.slot.notify.notified().await;
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.waiters.arena.borrow_mut().remove(self.handle.key);
    }
}
