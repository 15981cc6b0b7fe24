//! This entry's part of contracts and upstreams.

use super::{
    Engine,
    backlog::Size,
    customer::Part as Portion, //
};
use crate::catalog;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    Attributes,
    partition::{
        self,
        Quota,
        SILENCE_LIMIT, //
    },
};

/// An upstream and the part of its slots that this entry uses.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: u64,
    pub(super) pool: pool::Key,
    pub(super) address: SocketAddr,
    attributes: Attributes,
    part: Quota,
    /// Whether the part has had its first value.
    started: bool,
    /// Latest division; the part follows it with a delay.
    target: u32,
    /// Whether the router knows the part.
    applied: bool,
}

/// Demand of one entry for one pool, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The pool.
    pub pool: pool::Key,
    /// Slots that the entry could use.
    pub millislots: u64,
    /// The part of it that may use other availability zones.
    pub spill_millislots: u64,
}

/// Another entry and what it last reported.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity that all entries know.
    pub id: u64,
    /// Where the entry runs.
    pub availability_zone: availability_zone::Key,
    /// When its last report came, or when its membership became known.
    pub last_report: Time,
    /// Its demand; pools without demand may be missing.
    pub demands: Vec<Demand>,
}

impl Peer {
    /// Returns the time from which silence counts.
    ///
    /// Entries of other zones report less often; their silence is noticed by the owner of the engine, which forgets
    /// them.
    fn last_heard(&self, now: Time, home: availability_zone::Key) -> Time {
        match self.availability_zone == home {
            true => self.last_report,
            false => now,
        }
    }
}

impl Engine {
    /// Takes note of what another entry reported.
    pub fn update_peer(&mut self, mut peer: Peer) {
        peer.demands.sort_unstable_by_key(|demand| demand.pool);
        if peer.id == self.me {
            return;
        }
        match self.peers.iter_mut().find(|known| known.id == peer.id) {
            Some(known) => *known = peer,
            None => self.peers.push(peer),
        }
    }

    /// Takes note of an entry whose membership has become known, so that it gets its part before its first report.
    pub fn add_peer(&mut self, now: Time, id: u64, availability_zone: availability_zone::Key) {
        if id == self.me || self.peers.iter().any(|peer| peer.id == id) {
            return;
        }
        self.peers.push(Peer {
            id,
            availability_zone,
            last_report: now,
            demands: Vec::new(),
        });
    }

    /// Goes on under another identity that all entries know.
    pub fn set_identity(&mut self, me: u64) {
        self.me = me;
    }

    /// Forgets an entry that has left.
    pub fn remove_peer(&mut self, id: u64) {
        self.peers.retain(|peer| peer.id != id);
    }

    /// Returns this entry's demand for its next report; pools without demand are left out.
    pub fn report_demand(&mut self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (key, pool) in &mut self.pools {
            let others = self.peers.iter().filter(|peer| {
                let silent = now.since(peer.last_report) >= SILENCE_LIMIT;
                peer.availability_zone == self.home && !silent
            });
            let wants = others.map(|peer| find(&peer.demands, key).map_or(0, |it| it.millislots));
            // The division gives each entry one slot at least.
            let (count, wanted) = wants.fold((0, 0), |(count, sum), want| {
                (count + 1, sum + want.max(partition::MILLISLOTS_PER_SLOT))
            });
            let millislots = pool.report(now, wanted, count);
            if millislots > 0 {
                demands.push(Demand {
                    pool: key,
                    millislots,
                    spill_millislots: millislots
                        .min(u64::from(pool.spillable) * partition::MILLISLOTS_PER_SLOT),
                });
            }
        }
        demands
    }

    /// Replaces this entry's demand by what the others are told, so that all entries divide by the same figures.
    pub fn set_reported(&mut self, mut demands: Vec<Demand>) {
        demands.sort_unstable_by_key(|demand| demand.pool);
        self.reported = demands;
    }

