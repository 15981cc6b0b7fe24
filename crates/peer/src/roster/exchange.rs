//! Composing reports, and applying the reports and failures of exchanges.

use super::{
    Event,
    Key,
    Peer,
    Roster,
    demand,
    limit::{
        DRAIN_NOTICE_WAIT, //
        REPORT_INTERVAL,
        RETIREMENT_LIMIT,
    },
    roster::jitter, //
};
use crate::message::{
    Demand,
    Report, //
};
use sassafrascrank_base::{
    hash,
    prelude::*, //
};

/// Offsets that this process reports to its peers.
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
    /// Publishes the present demand of this process; to be called once in each report interval.
    ///
    /// Pools without demand may be left out. Only as many changes are published as the next report carries, the largest
    /// first.
    pub fn publish(&mut self, demands: impl IntoIterator<Item = Demand>) {
        let rounded = demands.into_iter().map(Demand::rounded);
        let rounded = rounded.filter(|demand| demand.millislots > 0);
        let present = rounded.map(|demand| (demand.pool, demand)).collect();
        // One place in a report is for a repeated value.
        let limit = self.plan.own_zone_pools.saturating_sub(1).max(1);
        self.published.apply_changes(&present, limit);
    }

    /// Returns the published demand, which this process must use as its own weight too.
    pub fn published(&self) -> impl Iterator<Item = &Demand> {
        self.published.demands.values()
    }

    /// Composes a report to a peer, or the report in the answer to one.
    ///
    /// Returns `None` for a stale key.
    pub fn compose(&mut self, now: Time, key: Key, status: &Status) -> Option<Report> {
        let peer = self.peers.get_mut(key)?;
        peer.sequence += 1;
        let demands = &self.published.demands;
        let demands = if peer.own_zone {
            peer.sent_demand.select(demands, self.plan.own_zone_pools)
        } else {
            // Other zones need only the demand that may be served outside this zone.
            let spill = demands
                .iter()
                .filter(|(_, demand)| demand.spill_millislots > 0);
            let spill = spill.map(|(pool, demand)| (*pool, *demand)).collect();
            peer.sent_demand.select(&spill, self.plan.other_zone_pools)
        };
        Some(Report {
            sender: self.local.clone(),
            sequence: peer.sequence,
            now,
            config_offset: status.config_offset,
            membership_offset: status.membership_offset,
            revision: status.revision,
            resend_demand: peer.may_have_missed_demand,
            demands,
            drain_notices: self.drain_notices.own(now),
            request: peer.request.take(),
            answer: peer.answer.take(),
            joining: self.joining && peer.own_zone,
            join_ack: peer.join_ack.take(),
        })
    }

    /// Applies a report that a peer sent, and returns the key of the peer for the answer.
    ///
    /// Returns `None` if there are too many peers, or if the report is from this process itself.
    pub fn receive(&mut self, now: Time, report: &Report) -> Option<Key> {
        let key = self.find_or_add(now, report)?;
        self.apply_report(now, key, report);
        Some(key)
    }

    /// Ends an exchange that this process began, and applies the report in the answer.
    pub fn record_success(&mut self, now: Time, key: Key, report: &Report) {
        let Some(known) = self.find_or_add(now, report) else {
            self.record_failure(now, key);
            return;
        };
        self.apply_report(now, known, report);
        self.peers[known].may_have_missed_demand = false;
        if known == key {
            self.peers[key].in_flight = false;
        } else {
            self.replace(now, key, known);
        }
    }

    /// Handles an answer by another process, `known`, at the address of the peer `key`.
    fn replace(&mut self, now: Time, key: Key, known: Key) {
        let Some(old) = self.peers.get_mut(key) else {
            return;
        };
        let seed = core::mem::take(&mut old.seed);
        if old.entry.is_none() {
            self.peers.remove(key);
            self.replan();
        } else {
            // The earlier process remains a peer until it is retired or leaves the view.
            self.record_failure(now, key);
        }
        self.peers[known].seed |= seed;
    }

    /// Ends an exchange that failed, and sets the time of the next one.
    pub fn record_failure(&mut self, now: Time, key: Key) {
        let id = self.id;
        let interval = self.plan.other_zone_interval;
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        self.count.failed += 1;
        peer.in_flight = false;
        peer.may_have_missed_demand = true;
        peer.sent_demand.reset();
        // Retries with an unreachable peer of another zone must not take more traffic than a live peer.
        let away = peer.lost || peer.entry.is_none();
        let wait = if peer.own_zone || !away {
            REPORT_INTERVAL
        } else {
            interval
        };
        let jitter = hash::mix(id ^ peer.sequence) % (wait.as_millis() as u64 / 4).max(1);
        peer.due = now + wait + Duration::from_millis(jitter);
    }

    /// Returns the key of the sender of a report, adding it if it is unknown.
    fn find_or_add(&mut self, now: Time, report: &Report) -> Option<Key> {
        let sender = &report.sender;
        if sender.entry == self.local.entry {
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
        peer.own_zone = sender.zone == self.local.zone;
        if fresh {
            self.replan();
        }
        Some(key)
    }

    /// Updates the sender of a report, and sets the time of the next exchange with it.
    fn apply_report(&mut self, now: Time, key: Key, report: &Report) {
        let wait = self.next_interval(key);
        let peer = &mut self.peers[key];
        if peer.lost {
            peer.lost = false;
            self.events.push(Event::Found(report.sender.entry.clone()));
        }
        self.count.exchanged += 1;
        peer.last_heard = now;
        peer.due = now + wait;
        peer.retirement_due = Some(now + RETIREMENT_LIMIT);
        // A lower offset never replaces a higher one of the same process.
        peer.config_offset = peer.config_offset.max(report.config_offset);
        peer.membership_offset = peer.membership_offset.max(report.membership_offset);
        if report.resend_demand {
            peer.sent_demand.reset();
        }
        demand::merge(&mut peer.demands, &report.demands);
        // Of the entries that originate the same notice, the one with the shortest wait sends it first.
        let peer_first =
            jitter(peer.identity(), DRAIN_NOTICE_WAIT) < jitter(self.id, DRAIN_NOTICE_WAIT);
        for notice in &report.drain_notices {
            let dropped = self.drain_notices.add_received(now, notice, peer_first);
            self.count.dropped_drain_notices += u64::from(dropped);
        }
    }

    /// Returns the time until this process sends the next report.
    ///
    /// Of two peers, only one sends and the other one answers. The other one waits for longer and sends only if no
    /// report arrives.
    fn next_interval(&self, key: Key) -> Duration {
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
