//! State of one peer.

use super::demand::SentDemand;
use crate::message::{
    Demand,
    PoolHash, //
};
use core::net::SocketAddr;
use sassafrascrank_base::{
    hash,
    prelude::{
        Name,
        Time, //
    },
};
use sassafrascrank_claim::{
    lease::{
        self,
        JoinAck, //
    },
    member::Entry, //
};
use std::collections::BTreeMap;

slotmap::new_key_type! {
    /// Identifies a peer within one roster; the key of a removed peer is never used again.
    pub struct Key;
}

/// Another entry process.
#[derive(Clone, Debug)]
pub struct Peer {
    pub(super) entry: Option<Entry>,
    pub(super) zone: Option<Name>,
    pub(super) address: SocketAddr,
    /// Whether its address comes from the settings.
    pub(super) seed: bool,
    /// Whether it is in the membership view.
    pub(super) member: bool,
    pub(super) own_zone: bool,
    /// When its last report arrived, or when it became known.
    pub(super) last_heard: Time,
    /// When the next exchange is due.
    pub(super) due: Time,
    /// Whether this process waits for the answer to a report.
    pub(super) in_flight: bool,
    pub(super) lost: bool,
    /// When its retirement is due unless it reports; `None` once [`Event::Retire`](super::Event::Retire) was returned.
    pub(super) retirement_due: Option<Time>,
    /// Whether demand that it sent may have been missed.
    pub(super) may_have_missed_demand: bool,
    /// Number of the last report to it.
    pub(super) sequence: u64,
    pub(super) config_offset: u64,
    pub(super) membership_offset: u64,
    pub(super) sent_demand: SentDemand,
    /// Its demand, merged from its reports.
    pub(super) demands: BTreeMap<PoolHash, Demand>,
    /// Request for confirmation to send with the next report.
    pub(super) request: Option<lease::Request>,
    /// Answer to send with the next report.
    pub(super) answer: Option<lease::Answer>,
    /// Join acknowledgement to send with the next report.
    pub(super) join_ack: Option<JoinAck>,
}

impl Peer {
    pub(super) fn new(now: Time, entry: Option<Entry>, address: SocketAddr) -> Self {
        Self {
            entry,
            zone: None,
            address,
            seed: false,
            member: false,
            own_zone: false,
            last_heard: now,
            due: now,
            in_flight: false,
            lost: false,
            retirement_due: None,
            may_have_missed_demand: true,
            sequence: 0,
            config_offset: 0,
            membership_offset: 0,
            sent_demand: SentDemand::default(),
            demands: BTreeMap::new(),
            request: None,
            answer: None,
            join_ack: None,
        }
    }

    /// Returns the process, or `None` for a seed that has not reported yet.
    pub const fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }

    /// Returns the availability zone, if it is known.
    pub const fn zone(&self) -> Option<&Name> {
        self.zone.as_ref()
    }

    /// Returns the address where it listens for peers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time at which its last report arrived, or at which it became known.
    pub const fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Returns whether it has sent no report for too long.
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns its demand, merged from its reports.
    pub fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.demands.values()
    }

    /// Returns a hash of host and incarnation, or 0 if the process is unknown.
    pub(super) fn identity(&self) -> u64 {
        let entry = self.entry.as_ref();
        entry.map_or(0, |entry| hash::identity(&entry.host, entry.incarnation))
    }
}
