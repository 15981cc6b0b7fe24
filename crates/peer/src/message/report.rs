//! Report and its answer.

use super::Demand;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::{
    Name,
    Time, //
};
use sassafrascrank_claim::{
    lease::{
        self,
        JoinAck, //
    },
    member::Entry, //
};

/// An entry process and where it is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// The process.
    pub entry: Entry,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
}

/// An upstream that is leaving.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DrainNotice {
    /// Its host.
    pub host: Name,
    /// Incarnation of the host; a later one is not leaving.
    pub incarnation: u64,
}

/// What an entry tells a peer about itself.
///
/// The answer to a report is a report of the receiver, so that one exchange serves both directions. Requests, answers
/// and testimonies travel with the next report in either direction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Who sends it.
    pub sender: Sender,
    /// Number of the report among those that the sender made for the receiver, from 1.
    pub sequence: u64,
    /// Present time at the sender, in whole milliseconds on the wire.
    pub now: Time,
    /// Offset of the configuration in force, 0 for none.
    pub config_offset: u64,
    /// Offset of the membership view.
    pub membership_offset: u64,
    /// Offset of the last record that changed the sender's zone.
    pub revision: u64,
    /// Whether the sender may have missed demand of the receiver, which then sends all of it again.
    pub resend_demand: bool,
    /// Demand of pools that changed since the last report to the same peer, or that are due for a repeat.
    pub demands: Vec<Demand>,
    /// Upstreams that are leaving.
    pub drain_notices: Vec<DrainNotice>,
    /// Asks the receiver to confirm the sender's view; it is from the sender.
    pub request: Option<lease::Request>,
    /// Answer to the receiver's request for confirmation; it is from the sender.
    pub answer: Option<lease::Answer>,
    /// Whether the sender asks the receiver to testify that it has read the sender's join.
    pub joining: bool,
    /// Testimony of the sender.
    pub join_ack: Option<JoinAck>,
}
