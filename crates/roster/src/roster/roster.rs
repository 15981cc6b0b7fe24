//! The seats as one entry knows them, and what it does about them.

use super::Timing;
use crate::seat::{
    Candidate,
    Key, //
};
use core::{
    cmp::Reverse,
    net::SocketAddr, //
};
use sassafrascrank_base::prelude::*;
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Multiple of the capacity of a holder with which another entry takes its seat.
const REPLACE_RATIO: u32 = 2;
/// Number of much larger candidates in a zone with which a smaller entry leaves the other seats vacant. Reading all jobs
/// would take most of its link and its processor.
const SUFFICIENT_LARGER: usize = 2;
/// Capacity of a whole core in thousandths of a core.
const WHOLE_CORE: u32 = 1_000;

/// What an entry does about the seats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Write this record, to take a seat or to keep it; without a candidate, to give it up.
    Write(Key, Option<Candidate>),
}

/// A seat with its holder.
#[derive(Clone, Debug)]
struct Seat {
    candidate: Candidate,
    /// When the latest record of the holder was read.
    renewed_at: Time,
    /// When the first record of this holder was read.
    held_since: Time,
}

/// The seats as one entry knows them.
#[derive(Clone, Debug)]
pub struct Roster {
    timing: Timing,
    zone: Arc<str>,
    own: Candidate,
    /// Differs between processes. It spreads the attempts of entries of the same size.
    identity: u64,
    seats: BTreeMap<Key, Seat>,
    /// Start of the first of the successful reads since the last failure or long pause.
    reading_since: Option<Time>,
    /// Start of the last successful read.
    read_started: Time,
    /// When this entry first saw that it may take a seat.
    wanted_since: Option<Time>,
    /// When the record of this entry that is being written was sent.
    writing_since: Option<Time>,
    /// When the last record of this entry was sent.
    written_at: Time,
    /// Time before which no record is written, because the last one failed.
    retry_at: Time,
    /// Time that the last record of this entry took.
    latency: Duration,
}

impl Roster {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(timing: Timing, zone: Arc<str>, own: Candidate, identity: u64) -> Self {
        Self {
            timing,
            zone,
            own,
            identity,
            seats: BTreeMap::new(),
            reading_since: None,
            read_started: Time::MIN,
            wanted_since: None,
            writing_since: None,
            written_at: Time::MIN,
            retry_at: Time::MIN,
            latency: Duration::ZERO,
        }
    }

    /// Applies the record of a seat that was read at `now`.
    pub fn observe(&mut self, key: Key, candidate: Option<Candidate>, now: Time) {
        let Some(candidate) = candidate else {
            self.seats.remove(&key);
            return;
        };
        let known = self.seats.get(&key);
        let same = known.filter(|seat| is_same_process(&seat.candidate, &candidate));
        let held_since = same.map_or(now, |seat| seat.held_since);
        let seat = Seat {
            candidate,
            renewed_at: now,
            held_since,
        };
        self.seats.insert(key, seat);
    }

    /// Records the result of a read of the seats that started at `started` and ended at `now`.
    pub fn record_read(&mut self, success: bool, started: Time, now: Time) {
        if !success {
            self.reading_since = None;
            return;
        }
        // After a pause of this process or of the log, holders get the time to renew their records.
        if now.since(self.read_started) > self.timing.max_read_age {
            self.reading_since = None;
        }
        self.reading_since.get_or_insert(started);
        self.read_started = self.read_started.max(started);
    }

