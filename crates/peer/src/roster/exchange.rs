//! Exchanges with peers: what a report carries, and what an exchange changes.

use super::{
    Event,
    Key,
    Peer,
    Roster,
    book,
    limit::{
        DRAIN_NOTICE_WAIT, //
        REPORT_INTERVAL,
        RETIREMENT_LIMIT,
    },
    roster::spread, //
};
use crate::message::{
    Demand,
    Report, //
};
use sassafrascrank_base::{
    hash,
    prelude::*, //
};

/// What this process tells its peers about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Offset of the configuration in force.
    pub config_offset: u64,
    /// Offset of the membership view.
    pub membership_offset: u64,
    /// Offset of the last record that changed the own zone.
    pub revision: u64,
}

impl Roster {
    /// Takes the present demand of this process; due once in each report interval.
    ///
    /// Pools without demand are left out. The largest changes are announced to the peers.
    pub fn publish(&mut self, demands: impl IntoIterator<Item = Demand>) {
        let rounded = demands.into_iter().map(Demand::rounded);
        let rounded = rounded.filter(|demand| demand.millislots > 0);
        let present = rounded.map(|demand| (demand.pool, demand)).collect();
        // A report carries one repeat besides the changes.
        let limit = self.plan.own_zone_pools.saturating_sub(1).max(1);
        self.bulletin.follow(&present, limit);
    }

    /// Returns the demand that was announced, with which this process weighs itself too.
    pub fn published(&self) -> impl Iterator<Item = &Demand> {
        self.bulletin.demands.values()
    }

    /// Composes a report to a peer, or the report in the answer to one.
    ///
    /// Returns nothing for a stale key.
    pub fn compose(&mut self, now: Time, key: Key, status: &Status) -> Option<Report> {
        let peer = self.peers.get_mut(key)?;
        peer.sequence += 1;
        let demands = &self.bulletin.demands;
        let demands = if peer.own_zone {
            peer.told.select(demands, self.plan.own_zone_pools)
        } else {
            // Other zones divide only what may leave this zone.
            let spill = demands
                .iter()
                .filter(|(_, demand)| demand.spill_millislots > 0);
            let spill = spill.map(|(pool, demand)| (*pool, *demand)).collect();
            peer.told.select(&spill, self.plan.other_zone_pools)
        };
        Some(Report {
            sender: self.me.clone(),
            sequence: peer.sequence,
            now,
            config_offset: status.config_offset,
            membership_offset: status.membership_offset,
            revision: status.revision,
            resend_demand: peer.missed,
            demands,
            drain_notices: self.drain_notices.own(now),
            request: peer.request.take(),
            answer: peer.answer.take(),
            joining: self.joining && peer.own_zone,
            join_ack: peer.join_ack.take(),
        })
    }

    /// Takes the report that a peer sent, and returns its key for the answer.
    ///
    /// Returns nothing if there are too many peers, or if the report is from this process itself.
    pub fn receive(&mut self, now: Time, report: &Report) -> Option<Key> {
        let key = self.identify(now, report)?;
        self.take(now, key, report);
        Some(key)
    }

    /// Takes the report in the answer of the peer to which a report was sent.
    pub fn record_success(&mut self, now: Time, key: Key, report: &Report) {
        let Some(known) = self.identify(now, report) else {
            self.record_failure(now, key);
            return;
        };
        self.take(now, known, report);
        self.peers[known].missed = false;
        if known == key {
            self.peers[key].in_flight = false;
        } else {
            self.replace(now, key, known);
        }
    }

    /// Gives the place of a peer to another process that answered at its address.
    fn replace(&mut self, now: Time, key: Key, known: Key) {
        let Some(old) = self.peers.get_mut(key) else {
            return;
        };
        let seed = core::mem::take(&mut old.seed);
        if old.entry.is_none() {
            self.peers.remove(key);
            self.replan();
        } else {
            // The earlier process stays until it is retired or leaves the view.
            self.record_failure(now, key);
        }
        self.peers[known].seed |= seed;
    }

    /// Takes note of an exchange that failed; the next one is due in a second.
    pub fn record_failure(&mut self, now: Time, key: Key) {
        let id = self.id;
        let interval = self.plan.other_zone_interval;
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        self.count.failed += 1;
        peer.in_flight = false;
        peer.missed = true;
        peer.told.reset();
        // A peer that stays away must not cost more than a live one.
        let away = peer.lost || peer.entry.is_none();
        let wait = if peer.own_zone || !away {
            REPORT_INTERVAL
        } else {
            interval
        };
        let jitter = hash::mix(id ^ peer.sequence) % (wait.as_millis() as u64 / 4).max(1);
        peer.due = now + wait + Duration::from_millis(jitter);
    }

    /// Finds the sender of a report, or makes it known.
    fn identify(&mut self, now: Time, report: &Report) -> Option<Key> {
        let sender = &report.sender;
        if sender.entry == self.me.entry {
            return None;
        }
        let seed = || {
            let mut peers = self.peers.iter();
            peers
                .find(|(_, peer)| peer.entry.is_none() && peer.address == sender.peers)
                .map(|(key, _)| key)
        };
        let known = self.find(&sender.entry).or_else(seed);
        let key = known.or_else(|| self.insert(Peer::new(now, None, sender.peers)))?;
        let peer = &mut self.peers[key];
        let fresh = peer.entry.is_none();
        peer.entry = Some(sender.entry.clone());
        peer.zone = Some(sender.zone.clone());
        peer.address = sender.peers;
        peer.own_zone = sender.zone == self.me.zone;
        if fresh {
            self.replan();
        }
        Some(key)
    }

    /// Takes what a report says, and sets the time of the next exchange.
    fn take(&mut self, now: Time, key: Key, report: &Report) {
        let wait = self.wait(key);
        let peer = &mut self.peers[key];
        if peer.lost {
            peer.lost = false;
            self.events.push(Event::Found(report.sender.entry.clone()));
        }
        self.count.exchanged += 1;
        peer.last_heard = now;
        peer.due = now + wait;
        peer.retire = Some(now + RETIREMENT_LIMIT);
        // A lower offset never replaces a higher one of the same process.
        peer.config_offset = peer.config_offset.max(report.config_offset);
        peer.membership_offset = peer.membership_offset.max(report.membership_offset);
        if report.resend_demand {
            peer.told.reset();
        }
        book::merge(&mut peer.demands, &report.demands);
        // Of the entries that noticed a sign, the one with the shortest wait makes its reports due.
        let first = spread(peer.identity(), DRAIN_NOTICE_WAIT) < spread(self.id, DRAIN_NOTICE_WAIT);
        for notice in &report.drain_notices {
            let dropped = self.drain_notices.add_received(now, notice, first);
            self.count.dropped_drain_notices += u64::from(dropped);
        }
    }

    /// Returns the time until this process sends the next report.
    ///
    /// One of two peers sends and the other one answers; it sends only if the report of the first stays away.
    fn wait(&self, key: Key) -> Duration {
        let peer = &self.peers[key];
        let interval = if peer.own_zone {
            REPORT_INTERVAL
        } else {
            self.plan.other_zone_interval
        };
        let other = peer.identity();
        let first = (self.id < other) == (hash::mix(self.id ^ other) & 1 == 0);
        if first {
            interval
        } else {
            interval + REPORT_INTERVAL / 2
        }
    }
}
