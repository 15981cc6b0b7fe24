//! Choice among the upstreams of one pool.

use super::{
    AttemptResult,
    Attributes,
    Counters,
    Drain,
    DrainSource,
    Status,
    member::{
        Member,
        MemberKey,
        Rank, //
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

/// Most upstreams of one pool: about three times the size that the system is built for. More are refused and counted.
const UPSTREAM_LIMIT: usize = 4_096;

/// Most availability zones of one pool: four times the number that the system is built for. Upstreams of further zones
/// are refused and counted.
const ZONE_LIMIT: usize = 16;

/// Divisor of the number of upstreams that gives how many may be ejected at once.
const EJECTED_DIVISOR: u32 = 3;

/// Service time that is assumed before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Weight of a timeout among consecutive failures, because it has held a slot for the whole attempt timeout.
const TIMEOUT_WEIGHT: u32 = 2;

/// Upstreams of one pool as one entry sees them.
#[derive(Debug)]
pub struct Router {
    keys: SecondaryMap<upstream::Key, MemberKey>,
    members: SlotMap<MemberKey, Member>,
    zones: Vec<Zone>,
    /// Ejected upstreams by the time of their next probe.
    ejected: Heap<MemberKey, Time>,
    /// Number of upstreams with a quota that don't drain.
    usable: u32,
    /// Number of usable upstreams that are ejected or have had no successful probe since.
    out_of_service: u32,
    service_time: Estimate,
    /// Number of choices so far.
    choices: u64,
    counters: Counters,
}

impl Default for Router {
    fn default() -> Self {
        Self::new()
    }
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new() -> Self {
        Self {
            keys: SecondaryMap::new(),
            members: SlotMap::with_key(),
            zones: Vec::new(),
            ejected: Heap::new(),
            usable: 0,
            out_of_service: 0,
            service_time: Estimate::default(),
            choices: 0,
            counters: Counters::default(),
        }
    }

    /// Adds an upstream with a quota of 0, or changes the attributes of a known one.
    ///
    /// At most 4,096 upstreams in 16 availability zones are held; more are refused and counted.
    pub fn insert(&mut self, _now: Time, upstream: upstream::Key, attributes: Attributes) {
        let known = self.keys.get(upstream).copied();
        let full = known.is_none() && self.members.len() >= UPSTREAM_LIMIT;
        let zone = self.find_or_add_zone(attributes.availability_zone);
        let Some(zone) = zone.filter(|_| !full) else {
            self.counters.refused += 1;
            return;
        };
        let Some(key) = known else {
            let key = self.members.insert(Member::new(upstream, attributes, zone));
            self.keys.insert(upstream, key);
            // Upstreams are ejected on the request path, which must not allocate.
            self.ejected.reserve(self.members.capacity());
            self.refresh(key);
            return;
        };
        self.withdraw(key);
        if let Some(member) = self.members.get_mut(key) {
            member.attributes = attributes;
            member.zone = zone;
        }
        self.refresh(key);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: upstream::Key) {
        let Some(key) = self.keys.remove(upstream) else {
            self.counters.unknown += 1;
            return;
        };
        self.withdraw(key);
        self.ejected.remove(key);
        self.members.remove(key);
        self.reinstate();
    }

    /// Sets how many slots of an upstream this entry may use.
    pub fn set_quota(&mut self, upstream: upstream::Key, slots: u32) {
        let Some(key) = self.find(upstream) else {
            return;
        };
        let member = &mut self.members[key];
        if member.quota == slots {
            return;
        }
        member.quota = slots;
        self.refresh(key);
        self.reinstate();
    }

    /// Stops new requests to an upstream that is leaving, and tells whether it was not draining before.
    pub fn drain(&mut self, now: Time, upstream: upstream::Key, source: DrainSource) -> bool {
        let Some(key) = self.find(upstream) else {
            return false;
        };
        let member = &mut self.members[key];
        if member.drain.is_some() {
            return false;
        }
        member.drain = Some(Drain { since: now, source });
        self.counters.drained[source as usize] += 1;
        self.refresh(key);
        self.reinstate();
        true
    }

    /// Chooses an upstream with a free slot and takes the slot.
    ///
    /// Upstreams outside of the `home` availability zone are used only if `spill` is set. `avoid` is an upstream that
    /// has just failed the same request; it is not chosen.
    pub fn choose(
        &mut self,
        now: Time,
        home: availability_zone::Key,
        spill: bool,
        avoid: Option<upstream::Key>,
    ) -> Option<upstream::Key> {
        self.advance(now);
        let avoid = avoid.and_then(|upstream| self.keys.get(upstream).copied());
        let Some((key, spilled)) = self.best(home, spill, avoid) else {
            self.counters.exhausted += 1;
            return None;
        };
        self.choices += 1;
        let member = &mut self.members[key];
        member.running += 1;
        member.last_choice = self.choices;
        let upstream = member.upstream;
        let probe = member.health.start_attempt();
        self.counters.chosen += 1;
        self.counters.spilled += u64::from(spilled);
        self.counters.probes += u64::from(probe);
        self.refresh(key);
        Some(upstream)
    }

    /// Gives a slot back and records the result of the attempt.
    pub fn release(&mut self, now: Time, upstream: upstream::Key, result: AttemptResult) {
        let Some(key) = self.find(upstream) else {
            return;
        };
        let member = &mut self.members[key];
        member.running = member.running.saturating_sub(1);
        match result {
            AttemptResult::Answered(time) => {
                member.latency.record(time);
                self.service_time.record(time);
                let recovered = member.health.record_success(now, member.quota);
                self.counters.recovered += u64::from(recovered);
            }
            AttemptResult::Failed(_) | AttemptResult::Unreachable | AttemptResult::Lost => {
                self.handle_failure(now, key, 1)
            }
            AttemptResult::TimedOut => self.handle_failure(now, key, TIMEOUT_WEIGHT),
            AttemptResult::Stale | AttemptResult::Cancelled => member.health.discard_attempt(),
        }
        self.refresh(key);
    }

    /// Makes upstreams whose ejection is over ready for a probe; `choose` does this too.
    pub fn advance(&mut self, now: Time) {
        while let Some((until, key)) = self.ejected.first() {
            if until > now {
                return;
            }
            self.ejected.remove(key);
            if let Some(member) = self.members.get_mut(key) {
                member.health.probe();
                self.refresh(key);
            }
        }
    }

    /// Returns when the next ejected upstream becomes ready for a probe.
    pub fn next_probe(&self) -> Option<Time> {
        self.ejected.first().map(|(until, _)| until)
    }

    /// Returns the number of slots that this entry may use now, free or not.
    pub fn slots(&self, home: availability_zone::Key, spill: bool) -> u32 {
        let zones = self.zones.iter().filter(|zone| spill || zone.key == home);
        zones.map(|zone| zone.slots).sum()
    }

    /// Returns the average time that a request holds a slot; 50 ms before the first answer.
    pub fn service_time(&self) -> Duration {
        self.service_time.get().unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Returns the state of each upstream, in no particular order.
    pub fn statuses(&self) -> impl Iterator<Item = Status> + '_ {
        self.members.values().map(Member::status)
    }

    /// Returns the state of one upstream, or `None` if it is unknown.
    pub fn status(&self, upstream: upstream::Key) -> Option<Status> {
        let key = self.keys.get(upstream)?;
        self.members.get(*key).map(Member::status)
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of items for which memory is held; it is constant while no upstream is added.
    pub fn capacity(&self) -> usize {
        let orders = self.zones.iter().map(|zone| zone.order.capacity());
        let tables = self.keys.capacity() + self.members.capacity() + self.zones.capacity();
        tables + self.ejected.capacity() + orders.sum::<usize>()
    }

    /// Returns the preferred upstream, and whether it is outside of the `home` availability zone.
    fn best(
        &self,
        home: availability_zone::Key,
        spill: bool,
        avoid: Option<MemberKey>,
    ) -> Option<(MemberKey, bool)> {
        let own = self.zones.iter().find(|zone| zone.key == home);
        if let Some((_, key)) = own.and_then(|zone| zone.best(avoid)) {
            return Some((key, false));
        }
        if !spill {
            return None;
        }
        let others = self.zones.iter().filter(|zone| zone.key != home);
        let best: Option<(Rank, MemberKey)> = others.filter_map(|zone| zone.best(avoid)).min();
        best.map(|(_, key)| (key, true))
    }

    fn find(&mut self, upstream: upstream::Key) -> Option<MemberKey> {
        let key = self.keys.get(upstream).copied();
        self.counters.unknown += u64::from(key.is_none());
        key
    }

    fn find_or_add_zone(&mut self, key: availability_zone::Key) -> Option<usize> {
        if let Some(index) = self.zones.iter().position(|zone| zone.key == key) {
            return Some(index);
        }
        if self.zones.len() >= ZONE_LIMIT {
            return None;
        }
        self.zones.push(Zone::new(key));
        Some(self.zones.len() - 1)
    }

    fn handle_failure(&mut self, now: Time, key: MemberKey, weight: u32) {
        let limit = self.ejected_limit();
        let member = &mut self.members[key];
        if !member.health.record_failure(now, weight) || member.drain.is_some() {
            return;
        }
        // An upstream whose probe failed already counts as out of service, so the limit does not apply.
        if !member.counted.out_of_service && self.out_of_service >= limit {
            member.health.keep_in_service();
            self.counters.withheld += 1;
            return;
        }
        let until = member.health.eject(now);
        self.ejected.set(key, until);
        self.counters.ejected += 1;
    }

    /// Returns how many upstreams may be out of service, so that a fault of all of them doesn't empty the pool.
    ///
    /// Only upstreams with a quota count, because this entry can't use the others.
    fn ejected_limit(&self) -> u32 {
        (self.usable / EJECTED_DIVISOR).max(1)
    }

    /// Returns upstreams to service while more are out of service than the limit allows, after the pool shrank.
    fn reinstate(&mut self) {
        while self.out_of_service > self.ejected_limit() {
            let candidates = self
                .members
                .iter()
                .filter(|(_, member)| member.counted.out_of_service);
            let next = candidates.min_by_key(|(_, member)| match member.health.state() {
                HealthState::Ejected(until) => until,
                _ => Time::MIN,
            });
            let Some((key, _)) = next else {
                return;
            };
            self.ejected.remove(key);
            self.members[key].health.reinstate();
            self.counters.reinstated += 1;
            self.refresh(key);
        }
    }

    /// Updates the order of the zone and the totals after a change of one upstream.
    fn refresh(&mut self, key: MemberKey) {
        let member = &mut self.members[key];
        let old = member.counted;
        let new = member.contribution();
        member.counted = new;
        let zone = &mut self.zones[member.zone];
        zone.order.set(key, member.rank());
        zone.slots = zone.slots - old.limit + new.limit;
        self.usable = self.usable - u32::from(old.usable) + u32::from(new.usable);
        self.out_of_service =
            self.out_of_service - u32::from(old.out_of_service) + u32::from(new.out_of_service);
    }

    /// Removes one upstream from the order of its zone and from the totals.
    fn withdraw(&mut self, key: MemberKey) {
        let member = &mut self.members[key];
        let old = core::mem::take(&mut member.counted);
        let zone = &mut self.zones[member.zone];
        zone.order.remove(key);
        zone.slots -= old.limit;
        self.usable -= u32::from(old.usable);
        self.out_of_service -= u32::from(old.out_of_service);
    }
}
