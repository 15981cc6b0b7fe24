//! Rings of the peer thread and the messages in them.

use crate::dispatch::Directive;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    lease::{
        Answer,
        JoinAck,
        Request, //
    },
    member::{
        Entry,
        View, //
    },
};
use sassafrascrank_ledger::Image;
use sassafrascrank_observe::event::Sink;
use sassafrascrank_peer::message::{
    Demand,
    DrainNotice,
    Handover,
    Host,
    State, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use std::sync::Arc;

/// What another entry reported, for the dispatch thread.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The entry.
    pub entry: Entry,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Its whole demand.
    pub demands: Vec<Demand>,
    /// Upstreams that are leaving.
    pub signs: Vec<DrainNotice>,
    /// Asks this entry to confirm a view.
    pub request: Option<Request>,
    /// Answers a request of this entry.
    pub answer: Option<Answer>,
    /// Whether it asks for a testimony of its join.
    pub joining: bool,
    /// Its testimony of this entry's join.
    pub witness: Option<JoinAck>,
}

/// Configuration and membership that this process holds.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    /// Configuration, once it is complete.
    pub config: Option<Arc<Image>>,
    /// Membership.
    pub member: Arc<View>,
    /// Host list; empty if the platform has not shown one.
    pub hosts: Arc<Vec<Host>>,
}

/// From the other threads to the peer thread.
#[derive(Debug)]
pub enum Notice {
    /// Demand of this entry, and whether it still needs a witness.
    Demand {
        /// Whole demand.
        demands: Vec<Demand>,
        /// Whether the entry has joined and needs a witness.
        joining: bool,
    },
    /// Ask peers to confirm the view.
    Requests(Vec<Request>),
    /// Answer to a peer's request.
    Answer(Entry, Answer),
    /// Testimony for a peer.
    Testimony(JoinAck),
    /// A member could not be retired now.
    Postpone(Entry),
    /// An upstream is leaving.
    Leaving(DrainNotice),
    /// Outcomes that a peer needs.
    HandOver(Box<Handover>, SocketAddr),
    /// Whether the handover with this number was accepted.
    Accepted(u64, Result<(), String>),
    /// New state to hand to peers.
    Holding(Holding),
    /// This process goes on as another incarnation.
    Rename(Entry),
    /// Finish handovers, then end the thread.
    Stop,
}

/// Ends of all rings of the peer thread.
#[derive(Debug)]
pub struct Port {
    /// Notices of the other threads, one ring for each.
    pub notices: Vec<Receiver<Notice>>,
    /// To the dispatch thread.
    pub dispatch: Sender<Directive>,
    /// To the platform thread: state of a peer that is newer.
    pub platform: Sender<State>,
    /// Events for the observe thread.
    pub sink: Sink,
    /// Signal on which all rings wake this thread.
    pub signal: Signal,
}
