//! Rings of the dispatch thread.

use crate::peer::{
    Notice,
    PeerReport, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::member::{
    Entry,
    Record,
    View, //
};
use sassafrascrank_dispatch::Snapshot;
use sassafrascrank_exchange::{
    Message,
    Reply, //
};
use sassafrascrank_observe::{
    event::Sink,
    status::update::Update, //
};
use sassafrascrank_peer::message::{
    Demand,
    Handover, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use std::sync::Arc;

/// Rings from and to one exchange thread.
#[derive(Debug)]
pub struct Channel {
    /// Messages from the exchange thread.
    pub messages: Receiver<Message>,
    /// Replies to the exchange thread.
    pub replies: Sender<Reply>,
}

/// Ends of all rings of the dispatch thread.
#[derive(Debug)]
pub struct Port {
    /// Rings from and to the exchange threads, by the index of the thread.
    pub channels: Vec<Channel>,
    /// Directives from the main, platform and peer threads, one ring for each.
    pub directives: Vec<Receiver<Directive>>,
    /// Membership records for the platform thread to append.
    pub records: Sender<Record>,
    /// Notices for the peer thread.
    pub peer: Sender<Notice>,
    /// Status for the observe thread.
    pub updates: Sender<Update>,
    /// Events for the observe thread.
    pub sink: Sink,
    /// Signal through which all rings wake this thread.
    pub signal: Signal,
}

/// Message from the main, platform or peer thread to the dispatch thread.
#[derive(Debug)]
pub enum Directive {
    /// Put a new configuration or host list into force.
    Configure(Arc<Snapshot>),
    /// Apply records of the stream `member`, with their offsets.
    Members {
        /// Records in the order of their offsets.
        records: Arc<[(u64, Record)]>,
        /// When the read of these records ended.
        read: Time,
    },
    /// Confirm the membership view, because the stream `member` was read to its end.
    ConfirmView {
        /// When that read started.
        start: Time,
        /// Offset of the last record, 0 for none.
        end: u64,
    },
    /// Import a membership view of a peer that is newer than the records read so far.
    ImportView(Arc<View>),
    /// Apply the report of another entry.
    PeerReport(Box<PeerReport>),
    /// Demand of this entry as its latest reports state it.
    DemandReported(Vec<Demand>),
    /// A peer has stopped sending reports.
    PeerLost(Entry),
    /// Retire a member of this entry's zone that has stopped sending reports.
    Retire(Entry),
    /// Accept a handover and send the result to the peer thread under this number.
    AcceptHandover(u64, Box<Handover>),
    /// The graceful shutdown has begun; requests are still served.
    Drain,
    /// Leave the membership, so that the keys of this entry move to others.
    Leave,
    /// Hand outcomes over to the entries that own the keys next; sent after the last request has ended.
    HandOver,
    /// End the thread.
    Stop,
}

/// Rings of the running thread, without the event sink, which the recorder owns.
#[derive(Debug)]
pub(super) struct Rings {
    pub(super) channels: Vec<Channel>,
    directives: Vec<Receiver<Directive>>,
    pub(super) records: Sender<Record>,
    pub(super) peer: Sender<Notice>,
    pub(super) updates: Sender<Update>,
    pub(super) signal: Signal,
}

impl Port {
    pub(super) fn split(self) -> (Rings, Sink) {
        let rings = Rings {
            channels: self.channels,
            directives: self.directives,
            records: self.records,
            peer: self.peer,
            updates: self.updates,
            signal: self.signal,
        };
        (rings, self.sink)
    }
}

impl Rings {
    /// Returns whether any ring holds a message.
    pub(super) fn is_ready(&self) -> bool {
        self.channels
            .iter()
            .any(|channel| !channel.messages.is_empty())
            || self.directives.iter().any(|ring| !ring.is_empty())
    }

    pub(super) fn next_directive(&mut self) -> Option<Directive> {
        self.directives.iter_mut().find_map(Receiver::try_recv)
    }

    pub(super) fn reply(&mut self, reply: Reply) {
        let thread = usize::from(reply.caller().thread);
        if let Some(channel) = self.channels.get_mut(thread) {
            // The ring has room for a reply to every waiting caller; it fills up only if the exchange thread has ended.
            channel.replies.send(reply).ok();
        }
    }
}
