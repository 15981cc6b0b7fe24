//! Senders that both ends of a connection have introduced.

use super::{
    Error,
    error::{
        parse_address,
        parse_name, //
    },
};
use crate::message;
use sassafrascrank_base::prelude::Name;
use sassafrascrank_claim::member::Entry;

/// State of one end of a connection, which encoding and checking of reports need.
///
/// The first report in each direction introduces its sender, and later ones leave the sender out.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    /// The introduction that this end has sent.
    pub(super) own: Option<Introduction>,
    /// The introduction that this end has received.
    pub(super) peer: Option<Introduction>,
}

/// A sender and the time of its introduction; later reports give their time as a difference from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Introduction {
    pub(super) sender: message::Sender,
    /// Milliseconds since the Unix epoch.
    pub(super) time: u64,
}

/// Serialised form of [`Introduction`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Sender {
    /// Host.
    h: String,
    /// Incarnation.
    i: u64,
    /// Availability zone.
    z: String,
    /// Address for callers.
    a: String,
    /// Address for peers.
    p: String,
    /// Milliseconds since the Unix epoch.
    t: u64,
}

impl ConnectionState {
    /// Returns the time of the introduction of `sender`, and the introduction itself if the peer doesn't have it yet.
    pub(super) fn introduce(
        &mut self,
        sender: &message::Sender,
        now: u64,
    ) -> (u64, Option<Sender>) {
        if let Some(own) = &self.own
            && own.sender == *sender
        {
            return (own.time, None);
        }
        let own = Introduction {
            sender: sender.clone(),
            time: now,
        };
        let wire = Sender::from(&own);
        self.own = Some(own);
        (now, Some(wire))
    }

    /// Returns whether the process at the other end is known to be `entry`.
    pub(super) fn reaches(&self, entry: &Entry) -> bool {
        let peer = self.peer.as_ref();
        peer.is_some_and(|peer| peer.sender.entry == *entry)
    }

    /// Returns the process at this end, if it has introduced itself.
    pub(super) fn own_entry(&self) -> Option<&Entry> {
        self.own.as_ref().map(|own| &own.sender.entry)
    }
}

impl From<&Introduction> for Sender {
    fn from(introduction: &Introduction) -> Self {
        let sender = &introduction.sender;
        Self {
            h: sender.entry.host.to_string(),
            i: sender.entry.incarnation,
            z: sender.zone.to_string(),
            a: sender.callers.to_string(),
            p: sender.peers.to_string(),
            t: introduction.time,
        }
    }
}

impl TryFrom<Sender> for Introduction {
    type Error = Error;

    fn try_from(wire: Sender) -> Result<Self, Error> {
        let host: Name = parse_name("f.h", &wire.h)?;
        let incarnation = wire.i;
        let sender = message::Sender {
            entry: Entry { host, incarnation },
            zone: parse_name("f.z", &wire.z)?,
            callers: parse_address("f.a", &wire.a)?,
            peers: parse_address("f.p", &wire.p)?,
        };
        let time = wire.t;
        Ok(Self { sender, time })
    }
}
