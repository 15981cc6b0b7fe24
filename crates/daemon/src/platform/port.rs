//! Rings of the platform thread.

use crate::{
    dispatch::Directive,
    peer::Notice, //
};
use sassafrascrank_claim::member::Record;
use sassafrascrank_exchange::Control;
use sassafrascrank_observe::{
    event::Sink,
    names::Table,
    status::update::Update, //
};
use sassafrascrank_peer::message::State;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};

/// Ends of all rings of the platform thread.
#[derive(Debug)]
pub struct Port {
    /// Directives for the dispatch thread.
    pub dispatch: Sender<Directive>,
    /// Control messages for each exchange thread.
    pub exchanges: Vec<Sender<Control>>,
    /// Membership records to append.
    pub records: Receiver<Record>,
    /// State of peers that is newer than that of this process.
    pub states: Receiver<State>,
    /// Notices for the peer thread.
    pub peer: Sender<Notice>,
    /// Names for the observe thread.
    pub names: Sender<Table>,
    /// Status for the observe thread.
    pub updates: Sender<Update>,
    /// Events for the observe thread.
    pub sink: Sink,
    /// Request to stop.
    pub stop: Receiver<()>,
    /// Signal through which the rings wake this thread.
    pub signal: Signal,
}
