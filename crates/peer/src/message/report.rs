//! Reports, which entry processes exchange at regular intervals.

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

/// Notice that an upstream is leaving and gets no new work.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DrainNotice {
    /// Its host.
    pub host: Name,
    /// Incarnation of the host; the notice does not apply to a later one.
    pub incarnation: u64,
}

/// What an entry tells a peer about itself.
///
/// The answer to a report is a report of the receiver, so that one exchange serves both directions. Requests for
/// confirmation, their answers and join acknowledgements are sent with the next report in either direction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Who sends it.
    pub sender: Sender,
    /// Number of the report among those that the sender made for the receiver, from 1.
    pub sequence: u64,
    /// Present time at the sender; sent in whole milliseconds.
    pub now: Time,
    /// Offset of the configuration in force, 0 for none.
    pub config_offset: u64,
    /// Offset of the membership view.
    pub membership_offset: u64,
    /// Offset of the last record that changed the sender's zone.
    pub revision: u64,
    /// Whether the receiver must send all of its demand again, since the sender may have missed a part of it.
    pub resend_demand: bool,
    /// Demand that changed since the last report to the same peer, and demand that is repeated in turn.
    pub demands: Vec<Demand>,
    /// Upstreams that are leaving.
    pub drain_notices: Vec<DrainNotice>,
    /// Request of the sender that the receiver confirms the sender's view.
    pub request: Option<lease::Request>,
    /// Answer of the sender to the receiver's request for confirmation.
    pub answer: Option<lease::Answer>,
    /// Whether the sender asks the receiver to acknowledge that it has read the sender's join.
    pub joining: bool,
    /// Acknowledgement by the sender that it has read the receiver's join.
    pub join_ack: Option<JoinAck>,
}
