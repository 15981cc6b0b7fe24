//! Division of slots between entries that share one view.

use core::fmt::Write;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::partition::{
    Demand,
    Entry,
    Quota,
    Upstream,
    initial_quotas,
    target_quotas, //
};
use slotmap::SlotMap;

const NOW: Time = Time::from_millis(1_000_000);

/// A view that all entries share.
struct View {
    zones: Vec<availability_zone::Key>,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
}

impl View {
    /// Makes a view from the demands in slots and the number of upstreams by zone.
    fn new(demands: &[&[u64]], upstreams: &[u64]) -> Self {
        let mut arena = SlotMap::with_key();
        let mut view = Self {
            zones: demands.iter().map(|_| arena.insert(())).collect(),
            entries: Vec::new(),
            upstreams: Vec::new(),
        };
        for (place, zone) in view.zones.iter().enumerate() {
            let place = place as u64;
            let entries = demands[place as usize].iter().zip(0..);
            view.entries.extend(entries.map(|(demand, index)| Entry {
                id: 100 * (place + 1) + index,
                availability_zone: *zone,
                demand: demand * 1_000,
                spill: demand * 1_000,
                heard: NOW,
            }));
            let rows = 0..upstreams[place as usize];
            view.upstreams.extend(rows.map(|row| Upstream {
                id: 1_000 * (place + 1) + row,
                availability_zone: *zone,
                slots: 8,
            }));
        }
        view
    }

    fn parts(&self, entry: usize) -> Vec<u32> {
        let me = self.entries[entry].id;
        target_quotas(NOW, me, &self.entries, &self.upstreams)
    }

    fn all(&self) -> Vec<Vec<u32>> {
        (0..self.entries.len())
            .map(|entry| self.parts(entry))
            .collect()
    }

    /// Renders the slots of each entry by zone.
    fn table(&self) -> String {
        let mut table = String::new();
        for (entry, parts) in self.entries.iter().zip(self.all()) {
            let by_zone: Vec<u32> = self
                .zones
                .iter()
                .map(|zone| {
                    let rows = self.upstreams.iter().zip(&parts);
                    let here = rows.filter(|(upstream, _)| upstream.availability_zone == *zone);
                    here.map(|(_, slots)| slots).sum()
                })
                .collect();
            writeln!(
                table,
                "{} wants {:>3}: {by_zone:?}",
                entry.id,
                entry.demand / 1_000
            )
            .unwrap();
        }
        table
    }
}

/// Guards against a slot that two entries use, or none, although all entries hold the same view.
#[test]
fn parts_add_up_whatever_the_order_of_the_view() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let zones = random.random_range(1..5);
        let mut demands = Vec::new();
        for _ in 0..zones {
            let count = random.random_range(1..6);
            let demand = |_| random.random_range(0..60) * random.random_range(0..3);
            demands.push((0..count).map(demand).collect::<Vec<u64>>());
        }
        let slices: Vec<&[u64]> = demands.iter().map(Vec::as_slice).collect();
        let sizes: Vec<u64> = (0..zones).map(|_| random.random_range(1..12)).collect();
        let mut view = View::new(&slices, &sizes);
        for upstream in &mut view.upstreams {
            upstream.slots = random.random_range(0..17);
        }
        let all = view.all();
        for (row, upstream) in view.upstreams.iter().enumerate() {
            let sum: u32 = all.iter().map(|parts| parts[row]).sum();
            assert_eq!(sum, upstream.slots, "seed {seed}, row {row}: {all:?}");
        }
        view.entries.reverse();
        let mut other = view.all();
        other.reverse();
        assert_eq!(other, all, "seed {seed}");
    }
}

