//! Task that receives replies and control messages on an exchange thread.

use super::{
    Control,
    context::Context,
    listener::Phase, //
};
use crate::{
    Reply,
    caller::Directory, //
};
use sassafrascrank_ring::{
    Receiver,
    Signal, //
};
use std::{
    collections::HashSet,
    rc::Rc, //
};
use tokio::sync::watch;

/// Receiving ends of the rings of an exchange thread.
#[derive(Debug)]
pub(super) struct Inbox {
    pub(super) replies: Receiver<Reply>,
    pub(super) controls: Vec<Receiver<Control>>,
    pub(super) signal: Signal,
}

/// Delivers replies to waiting callers and applies control messages.
pub(super) struct InboxTask {
    pub(super) inbox: Inbox,
    pub(super) context: Rc<Context>,
    pub(super) phase: watch::Sender<Phase>,
}

impl InboxTask {
    /// Runs until the task is aborted.
    pub(super) async fn run(mut self) {
        loop {
            while let Some(control) = self.next_control() {
                self.apply(control);
            }
            while let Some(reply) = self.inbox.replies.try_recv() {
                self.context.waiters.deliver(reply);
            }
            let inbox = &self.inbox;
            let controls = || inbox.controls.iter().any(|ring| !ring.is_empty());
            let ready = || !inbox.replies.is_empty() || controls();
            inbox.signal.wait(ready).await;
        }
    }

    fn next_control(&mut self) -> Option<Control> {
        self.inbox.controls.iter_mut().find_map(Receiver::try_recv)
    }

    fn apply(&self, control: Control) {
        match control {
            Control::Configure(snapshot) => {
                let addresses: HashSet<_> = snapshot
                    .upstreams
                    .iter()
                    .map(|upstream| upstream.address)
                    .collect();
                self.context
                    .connections
                    .retain(|address| addresses.contains(address));
                let directory = Directory::from(snapshot.as_ref());
                *self.context.directory.borrow_mut() = Rc::new(directory);
            }
            Control::Drain => self.context.draining.set(true),
            Control::Close => {
                self.context.draining.set(true);
                self.phase.send_replace(Phase::Closing);
            }
        }
    }
}
