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

/// Report of another entry, in the form that the dispatch thread needs.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// The entry that sent the report.
    pub entry: Entry,
    /// Its availability zone.
    pub zone: Name,
    /// Address at which it listens for callers.
    pub callers: SocketAddr,
    /// Its demand for all pools.
    pub demands: Vec<Demand>,
    /// Upstreams that are draining.
    pub drain_notices: Vec<DrainNotice>,
    /// Request to confirm a membership view.
    pub request: Option<Request>,
    /// Answer to a request of this entry.
    pub answer: Option<Answer>,
    /// Whether it asks for an acknowledgement of its join.
    pub joining: bool,
    /// Acknowledgement of this entry's join.
    pub join_ack: Option<JoinAck>,
}

/// Configuration, membership and host list of this process, which peers can fetch.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// Configuration, once it is complete.
    pub config: Option<Arc<Image>>,
    /// Membership.
    pub member: Arc<View>,
    /// Host list; empty until the platform has returned one.
    pub hosts: Arc<Vec<Host>>,
}

/// Message from another thread to the peer thread.
#[derive(Debug)]
pub enum Notice {
    /// Demand of this entry, and whether it still needs an acknowledgement of its join.
    Demand {
        /// Demand for all pools.
        demands: Vec<Demand>,
        /// Whether the entry has joined and needs an acknowledgement.
        joining: bool,
    },
    /// Ask peers to confirm the view.
    ConfirmationRequests(Vec<Request>),
    /// Answer to a peer's confirmation request.
    Confirmation(Entry, Answer),
    /// Acknowledgement of a peer's join.
    JoinAck(JoinAck),
    /// A member could not be retired now; try again later.
    PostponeRetirement(Entry),
    /// An upstream is draining; tell the peers.
    UpstreamDraining(DrainNotice),
    /// Hand outcomes over to the peer at this address.
    HandOver(Box<Handover>, SocketAddr),
    /// Result of the handover with this number, with the reason if it was rejected.
    HandoverResult(u64, Result<(), String>),
    /// New state that peers can fetch.
    LocalState(LocalState),
    /// This process joins again as a new incarnation.
    NewIncarnation(Entry),
    /// Finish the running handovers, then end the thread.
    Stop,
}

/// Ends of all rings of the peer thread.
#[derive(Debug)]
pub struct Port {
    /// Notices from the other threads, one ring for each.
    pub notices: Vec<Receiver<Notice>>,
    /// Directives for the dispatch thread.
    pub dispatch: Sender<Directive>,
    /// Newer state of peers, for the platform thread.
    pub platform: Sender<State>,
    /// Events for the observe thread.
    pub sink: Sink,
    /// Signal through which all rings wake this thread.
    pub signal: Signal,
}
