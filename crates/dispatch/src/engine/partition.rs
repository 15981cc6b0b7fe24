//! Division of contracts and upstream slots between the entries.

use super::{
    Engine,
    backlog::Capacity,
    customer::Fraction, //
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

/// An upstream and this entry's quota of its slots.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: u64,
    pub(super) pool: pool::Key,
    pub(super) address: SocketAddr,
    attributes: Attributes,
    quota: Quota,
    /// Whether `quota` has been set for the first time.
    initialised: bool,
    /// Slots by the latest division; `quota` follows them with a delay.
    target: u32,
    /// Whether the router has been given the slots of `quota`.
    applied: bool,
}

/// Demand of one entry for one pool, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Pool that the demand is for.
    pub pool: pool::Key,
    /// Slots that the entry could use.
    pub millislots: u64,
    /// The part of it that may use other availability zones.
    pub spill_millislots: u64,
}

/// Another entry and what it last reported.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity of the entry, the same at all entries.
    pub id: u64,
    /// Where the entry runs.
    pub availability_zone: availability_zone::Key,
    /// Time of its last report, or the time at which its membership became known.
    pub last_report: Time,
    /// Its demand; pools without demand may be missing.
    pub demands: Vec<Demand>,
}

impl Peer {
    /// Returns the time since which the entry counts as silent.
    ///
    /// Entries of other zones report less often, so they never count as silent here. The owner of the engine notices
    /// when they stop reporting, and calls [`Engine::remove_peer`].
    fn silent_since(&self, now: Time, home: availability_zone::Key) -> Time {
        match self.availability_zone == home {
            true => self.last_report,
            false => now,
        }
    }
}

impl Engine {
    /// Replaces what is known of another entry by its latest report.
    pub fn update_peer(&mut self, mut peer: Peer) {
        peer.demands.sort_unstable_by_key(|demand| demand.pool);
        if peer.id == self.own_id {
            return;
        }
        match self.peers.iter_mut().find(|known| known.id == peer.id) {
            Some(known) => *known = peer,
            None => self.peers.push(peer),
        }
    }

    /// Adds an entry whose membership has become known, so that it gets its quotas before its first report.
    pub fn add_peer(&mut self, now: Time, id: u64, availability_zone: availability_zone::Key) {
        if id == self.own_id || self.peers.iter().any(|peer| peer.id == id) {
            return;
        }
        self.peers.push(Peer {
            id,
            availability_zone,
            last_report: now,
            demands: Vec::new(),
        });
    }

    /// Changes the identity under which the other entries know this one.
    pub fn set_identity(&mut self, own_id: u64) {
        self.own_id = own_id;
    }

    /// Removes an entry that has left or can no longer be reached.
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
            let wants =
                others.map(|peer| find_demand(&peer.demands, key).map_or(0, |it| it.millislots));
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

    /// Sets this entry's demand to what the other entries were told, so that all entries divide by the same figures.
    pub fn set_reported(&mut self, mut demands: Vec<Demand>) {
        demands.sort_unstable_by_key(|demand| demand.pool);
        self.reported = demands;
    }

    /// Divides slots and contracts between the live entries; to be called once in each report interval.
    pub fn divide(&mut self, now: Time) {
        let home = self.home;
        self.peers
            .retain(|peer| now.since(peer.silent_since(now, home)) < 2 * SILENCE_LIMIT);
        let live = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.silent_since(now, home)) < SILENCE_LIMIT);
        let entries = u32::try_from(live.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        self.set_contract_fraction(now, Fraction { entries });
        self.divide_slots(now);
    }

    pub(super) fn adjust_pending(&mut self, now: Time, key: ticket::Key, change: i32) {
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
        pool.update_backlog(now, customer, |backlog| {
            backlog.adjust_pending(class, change)
        });
    }

    pub(super) fn upsert_upstream(
        &mut self,
        configured: &catalog::Upstream,
        attributes: Attributes,
    ) {
        if let Some(known) = self.upstreams.get_mut(configured.key) {
            known.address = configured.address;
            known.attributes = attributes;
            return;
        }
        let upstream = Upstream {
            id: configured.id,
            pool: configured.pool,
            address: configured.address,
            attributes,
            quota: Quota::new(0),
            initialised: false,
            target: 0,
            applied: false,
        };
        self.upstreams.insert(configured.key, upstream);
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
        // No entry can use the slots of a draining upstream, so they are not divided.
        let draining = |key| {
            let status = router.status(key);
            status.is_some_and(|status| status.drain.is_some())
        };
        let known = pool.upstreams.iter().filter(|key| !draining(**key));
        let known =
            known.filter_map(|&key| Some((key, self.upstreams.get(key)?.partition_input())));
        let (keys, upstreams): (Vec<_>, Vec<_>) = known.unzip();
        let capacity = capacity(self.home, &upstreams);
        let targets = partition::target_quotas(now, self.own_id, &entries, &upstreams);
        let initial = partition::initial_quotas(self.own_id, self.home, &upstreams);
        for (index, key) in keys.into_iter().enumerate() {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                continue;
            };
            if !upstream.initialised {
                upstream.initialised = true;
                upstream.quota = Quota::new(initial[index].min(targets[index]));
            }
            upstream.target = targets[index];
        }
        if let Some(pool) = self.pools.get_mut(key) {
            pool.set_capacity(now, capacity);
        }
    }

    /// Moves the slots in use towards the latest division.
    ///
    /// To be called at each division and several times in between, since slots that are added take effect with a
    /// delay.
    pub fn follow_targets(&mut self, now: Time) {
        for (key, upstream) in &mut self.upstreams {
            let before = upstream.quota.slots();
            let slots = upstream.quota.set_target(now, upstream.target);
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
        let own = find_demand(&self.reported, key);
        let mine = partition::Entry {
            id: self.own_id,
            availability_zone: self.home,
            demand: own.map_or(0, |demand| demand.millislots),
            spill: own.map_or(0, |demand| demand.spill_millislots),
            heard: now,
        };
        let peers = self.peers.iter().map(|peer| {
            let demand = find_demand(&peer.demands, key);
            partition::Entry {
                id: peer.id,
                availability_zone: peer.availability_zone,
                demand: demand.map_or(0, |demand| demand.millislots),
                spill: demand.map_or(0, |demand| demand.spill_millislots),
                heard: peer.silent_since(now, self.home),
            }
        });
        peers.chain([mine]).collect()
    }
}

impl Upstream {
    fn partition_input(&self) -> partition::Upstream {
        partition::Upstream {
            id: self.id,
            availability_zone: self.attributes.availability_zone,
            slots: self.attributes.slots,
        }
    }
}

/// Finds the demand for a pool among demands sorted by pool.
fn find_demand(demands: &[Demand], pool: pool::Key) -> Option<&Demand> {
    let index = demands.binary_search_by_key(&pool, |demand| demand.pool);
    demands.get(index.ok()?)
}

fn capacity(home: availability_zone::Key, upstreams: &[partition::Upstream]) -> Capacity {
    let own = upstreams.iter().filter(|it| it.availability_zone == home);
    Capacity {
        home: own.map(|upstream| upstream.slots).sum(),
        all: upstreams.iter().map(|upstream| upstream.slots).sum(),
    }
}