    /// Divides slots and contracts again; due once in each report interval.
    pub fn divide(&mut self, now: Time) {
        let home = self.home;
        self.peers
            .retain(|peer| now.since(peer.last_heard(now, home)) < 2 * SILENCE_LIMIT);
        let live = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.last_heard(now, home)) < SILENCE_LIMIT);
        let entries = u32::try_from(live.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        self.set_portion(now, Portion { entries });
        self.divide_slots(now);
    }

    pub(super) fn count_pending(&mut self, now: Time, key: ticket::Key, change: i32) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(ticket.arrival.pool) else {
            return;
        };
        pool.pending = pool.pending.saturating_add_signed(change);
        if ticket.spill {
            pool.spillable = pool.spillable.saturating_add_signed(change);
        }
        let (customer, class) = (ticket.arrival.customer, ticket.arrival.class);
        pool.change_backlog(now, customer, |backlog| backlog.count(class, change));
    }

    pub(super) fn keep_upstream(&mut self, entry: &catalog::Upstream, attributes: Attributes) {
        if let Some(known) = self.upstreams.get_mut(entry.key) {
            known.address = entry.address;
            known.attributes = attributes;
            return;
        }
        let upstream = Upstream {
            id: entry.id,
            pool: entry.pool,
            address: entry.address,
            attributes,
            part: Quota::new(0),
            started: false,
            target: 0,
            applied: false,
        };
        self.upstreams.insert(entry.key, upstream);
    }

    pub(super) fn divide_slots(&mut self, now: Time) {
        let pools: Vec<pool::Key> = self.pools.keys().collect();
        for pool in pools {
            self.divide_pool(now, pool);
        }
        self.follow_targets(now);
    }

    fn divide_pool(&mut self, now: Time, key: pool::Key) {
        let entries = self.entries(now, key);
        let Some(pool) = self.pools.get(key) else {
            return;
        };
        let router = &pool.router;
        // The slots of a draining upstream are no use to any entry.
        let draining = |key| {
            let status = router.status(key);
            status.is_some_and(|status| status.drain.is_some())
        };
        let known = pool.members.iter().filter(|key| !draining(**key));
        let known = known.filter_map(|&key| Some((key, self.upstreams.get(key)?.share())));
        let (keys, upstreams): (Vec<_>, Vec<_>) = known.unzip();
        let size = size(self.home, &upstreams);
        let targets = partition::target_quotas(now, self.me, &entries, &upstreams);
        let firsts = partition::initial_quotas(self.me, self.home, &upstreams);
        for (index, key) in keys.into_iter().enumerate() {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                continue;
            };
            if !upstream.started {
                upstream.started = true;
                upstream.part = Quota::new(firsts[index].min(targets[index]));
            }
            upstream.target = targets[index];
        }
        if let Some(pool) = self.pools.get_mut(key) {
            pool.resize(now, size);
        }
    }

    /// Lets the parts follow their targets; due at each division and often in between, since a part grows late.
    pub fn follow_targets(&mut self, now: Time) {
        for (key, upstream) in &mut self.upstreams {
            let before = upstream.part.slots();
            let slots = upstream.part.set_target(now, upstream.target);
            if slots == before && upstream.applied {
                continue;
            }
            upstream.applied = true;
            if let Some(pool) = self.pools.get_mut(upstream.pool) {
                pool.router.set_quota(key, slots);
                pool.slots = pool.router.slots(self.home, false);
                pool.dirty = true;
            }
        }
    }

    fn entries(&self, now: Time, key: pool::Key) -> Vec<partition::Entry> {
        let own = find(&self.reported, key);
        let mine = partition::Entry {
            id: self.me,
            availability_zone: self.home,
            demand: own.map_or(0, |demand| demand.millislots),
            spill: own.map_or(0, |demand| demand.spill_millislots),
            heard: now,
        };
        let peers = self.peers.iter().map(|peer| {
            let demand = find(&peer.demands, key);
            partition::Entry {
                id: peer.id,
                availability_zone: peer.availability_zone,
                demand: demand.map_or(0, |demand| demand.millislots),
                spill: demand.map_or(0, |demand| demand.spill_millislots),
                heard: peer.last_heard(now, self.home),
            }
        });
        peers.chain([mine]).collect()
    }
}

impl Upstream {
    fn share(&self) -> partition::Upstream {
        partition::Upstream {
            id: self.id,
            availability_zone: self.attributes.availability_zone,
            slots: self.attributes.slots,
        }
    }
}

/// Finds the demand for a pool among demands sorted by pool.
fn find(demands: &[Demand], pool: pool::Key) -> Option<&Demand> {
    let place = demands.binary_search_by_key(&pool, |demand| demand.pool);
    demands.get(place.ok()?)
}

fn size(home: availability_zone::Key, upstreams: &[partition::Upstream]) -> Size {
    let own = upstreams.iter().filter(|it| it.availability_zone == home);
    Size {
        home: own.map(|upstream| upstream.slots).sum(),
        all: upstreams.iter().map(|upstream| upstream.slots).sum(),
    }
}