/// Guards against a rounding that gives all remainders to the same entry.
#[test]
fn equal_demand_shares_remainders() {
    let mut table = String::new();
    for entries in [2, 3, 5, 7, 8] {
        let view = View::new(&[&vec![9; entries]], &[7]);
        let all = view.all();
        let totals: Vec<u32> = all.iter().map(|parts| parts.iter().sum()).collect();
        let (low, high) = (totals.iter().min().unwrap(), totals.iter().max().unwrap());
        assert!(high - low <= 1, "{totals:?}");
        writeln!(
            table,
            "{entries} entries: {totals:?}\n    of the first: {:?}",
            all[0]
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against an idle entry that can't start work, and against a flood that takes all slots.
#[test]
fn division_by_demand_keeps_a_minimum() {
    let mut table = String::new();
    for demands in [
        [0, 0, 0],
        [4, 0, 0],
        [10, 6, 0],
        [50, 0, 0],
        [100, 100, 0],
        [1_000, 10, 0],
    ] {
        let view = View::new(&[&demands], &[5]);
        let least = (0..3).map(|entry| view.parts(entry).iter().sum::<u32>());
        assert!(least.min() >= Some(1), "{demands:?}");
        writeln!(table, "{}", view.table()).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against work of another zone that displaces the zone's own work.
#[test]
fn other_zones_get_only_what_is_left_free() {
    let mut table = String::new();
    for demands in [
        [[60, 20], [4, 4], [0, 0]],
        [[60, 20], [14, 6], [16, 8]],
        [[60, 20], [90, 90], [12, 12]],
        [[60, 20], [40, 40], [40, 40]],
    ] {
        let [a, b, c] = &demands;
        let view = View::new(&[a, b, c], &[3, 3, 3]);
        writeln!(table, "{}", view.table()).unwrap();
    }
    let mut view = View::new(&[&[60, 20], &[4, 4]], &[3, 3]);
    view.entries[0].spill = 0;
    writeln!(table, "no spill for 100\n{}", view.table()).unwrap();
    insta::assert_snapshot!(table);
}

/// Guards against slots that stay with a dead entry, and against an entry that counts itself as dead.
#[test]
fn silent_entry_loses_its_part_after_the_limit() {
    let mut view = View::new(&[&[10, 10]], &[2]);
    view.entries[1].heard = NOW - Duration::from_millis(2_999);
    assert_eq!(view.parts(0).iter().sum::<u32>(), 8);
    view.entries[1].heard = NOW - Duration::from_secs(3);
    assert_eq!(view.parts(0).iter().sum::<u32>(), 16);
    assert_eq!(view.parts(1).iter().sum::<u32>(), 8);
}

/// Guards against a new entry that has to wait for its peers, or takes more than one slot before they know it.
#[test]
fn new_entry_starts_with_one_slot() {
    let view = View::new(&[&[0], &[0]], &[5, 5]);
    for id in 0..50 {
        let parts = initial_quotas(id, view.zones[0], &view.upstreams);
        assert_eq!(parts.iter().sum::<u32>(), 1, "{id}");
        assert_eq!(parts[..5].iter().sum::<u32>(), 1, "{id}");
    }
}

/// Guards against small changes of demand that move many slots, each of which is unused for one interval.
#[test]
fn small_changes_move_few_slots() {
    let mut table = String::new();
    for (from, to) in [(30, 31), (30, 34), (30, 45)] {
        let before = View::new(&[&[from, 60, 60, 60]], &[20]).all();
        let after = View::new(&[&[to, 60, 60, 60]], &[20]).all();
        let pairs = before.iter().flatten().zip(after.iter().flatten());
        let moved: u32 = pairs.map(|(old, new)| new.saturating_sub(*old)).sum();
        let sum = |parts: &[Vec<u32>]| parts[0].iter().sum::<u32>();
        let due = sum(&after).abs_diff(sum(&before));
        writeln!(
            table,
            "demand {from} to {to} of 160 slots: {moved} moved, {due} needed"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a part that grows before the loser of the slots has heard of it, or that shrinks late.
#[test]
fn part_is_the_lowest_target_of_the_last_interval() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut part = Quota::new(0);
        let mut seen: Vec<(Time, u32)> = vec![(NOW, 0)];
        let mut now = NOW;
        for _ in 0..300 {
            now = now + Duration::from_millis(random.random_range(1..400));
            let target = random.random_range(0..9);
            let slots = part.set_target(now, target);
            seen.push((now, target));
            // The target that was in force when the interval began counts too.
            let began = now - Duration::from_secs(1);
            let first = seen.partition_point(|(time, _)| *time <= began);
            let lowest = seen[first.saturating_sub(1)..]
                .iter()
                .map(|(_, target)| *target);
            let lowest = lowest.min().unwrap();
            assert!(slots <= lowest, "seed {seed}: {slots} > {lowest}");
            assert_eq!(slots, part.slots());
        }
        for _ in 0..12 {
            now = now + Duration::from_millis(500);
            part.set_target(now, 8);
        }
        assert_eq!(part.slots(), 8, "seed {seed}");
    }
}

/// Guards against parts that follow noise, or a demand that never falls.
#[test]
fn demand_rises_at_once_and_decays_within_a_second() {
    let mut demand = Demand::new();
    let mut table = String::new();
    let mut now = NOW;
    for (requests, millis) in [
        (0, 500),
        (40, 1),
        (41, 999),
        (39, 1_000),
        (0, 250),
        (0, 250),
        (0, 500),
        (0, 1_000),
    ] {
        demand.record(now, requests);
        now = now + Duration::from_millis(millis);
        let report = demand.report(now);
        writeln!(
            table,
            "{requests:>2} wanted for {millis:>4} ms: {report:>5}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
