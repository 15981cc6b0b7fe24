//! Which of 150 entries hold seats, and in which order they may claim the lead.
//!
//! The pattern that these tests answer: a deployment of many entries, most of them small, whose store is slow or away, or
//! which loses a zone, or all its candidates, or starts again as a whole.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_roster::{
    Candidate,
    Roster,
    Timing,
    roster::Action,
    seat::Key, //
};
use std::{
    collections::BTreeMap,
    fmt::Write, //
};

const START: Time = Time::from_millis(1_000_000);
const TICK: Duration = Duration::from_millis(50);
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const ENTRIES: usize = 150;
/// Number of entries with half a core in each zone; the others have an eighth.
const LARGE_PER_ZONE: usize = 3;

/// A record on its way to the log.
struct Pending {
    entry: usize,
    stored_at: Time,
    key: Key,
    candidate: Option<Candidate>,
}

struct Entry {
    roster: Roster,
    name: String,
    zone: &'static str,
    alive: bool,
    next_read: Time,
    read_offset: usize,
}

/// Entries that read and write seats through a log in virtual time.
struct Fleet {
    rng: StdRng,
    now: Time,
    entries: Vec<Entry>,
    log: Vec<(Key, Option<Candidate>)>,
    pending: Vec<Pending>,
    /// Time that the log takes to store a record, one after the other.
    append: Duration,
    /// Whether the log answers.
    reachable: bool,
    writes: usize,
    incarnation: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(7),
            now: START,
            entries: Vec::new(),
            log: Vec::new(),
            pending: Vec::new(),
            append: Duration::from_millis(2),
            reachable: true,
            writes: 0,
            incarnation: 0,
        };
        for index in 0..ENTRIES {
            let entry = fleet.entry(index);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn entry(&mut self, index: usize) -> Entry {
        let zone = ZONES[index % ZONES.len()];
        let large = index / ZONES.len() < LARGE_PER_ZONE;
        let name = format!("entry-{zone}-{index}");
        self.incarnation += 1;
        let own = Candidate {
            name: name.as_str().into(),
            incarnation: self.incarnation,
            address: ([127, 0, 0, 1], index as u16).into(),
            executor: ([127, 0, 0, 2], index as u16).into(),
            capacity: if large { 500 } else { 120 },
            leads: false,
        };
        Entry {
            roster: Roster::new(Timing::default(), zone.into(), own, self.rng.random()),
            name,
            zone,
            alive: true,
            next_read: self.now + Duration::from_millis(self.rng.random_range(0..500)),
            read_offset: 0,
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now = self.now + TICK;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let (stored, pending) = core::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending: &Pending| self.reachable && pending.stored_at <= now);
        self.pending = pending;
        for Pending {
            entry,
            key,
            candidate,
            ..
        } in stored
        {
            self.log.push((key, candidate));
            self.entries[entry].roster.written(true, now);
        }
        for index in 0..self.entries.len() {
            self.advance(index);
        }
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        if now >= entry.next_read {
            entry.next_read = now + Duration::from_millis(500);
            if self.reachable {
                for (key, candidate) in &self.log[entry.read_offset..] {
                    entry.roster.observe(key.clone(), candidate.clone(), now);
                }
                entry.read_offset = self.log.len();
                entry.roster.record_read(true, now, now);
            } else {
                entry.roster.record_read(false, now, now);
            }
        }
        if let Action::Write(key, candidate) = entry.roster.act(false, now) {
            self.writes += 1;
            let last = self.pending.iter().map(|pending| pending.stored_at).max();
            let stored_at = last.unwrap_or(now).max(now) + self.append;
            self.pending.push(Pending {
                entry: index,
                stored_at,
                key,
                candidate,
            });
        }
    }

    fn restart(&mut self, index: usize) {
        let entry = self.entry(index);
        self.entries[index] = entry;
    }

    /// Returns the entries that hold seats, with their ranks, as each knows it.
    fn candidates(&self) -> BTreeMap<usize, usize> {
        let rank = |(index, entry): (usize, &Entry)| {
            let rank = entry
                .alive
                .then(|| entry.roster.rank(None, self.now))
                .flatten()?;
            Some((index, rank))
        };
        self.entries.iter().enumerate().filter_map(rank).collect()
    }

    /// Describes the candidates: their number in each zone, how many are large, and how many would claim first.
    fn describe(&mut self, what: &str) -> String {
        let candidates = self.candidates();
        let mut line = format!("{what}: {} candidates", candidates.len());
        for zone in ZONES {
            let count = candidates
                .keys()
                .filter(|&&index| self.entries[index].zone == zone);
            write!(line, " {zone}={}", count.count()).unwrap();
        }
        let large = candidates
            .keys()
            .filter(|&&index| index / ZONES.len() < LARGE_PER_ZONE);
        let first = candidates.values().filter(|&&rank| rank == 0).count();
        let served = self.entries.iter().filter(|entry| entry.alive);
        let served = served
            .filter(|entry| !entry.roster.route(self.now).is_empty())
            .count();
        let writes = core::mem::take(&mut self.writes);
        writeln!(
            line,
            ", {} large, {first} first, {served} with a route, {writes} writes",
            large.count()
        )
        .unwrap();
        line
    }
}

