//! Every interleaving of a few steps of two entries; it guards against orders that random schedules rarely draw.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::*,
    lease::*,
    member::*, //
};
use std::{
    fmt::Write,
    thread, //
};

const DEPTH: u32 = 8;
const START: u64 = 1_800_000_000;
const LIMIT: Limit = Limit {
    outage: Duration::from_secs(8),
    witness: Duration::from_secs(2),
    ..Limit::DEFAULT
};

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance,
    Read(usize),
    /// Entry 0 starts a log read, whose response may be delayed.
    Start,
    End,
    Peers(usize),
    Join,
    Witness,
    Retire,
    Leave,
}

const STEPS: [Step; 11] = [
    Step::Advance,
    Step::Read(0),
    Step::Read(1),
    Step::Start,
    Step::End,
    Step::Peers(0),
    Step::Peers(1),
    Step::Join,
    Step::Witness,
    Step::Retire,
    Step::Leave,
];

#[derive(Clone)]
struct Zone {
    now: u64,
    skew: i64,
    log: Vec<Record>,
    leases: [Lease; 2],
    read: Option<(Time, usize)>,
    /// For each entry, the creation times of one key of its own and one of the other's that it could have run.
    ran: [Vec<(u64, Time, Time)>; 2],
    fenced: bool,
}

impl Zone {
    fn new(skew: i64, joined: bool, fenced: bool) -> Self {
        let lease = |host| {
            let entry = Entry {
                host: Name::new(host).unwrap(),
                incarnation: 1,
            };
            Lease::new(entry, Name::new("suva").unwrap(), LIMIT, Fold::default())
        };
        let mut zone = Self {
            now: START,
            skew,
            log: Vec::new(),
            leases: [lease("h0"), lease("h1")],
            read: None,
            ran: [Vec::new(), Vec::new()],
            fenced,
        };
        zone.log.push(
            zone.leases[0]
                .join("127.0.0.1:80".parse().unwrap())
                .unwrap(),
        );
        zone.take(Step::Read(0));
        if joined {
            [Step::Join, Step::Read(0), Step::Read(1), Step::Witness]
                .into_iter()
                .for_each(|step| {
                    zone.take(step);
                });
        }
        zone.now += 20;
        [Step::Read(0), Step::Read(1)].into_iter().for_each(|step| {
            zone.take(step);
        });
        zone
    }

    fn clock(&self, index: usize) -> Time {
        let skew = if index == 1 { self.skew } else { 0 };
        Time::from_millis(self.now.checked_add_signed(skew).unwrap() * 1_000)
    }

    /// Takes a step and tells whether it did anything.
    fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Advance => {
                self.now += 3;
                (0..2).for_each(|index| self.leases[index].tick(self.clock(index)));
                true
            }
            Step::Read(index) => self.apply(index, self.clock(index), self.log.len()),
            Step::Start => {
                let fresh = self.read.is_none();
                self.read = self.read.or(Some((self.clock(0), self.log.len())));
                fresh
            }
            Step::End => self
                .read
                .take()
                .is_some_and(|(start, end)| self.apply(0, start, end)),
            Step::Peers(index) => {
                let before = self.leases[index].horizon();
                for request in self.leases[index].request_confirmations(self.clock(index)) {
                    if let Some(answer) = self.leases[1 - index].answer(&request) {
                        self.leases[index].record_answer(&answer);
                    }
                }
                self.leases[index].horizon() > before
            }
            Step::Join => self.append(|lease| lease[1].join("127.0.0.1:80".parse().unwrap()).ok()),
            Step::Retire => self.append(|lease| lease[1].retire(lease[0].me().clone()).ok()),
            Step::Leave => self.append(|lease| lease[0].leave().ok()),
            Step::Witness => {
                let witness = self.leases[0].acknowledge_join(&self.leases[1].me().clone());
                witness
                    .is_some_and(|witness| self.leases[1].accept_join_ack(self.clock(1), &witness))
            }
        }
    }

    fn append(&mut self, make: impl FnOnce(&mut [Lease; 2]) -> Option<Record>) -> bool {
        let record = make(&mut self.leases);
        let some = record.is_some();
        self.log.extend(record);
        some
    }

    fn apply(&mut self, index: usize, start: Time, end: usize) -> bool {
        let now = self.clock(index);
        let have = self.leases[index].view().offset as usize;
        for offset in have..end {
            self.leases[index]
                .apply(now, offset as u64 + 1, &self.log[offset])
                .unwrap();
        }
        let before = self.leases[index].horizon();
        self.leases[index].confirm(start, end as u64);
        end > have || self.leases[index].horizon() > before
    }

    /// Notes what each entry could run now, and tells whether the other could have run it too.
    fn overlaps(&mut self) -> bool {
        let mut overlap = false;
        for index in 0..2 {
            let lease = &self.leases[index];
            for seed in 0..6_u64 {
                let key = Key::new(Name::new("suva").unwrap(), Id::from_bits(seed.into()));
                let low = if self.fenced {
                    lease.fence(key.hash())
                } else {
                    Time::MIN
                };
                let high = lease.horizon();
                if lease.route(&key) != Route::Own || low >= high {
                    continue;
                }
                let other = self.ran[1 - index].iter().filter(|ran| ran.0 == seed);
                overlap |= other.into_iter().any(|ran| low < ran.2 && ran.1 < high);
                if self.ran[index].last() != Some(&(seed, low, high)) {
                    self.ran[index].push((seed, low, high));
                }
            }
        }
        overlap
    }
}

/// Explores all orders of `depth` steps; returns the number of states and of those with an overlap.
fn explore(zone: &Zone, depth: u32) -> (u64, u64) {
    if depth == 0 {
        return (0, 0);
    }
    let mut sum = (0, 0);
    for step in STEPS {
        let mut next = zone.clone();
        if !next.take(step) {
            continue;
        }
        let overlap = next.overlaps();
        let below = explore(&next, depth - 1);
        sum = (sum.0 + 1 + below.0, sum.1 + u64::from(overlap) + below.1);
    }
    sum
}

fn cases(depth: u32, fenced: bool) -> Vec<(i64, bool, (u64, u64))> {
    thread::scope(|scope| {
        let cases = [-1, 0, 1]
            .into_iter()
            .flat_map(|skew| [(skew, false), (skew, true)]);
        let run = |(skew, joined): (i64, bool)| {
            let mut zone = Zone::new(skew, joined, fenced);
            zone.overlaps();
            (skew, joined, explore(&zone, depth))
        };
        let threads: Vec<_> = cases.map(|case| scope.spawn(move || run(case))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    })
}

#[test]
fn no_order_of_steps_lets_two_entries_run_one_key() {
    let mut text = String::new();
    for (skew, joined, (states, overlaps)) in cases(DEPTH, true) {
        assert_eq!(overlaps, 0, "skew {skew} s, joined {joined}");
        writeln!(
            text,
            "skew {skew:>2} s, joined {joined:<5}: {states:>7} states"
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against an exploration that could not find an overlap if there was one.
#[test]
fn orders_without_fences_let_two_entries_run_one_key() {
    for (skew, joined, (_, overlaps)) in cases(5, false) {
        assert!(overlaps > 0, "skew {skew} s, joined {joined}");
    }
}
