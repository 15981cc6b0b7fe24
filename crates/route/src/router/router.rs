//! Router of one pool.

use super::{
    AttemptResult,
    Attributes,
    Counters,
    Drain,
    DrainSource,
    Status,
    member::{
        Member,
        Rank,
        Slot, //
    },
    zone::Zone, //
};
use crate::{
    estimate::Estimate,
    health::HealthState,
    heap::Heap, //
};
use sassafrascrank_base::prelude::*;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

/// Most upstreams of one pool, about three times the target size; more are refused and counted.
const UPSTREAM_LIMIT: usize = 4_096;

/// Most availability zones of one pool, four times the target size; upstreams of more are refused and counted.
const ZONE_LIMIT: usize = 16;

/// The part of a pool that may be ejected at once, as a divisor.
const EJECTED_DIVISOR: u32 = 3;

/// Service time before the first answer.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(50);

/// What a timeout counts in a row of failures: it has held a slot for the whole attempt timeout.
const TIMEOUT_WEIGHT: u32 = 2;

/// Upstreams of one pool as one entry sees them.
#[derive(Debug)]
pub struct Router {
    slots: SecondaryMap<upstream::Key, Slot>,
    members: SlotMap<Slot, Member>,
    zones: Vec<Zone>,
    /// Ejected upstreams by the time of their next probe.
    ejected: Heap<Slot, Time>,
    /// Upstreams with a quota that don't drain.
    usable: u32,
    /// Those of them that are ejected or wait for a good probe.
    out: u32,
    service: Estimate,
    turn: u64,
    counters: Counters,
}

impl Default for Router {
    fn default() -> Self {
        Self::new()
    }
}

impl Router {
    /// Makes a router without upstreams.
    pub fn new() -> Self {
        Self {
            slots: SecondaryMap::new(),
            members: SlotMap::with_key(),
            zones: Vec::new(),
            ejected: Heap::new(),
            usable: 0,
            out: 0,
            service: Estimate::default(),
            turn: 0,
            counters: Counters::default(),
        }
    }

    /// Adds an upstream, or changes its attributes; its quota starts at 0.
    ///
    /// At most 4,096 upstreams in 16 availability zones are held; more are refused and counted.
    pub fn insert(&mut self, _now: Time, upstream: upstream::Key, attributes: Attributes) {
        let known = self.slots.get(upstream).copied();
        let full = known.is_none() && self.members.len() >= UPSTREAM_LIMIT;
        let zone = self.zone(attributes.availability_zone);
        let Some(zone) = zone.filter(|_| !full) else {
            self.counters.refused += 1;
            return;
        };
        let Some(slot) = known else {
            let slot = self.members.insert(Member::new(upstream, attributes, zone));
            self.slots.insert(upstream, slot);
            // An ejection happens on the request path, which must not allocate.
            self.ejected.reserve(self.members.capacity());
            self.refresh(slot);
            return;
        };
        self.withdraw(slot);
        if let Some(member) = self.members.get_mut(slot) {
            member.attributes = attributes;
            member.zone = zone;
        }
        self.refresh(slot);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: upstream::Key) {
        let Some(slot) = self.slots.remove(upstream) else {
            self.counters.unknown += 1;
            return;
        };
        self.withdraw(slot);
        self.ejected.remove(slot);
        self.members.remove(slot);
        self.reinstate();
    }

    /// Sets how many slots of an upstream this entry may use.
    pub fn set_quota(&mut self, upstream: upstream::Key, slots: u32) {
        let Some(slot) = self.find(upstream) else {
            return;
        };
        let member = &mut self.members[slot];
        if member.quota == slots {
            return;
        }
        member.quota = slots;
        self.refresh(slot);
        self.reinstate();
    }

    /// Stops new work for an upstream that is leaving; tells whether it was not draining before.
    pub fn drain(&mut self, now: Time, upstream: upstream::Key, source: DrainSource) -> bool {
        let Some(slot) = self.find(upstream) else {
            return false;
        };
        let member = &mut self.members[slot];
        if member.drain.is_some() {
            return false;
        }
        member.drain = Some(Drain { since: now, source });
        self.counters.drained[source as usize] += 1;
        self.refresh(slot);
        self.reinstate();
        true
    }

    /// Chooses an upstream with a free slot and takes the slot.
    ///
    /// Upstreams outside of the `home` availability zone are used only if `spill` is set. `avoid` names an
    /// upstream that has just failed the same request.
    pub fn choose(
        &mut self,
        now: Time,
        home: availability_zone::Key,
        spill: bool,
        avoid: Option<upstream::Key>,
    ) -> Option<upstream::Key> {
        self.advance(now);
        let avoid = avoid.and_then(|upstream| self.slots.get(upstream).copied());
        let Some((slot, foreign)) = self.best(home, spill, avoid) else {
            self.counters.exhausted += 1;
            return None;
        };
        self.turn += 1;
        let member = &mut self.members[slot];
        member.running += 1;
        member.turn = self.turn;
        let upstream = member.upstream;
        let probe = member.health.start();
        self.counters.chosen += 1;
        self.counters.spilled += u64::from(foreign);
        self.counters.probes += u64::from(probe);
        self.refresh(slot);
        Some(upstream)
    }

    /// Gives a slot back and learns from how the attempt ended.
    pub fn release(&mut self, now: Time, upstream: upstream::Key, report: AttemptResult) {
        let Some(slot) = self.find(upstream) else {
            return;
        };
        let member = &mut self.members[slot];
        member.running = member.running.saturating_sub(1);
        match report {
            AttemptResult::Answered(time) => {
                member.latency.learn(time);
                self.service.learn(time);
                let recovered = member.health.succeed(now, member.quota);
                self.counters.recovered += u64::from(recovered);
            }
            AttemptResult::Failed(_) | AttemptResult::Unreachable | AttemptResult::Lost => {
                self.fail(now, slot, 1)
            }
            AttemptResult::TimedOut => self.fail(now, slot, TIMEOUT_WEIGHT),
            AttemptResult::Stale | AttemptResult::Cancelled => member.health.ignore(),
        }
        self.refresh(slot);
    }