/// Guards against claims of all entries at once, and against seats that stay empty after a loss or are left with small
/// holders, whatever the number of entries.
#[test]
fn few_entries_of_many_are_candidates() {
    let mut fleet = Fleet::new();
    let mut report = String::new();
    fleet.run(10);
    report += &fleet.describe("10 s after the first start");
    fleet.append = Duration::from_millis(112);
    fleet.run(10);
    report += &fleet.describe("log 56 times slower for 10 s");
    fleet.append = Duration::from_millis(2);
    fleet.reachable = false;
    fleet.run(10);
    report += &fleet.describe("log away for 10 s");
    fleet.reachable = true;
    fleet.run(2);
    report += &fleet.describe("log back for 2 s");
    let lost: Vec<usize> = (0..ENTRIES)
        .filter(|&index| fleet.entries[index].zone == "c")
        .collect();
    lost.iter()
        .for_each(|&index| fleet.entries[index].alive = false);
    fleet.run(10);
    report += &fleet.describe("zone c lost for 10 s");
    lost.into_iter().for_each(|index| fleet.restart(index));
    fleet.run(10);
    report += &fleet.describe("zone c back for 10 s");
    let candidates: Vec<usize> = fleet.candidates().into_keys().collect();
    candidates
        .iter()
        .for_each(|&index| fleet.entries[index].alive = false);
    fleet.run(12);
    report += &fleet.describe("all candidates lost for 12 s");
    (0..ENTRIES).for_each(|index| fleet.restart(index));
    fleet.run(2);
    report += &fleet.describe("all restarted 2 s ago");
    fleet.run(20);
    report += &fleet.describe("22 s ago");
    insta::assert_snapshot!(report);
    let names = fleet.entries.iter().map(|entry| entry.name.len());
    assert!(names.min() > Some(0));
}

/// Guards against a process that was paused for seconds and goes on to act for a seat that another entry has taken.
#[test]
fn paused_candidate_gives_its_seat_up() {
    let mut fleet = Fleet::new();
    fleet.run(10);
    let first = *fleet.candidates().keys().next().expect("seats are taken");
    fleet.entries[first].alive = false;
    fleet.run(8);
    fleet.entries[first].alive = true;
    let at_once = fleet.entries[first].roster.is_candidate(fleet.now);
    let action = fleet.entries[first].roster.act(false, fleet.now);
    assert!(!at_once, "its seat is taken for held");
    assert_eq!(action, Action::Wait, "it writes before it has read");
    let before = fleet.candidates().len();
    fleet.run(3);
    let (candidates, after) = (fleet.candidates(), fleet.candidates().len());
    let seats = usize::from(Timing::default().seats_per_zone) * ZONES.len();
    assert!(
        before <= seats && after <= seats,
        "{before} and {after} candidates: {candidates:?}"
    );
}
