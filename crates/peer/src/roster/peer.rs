//! What is known of one peer.

use super::book::Book;
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
    /// Identifies a peer within one roster; a stale one finds nothing.
    pub struct Key;
}

/// Another entry process.
#[derive(Clone, Debug)]
pub struct Peer {
    pub(super) entry: Option<Entry>,
    pub(super) zone: Option<Name>,
    pub(super) address: SocketAddr,
    pub(super) seed: bool,
    pub(super) member: bool,
    pub(super) own_zone: bool,
    /// When it was last heard, or when it became known.
    pub(super) last_heard: Time,
    /// When the next exchange is due.
    pub(super) due: Time,
    pub(super) in_flight: bool,
    pub(super) lost: bool,
    /// When its retirement is due, as long as it stays silent; `None` once it was announced.
    pub(super) retire: Option<Time>,
    /// Whether demand that it sent may have been missed.
    pub(super) missed: bool,
    pub(super) sequence: u64,
    pub(super) config_offset: u64,
    pub(super) membership_offset: u64,
    pub(super) told: Book,
    pub(super) demands: BTreeMap<PoolHash, Demand>,
    /// What travels with the next report.
    pub(super) request: Option<lease::Request>,
    pub(super) answer: Option<lease::Answer>,
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
            retire: None,
            missed: true,
            sequence: 0,
            config_offset: 0,
            membership_offset: 0,
            told: Book::default(),
            demands: BTreeMap::new(),
            request: None,
            answer: None,
            join_ack: None,
        }
    }

    /// Returns the process, or `None` for a seed that has not been heard.
    pub const fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }

    /// Returns the availability zone, if it is known.
    pub const fn zone(&self) -> Option<&Name> {
        self.zone.as_ref()
    }

    /// Returns the address for peers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time at which it was last heard, or became known.
    pub const fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Tells whether it has been silent for too long.
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns its demand, merged from its reports.
    pub fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.demands.values()
    }

    pub(super) fn identity(&self) -> u64 {
        let entry = self.entry.as_ref();
        entry.map_or(0, |entry| hash::identity(&entry.host, entry.incarnation))
    }
}