    /// Tells whether the seats were read recently.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.reading_since.is_some() && now.since(self.read_started) <= self.timing.max_read_age
    }

    /// Returns the start of the last successful read.
    pub fn read_started(&self) -> Time {
        self.read_started
    }

    /// Returns what to do now. `leads` tells whether this entry leads.
    pub fn act(&mut self, leads: bool, now: Time) -> Action {
        if self.writing_since.is_some() || now < self.retry_at || !self.is_fresh(now) {
            return Action::Wait;
        }
        let changed = self.own.leads != leads;
        self.own.leads = leads;
        let due = match self.own_seat(now) {
            Some(key) if self.has_larger_candidates(now) => {
                self.writing_since = Some(now);
                return Action::Write(key, None);
            }
            Some(key) => {
                let due = changed || now >= self.written_at + self.timing.renewal;
                due.then_some(key)
            }
            None => self.seat_to_take(now),
        };
        let Some(key) = due else {
            return Action::Wait;
        };
        self.wanted_since = None;
        self.writing_since = Some(now);
        self.written_at = now;
        Action::Write(key, Some(self.own.clone()))
    }

    /// Handles the result of the write of a record.
    pub fn written(&mut self, stored: bool, now: Time) {
        let Some(sent) = self.writing_since.take() else {
            return;
        };
        self.latency = now.since(sent);
        // A record that was stored is read before another one is written for the same seat.
        self.retry_at = now + self.timing.retry_pause;
        if !stored {
            self.written_at = Time::MIN;
        }
    }

    /// Tells whether this entry holds a seat, as far as it has read.
    pub fn is_candidate(&self, now: Time) -> bool {
        self.own_seat(now).is_some()
    }

    /// Tells whether no other entry has taken the seat of this one, although it may not have been renewed in time because
    /// the log does not answer.
    pub fn keeps_seat(&self) -> bool {
        let mut seats = self.seats.values();
        seats.any(|seat| is_same_process(&seat.candidate, &self.own))
    }

    /// Returns the number of candidates that are better suited to lead than this one, without the leader `silent`, which
    /// has stopped; `None` if this entry is no candidate. All entries that have read the same agree on the order.
    pub fn rank(&self, silent: Option<&str>, now: Time) -> Option<usize> {
        let order = |key: &Key, seat: &Seat| {
            let capacity = Reverse(seat.candidate.capacity);
            (capacity, key.number, Arc::clone(&key.zone))
        };
        let own = self.own_seat(now)?;
        let place = order(&own, &self.seats[&own]);
        let live = self.live(now);
        let others = live.filter(|(_, seat)| Some(&*seat.candidate.name) != silent);
        Some(
            others
                .filter(|(key, seat)| order(key, seat) < place)
                .count(),
        )
    }

    /// Returns the time that the log last took to store a record of this entry, or takes now if that is longer.
    pub fn latency(&self, now: Time) -> Duration {
        let present = self
            .writing_since
            .map_or(Duration::ZERO, |sent| now.since(sent));
        self.latency.max(present)
    }

    /// Returns the addresses of the candidates in the order in which this entry passes requests on to them: those of its
    /// own availability zone first, the larger ones of each zone first, and the leader last in each zone.
    pub fn route(&self, now: Time) -> Vec<SocketAddr> {
        let mut zones: Vec<&Arc<str>> = self.seats.keys().map(|key| &key.zone).collect();
        zones.dedup();
        let turn = (self.identity >> 32) as usize;
        let place = |zone: &Arc<str>| {
            let index = zones.iter().position(|other| *other == zone);
            let index = index.unwrap_or_default() + turn;
            (*zone != self.zone, index % zones.len().max(1))
        };
        let others = self
            .live(now)
            .filter(|(_, seat)| !is_same_process(&seat.candidate, &self.own));
        let mut rows: Vec<_> = others
            .map(|(key, seat)| {
                let candidate = &seat.candidate;
                let capacity = Reverse(candidate.capacity);
                let order = (place(&key.zone), candidate.leads, capacity, key.number);
                (order, candidate.address)
            })
            .collect();
        rows.sort_unstable();
        rows.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the address of the leader for requests, if another candidate leads.
    pub fn leader(&self, now: Time) -> Option<SocketAddr> {
        let mut live = self.live(now).map(|(_, seat)| &seat.candidate);
        let leads =
            |candidate: &&Candidate| candidate.leads && !is_same_process(candidate, &self.own);
        live.find(leads).map(|candidate| candidate.address)
    }

    /// Returns the candidates that can carry out orders for this one, with their availability zones: the others with at
    /// least half of its processor capacity.
    pub fn executors(&self, now: Time) -> Vec<(SocketAddr, Arc<str>)> {
        let suits = |seat: &Seat| {
            let candidate = &seat.candidate;
            candidate.capacity.saturating_mul(REPLACE_RATIO) >= self.own.capacity
                && !is_same_process(candidate, &self.own)
        };
        let live = self.live(now).filter(|(_, seat)| suits(seat));
        live.map(|(key, seat)| (seat.candidate.executor, Arc::clone(&key.zone)))
            .collect()
    }

    /// Returns the seats whose holders have renewed them in time.
    fn live(&self, now: Time) -> impl Iterator<Item = (&Key, &Seat)> {
        self.seats
            .iter()
            .filter(move |(_, seat)| self.is_live(seat, now))
    }

    fn is_live(&self, seat: &Seat, now: Time) -> bool {
        now < self.vacant_at(seat)
    }

    /// Returns when a seat becomes vacant unless its holder renews it.
    fn vacant_at(&self, seat: &Seat) -> Time {
        let since = self.reading_since.unwrap_or(Time::MIN);
        seat.renewed_at.max(since) + self.timing.lifetime
    }

    /// Returns the seat of this process.
    fn own_seat(&self, now: Time) -> Option<Key> {
        let own = |(_, seat): &(&Key, &Seat)| is_same_process(&seat.candidate, &self.own);
        let mut seats = self.live(now).filter(own);
        // An entry that took two seats keeps the first one, and the other becomes vacant.
        seats.next().map(|(key, _)| key.clone())
    }

    /// Tells whether the zone of this entry has enough candidates that are much larger.
    fn has_larger_candidates(&self, now: Time) -> bool {
        let limit = self.own.capacity.saturating_mul(REPLACE_RATIO);
        let larger = |(key, seat): &(&Key, &Seat)| {
            key.zone == self.zone && limit > 0 && seat.candidate.capacity >= limit
        };
        self.live(now).filter(larger).count() >= SUFFICIENT_LARGER
    }

    /// Returns the seat that this entry takes now, if any.
    fn seat_to_take(&mut self, now: Time) -> Option<Key> {
        let reading_since = self.reading_since?;
        if self.has_larger_candidates(now) {
            return None;
        }
        // A seat of an earlier incarnation is this entry's own.
        let former = |(_, seat): &(&Key, &Seat)| seat.candidate.name == self.own.name;
        if let Some((key, _)) = self.seats.iter().find(former) {
            return Some(key.clone());
        }
        let Some((key, delay)) = self.wanted_seat(now) else {
            self.wanted_since = None;
            return None;
        };
        let since = *self.wanted_since.get_or_insert(now);
        let due = since.max(reading_since) + delay;
        (now >= due).then_some(key)
    }

    /// Returns a seat that this entry may take, and the time for which it waits before it does.
    fn wanted_seat(&self, now: Time) -> Option<(Key, Duration)> {
        let seat = |number| Key {
            zone: Arc::clone(&self.zone),
            number,
        };
        let keys: Vec<Key> = (0..self.timing.seats_per_zone).map(seat).collect();
        let is_vacant = |key: &&Key| {
            let known = self.seats.get(*key);
            known.is_none_or(|seat| !self.is_live(seat, now))
        };
        let vacant: Vec<&Key> = keys.iter().filter(is_vacant).collect();
        // Entries of the same size that begin at the same time choose different seats.
        let choice = self.identity as usize % vacant.len().max(1);
        if let Some(&key) = vacant.get(choice) {
            return Some((key.clone(), self.capacity_delay() + self.stagger()));
        }
        let held = |key: &Key| Some((key.clone(), self.seats.get(key)?));
        let smallest = keys.iter().filter_map(held);
        let (key, smallest) = smallest.min_by_key(|(_, seat)| seat.candidate.capacity)?;
        let limit = smallest.candidate.capacity.saturating_mul(REPLACE_RATIO);
        let settled = now >= smallest.held_since + self.timing.replace_delay;
        (self.own.capacity >= limit && settled).then(|| (key, self.stagger()))
    }

    fn capacity_delay(&self) -> Duration {
        let missing = WHOLE_CORE.saturating_sub(self.own.capacity);
        self.timing.capacity_delay * missing / WHOLE_CORE
    }

    fn stagger(&self) -> Duration {
        let fraction = (self.identity >> 48) as f64 / 65_536.0;
        self.timing.stagger.mul_f64(fraction)
    }
}

fn is_same_process(one: &Candidate, other: &Candidate) -> bool {
    one.name == other.name && one.incarnation == other.incarnation
}