    /// Makes ejected upstreams ready for a probe once their time is over; `choose` does this too.
    pub fn advance(&mut self, now: Time) {
        while let Some((until, slot)) = self.ejected.first() {
            if until > now {
                return;
            }
            self.ejected.remove(slot);
            if let Some(member) = self.members.get_mut(slot) {
                member.health.probe();
                self.refresh(slot);
            }
        }
    }

    /// Returns when the next ejected upstream becomes ready for a probe.
    pub fn next_probe(&self) -> Option<Time> {
        self.ejected.first().map(|(until, _)| until)
    }

    /// Returns the slots that this entry may use at the moment, free or not.
    pub fn slots(&self, home: availability_zone::Key, spill: bool) -> u32 {
        let zones = self.zones.iter().filter(|zone| spill || zone.key == home);
        zones.map(|zone| zone.slots).sum()
    }

    /// Returns the expected time in a slot; 50 ms before the first answer.
    pub fn service_time(&self) -> Duration {
        self.service.get().unwrap_or(SERVICE_TIME_DEFAULT)
    }

    /// Returns the state of each upstream, in no particular order.
    pub fn statuses(&self) -> impl Iterator<Item = Status> + '_ {
        self.members.values().map(Member::status)
    }

    /// Returns the state of one upstream.
    pub fn status(&self, upstream: upstream::Key) -> Option<Status> {
        let slot = self.slots.get(upstream)?;
        self.members.get(*slot).map(Member::status)
    }

    /// Returns the numbers of events so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of items for which memory is held, which is constant in the steady state.
    pub fn capacity(&self) -> usize {
        let orders = self.zones.iter().map(|zone| zone.order.capacity());
        let tables = self.slots.capacity() + self.members.capacity() + self.zones.capacity();
        tables + self.ejected.capacity() + orders.sum::<usize>()
    }

    fn best(
        &self,
        home: availability_zone::Key,
        spill: bool,
        avoid: Option<Slot>,
    ) -> Option<(Slot, bool)> {
        let own = self.zones.iter().find(|zone| zone.key == home);
        if let Some((_, slot)) = own.and_then(|zone| zone.best(avoid)) {
            return Some((slot, false));
        }
        if !spill {
            return None;
        }
        let others = self.zones.iter().filter(|zone| zone.key != home);
        let best: Option<(Rank, Slot)> = others.filter_map(|zone| zone.best(avoid)).min();
        best.map(|(_, slot)| (slot, true))
    }

    fn find(&mut self, upstream: upstream::Key) -> Option<Slot> {
        let slot = self.slots.get(upstream).copied();
        self.counters.unknown += u64::from(slot.is_none());
        slot
    }

    fn zone(&mut self, key: availability_zone::Key) -> Option<usize> {
        if let Some(place) = self.zones.iter().position(|zone| zone.key == key) {
            return Some(place);
        }
        if self.zones.len() >= ZONE_LIMIT {
            return None;
        }
        self.zones.push(Zone::new(key));
        Some(self.zones.len() - 1)
    }

    fn fail(&mut self, now: Time, slot: Slot, weight: u32) {
        let limit = self.ejected_limit();
        let member = &mut self.members[slot];
        if !member.health.fail(now, weight) || member.drain.is_some() {
            return;
        }
        // A probe that failed already counts as out of service.
        if !member.counted.out && self.out >= limit {
            member.health.hold();
            self.counters.withheld += 1;
            return;
        }
        let until = member.health.eject(now);
        self.ejected.set(slot, until);
        self.counters.ejected += 1;
    }

    /// Returns how many upstreams may be out of service, so that a common fault doesn't empty the pool.
    ///
    /// Only upstreams with a quota count, because the others are no help to this entry.
    fn ejected_limit(&self) -> u32 {
        (self.usable / EJECTED_DIVISOR).max(1)
    }

    /// Returns ejected upstreams to service while more are out than the limit allows, after the pool shrank.
    fn reinstate(&mut self) {
        while self.out > self.ejected_limit() {
            let candidates = self.members.iter().filter(|(_, member)| member.counted.out);
            let next = candidates.min_by_key(|(_, member)| match member.health.state() {
                HealthState::Ejected(until) => until,
                _ => Time::MIN,
            });
            let Some((slot, _)) = next else {
                return;
            };
            self.ejected.remove(slot);
            self.members[slot].health.reinstate();
            self.counters.reinstated += 1;
            self.refresh(slot);
        }
    }

    /// Brings the order of the zone and the totals up to date after a change of one upstream.
    fn refresh(&mut self, slot: Slot) {
        let member = &mut self.members[slot];
        let old = member.counted;
        let new = member.account();
        member.counted = new;
        let zone = &mut self.zones[member.zone];
        zone.order.set(slot, member.rank());
        zone.slots = zone.slots - old.limit + new.limit;
        self.usable = self.usable - u32::from(old.usable) + u32::from(new.usable);
        self.out = self.out - u32::from(old.out) + u32::from(new.out);
    }

    /// Takes one upstream out of the order of its zone and out of the totals.
    fn withdraw(&mut self, slot: Slot) {
        let member = &mut self.members[slot];
        let old = core::mem::take(&mut member.counted);
        let zone = &mut self.zones[member.zone];
        zone.order.remove(slot);
        zone.slots -= old.limit;
        self.usable -= u32::from(old.usable);
        self.out -= u32::from(old.out);
    }
}
