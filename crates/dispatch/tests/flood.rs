//! Floods of requests against two entries of one zone that divide the slots of the upstreams between them. The bounds
//! are those of the design page, section 1.5.

#[path = "common/config.rs"]
mod config;
#[path = "common/pair.rs"]
mod pair;
#[path = "common/tally.rs"]
mod tally;

use pair::{
    Load,
    Pair, //
};
use sassafrascrank_base::prelude::*;
use std::fmt::Write;
use tally::Tally;

/// Mean time that a request takes in a slot.
const SERVICE_TIME: Duration = Duration::from_millis(200);
const UPSTREAMS: usize = 10;
const SLOTS_PER_UPSTREAM: u32 = 8;
/// Requests a second that all slots serve.
const CAPACITY_PER_SECOND: f64 = 400.0;
/// Requests that a quarter of the capacity serves in the 12 s of a measurement.
const QUARTER_REQUESTS: u64 = 1_200;
const SEED: u64 = 7;

fn load(customer: usize, class: u8, entry: usize, rate: f64) -> Load {
    Load {
        customer,
        class,
        entry,
        per_second: rate,
        deadline: Duration::from_secs(2),
        from_measurement: rate >= CAPACITY_PER_SECOND,
    }
}

fn run(shares: &[u32], loads: &[Load]) -> Pair {
    run_seed(SEED, shares, loads)
}

fn run_seed(seed: u64, shares: &[u32], loads: &[Load]) -> Pair {
    let mut pair = Pair::new(seed, shares, UPSTREAMS, SLOTS_PER_UPSTREAM, SERVICE_TIME);
    pair.run(loads, Duration::from_secs(12));
    pair
}

fn table(pair: &Pair) -> String {
    let mut text = String::new();
    for (load, tally) in &pair.tallies {
        let Tally { sent, answered, .. } = tally;
        let (wait, refusal) = (tally.wait(), tally.refusal());
        let (customer, class, entry) = *load;
        writeln!(
            text,
            "customer {customer} class {class} entry {entry}: sent {sent} answered {answered} \
             p99 wait {wait:?} p99 refusal {refusal:?}"
        )
        .unwrap();
    }
    let [one, other] = pair.used_own();
    let whole = pair.used_whole();
    writeln!(
        text,
        "slots used while queued: entries {one}% {other}%, whole {whole}%"
    )
    .unwrap();
    text
}

/// Guards against an overnight flood at one entry that takes slots from urgent previews at either entry.
#[test]
fn overnight_flood_leaves_previews_their_deadlines() {
    let previews = [
        load(0, 0, 0, 0.15 * CAPACITY_PER_SECOND),
        load(0, 0, 1, 0.15 * CAPACITY_PER_SECOND),
    ];
    let quiet = run(&[100], &previews);
    let flood = load(0, 1, 0, 10.0 * CAPACITY_PER_SECOND);
    let flooded = run(&[100], &[previews[0], previews[1], flood]);
    insta::assert_snapshot!(table(&flooded));
    check_previews(SEED, &quiet, &flooded);
    for seed in 1..=3 {
        let quiet = run_seed(seed, &[100], &previews);
        let flooded = run_seed(seed, &[100], &[previews[0], previews[1], flood]);
        check_previews(seed, &quiet, &flooded);
    }
}

fn check_previews(seed: u64, quiet: &Pair, flooded: &Pair) {
    for entry in 0..2 {
        let (before, after) = (
            &quiet.tallies[&(0, 0, entry)],
            &flooded.tallies[&(0, 0, entry)],
        );
        let kept = 100 * after.answered >= 99 * before.answered;
        assert!(
            kept,
            "seed {seed}: previews at entry {entry}: {} of {}",
            after.answered, before.answered
        );
        let wait = after.wait();
        assert!(
            wait <= before.wait() + SERVICE_TIME,
            "seed {seed}: added wait at entry {entry}: {wait:?}"
        );
    }
}

/// Guards against a customer that floods one entry and takes the contracted share of customers at the other one.
#[test]
fn flooding_customer_leaves_the_others_their_share() {
    // Each other customer asks for its whole share, a quarter of the capacity, through the other entry.
    let others = (1..4).map(|customer| load(customer, 0, 1, 0.25 * CAPACITY_PER_SECOND));
    let mut loads: Vec<Load> = others.collect();
    loads.push(load(0, 0, 0, 10.0 * CAPACITY_PER_SECOND));
    let flooded = run(&[25; 4], &loads);
    insta::assert_snapshot!(table(&flooded));
    check_shares(SEED, &flooded);
    for seed in 1..=3 {
        check_shares(seed, &run_seed(seed, &[25; 4], &loads));
    }
}

fn check_shares(seed: u64, flooded: &Pair) {
    for customer in 1..4 {
        let tally = &flooded.tallies[&(customer, 0, 1)];
        let (sent, answered) = (tally.sent.min(QUARTER_REQUESTS), tally.answered);
        assert!(
            100 * answered >= 99 * sent,
            "seed {seed}: customer {customer}: {answered} of {sent}"
        );
    }
}

/// Guards against refusals that come only when the deadline passes.
#[test]
fn refusals_in_a_flood_come_at_once() {
    let flooded = run(
        &[50, 50],
        &[
            load(0, 0, 0, 10.0 * CAPACITY_PER_SECOND),
            load(1, 0, 1, 5.0 * CAPACITY_PER_SECOND),
        ],
    );
    for tally in flooded.tallies.values() {
        let refusal = tally.refusal();
        assert!(
            refusal <= Duration::from_millis(100),
            "seed {SEED}: {refusal:?}"
        );
    }
}

/// Guards against slots that stay idle at one entry while requests are queued at the other one.
#[test]
fn flood_at_one_entry_uses_the_slots_of_both() {
    let flooded = run(
        &[50, 50],
        &[
            load(0, 0, 0, 10.0 * CAPACITY_PER_SECOND),
            load(1, 0, 1, 0.1 * CAPACITY_PER_SECOND),
        ],
    );
    insta::assert_snapshot!(table(&flooded));
    let other = &flooded.tallies[&(1, 0, 1)];
    let (sent, answered) = (other.sent, other.answered);
    assert!(
        100 * answered >= 99 * sent,
        "seed {SEED}: {answered} of {sent}"
    );
    let own = flooded.used_own();
    assert!(
        own.iter().all(|used| *used >= 98),
        "seed {SEED}: of its own slots {own:?}"
    );
    let whole = flooded.used_whole();
    assert!(whole >= 98, "seed {SEED}: of all slots {whole}");
}

/// Guards against urgent work that waits behind a flood of bulk work of the same or of another customer.
#[test]
fn urgent_work_starts_within_three_seconds() {
    let mut urgent = [load(0, 0, 0, 2.0), load(0, 0, 1, 2.0)];
    for load in &mut urgent {
        load.deadline = Duration::from_secs(10);
    }
    let own = load(0, 1, 0, 10.0 * CAPACITY_PER_SECOND);
    let other = load(1, 1, 1, 10.0 * CAPACITY_PER_SECOND);
    let flooded = run(&[50, 50], &[urgent[0], urgent[1], own, other]);
    insta::assert_snapshot!(table(&flooded));
    for entry in 0..2 {
        let tally = &flooded.tallies[&(0, 0, entry)];
        let longest = tally.waits.iter().max().copied().unwrap_or_default();
        assert!(
            longest <= Duration::from_secs(3),
            "seed {SEED}: {longest:?}"
        );
        assert_eq!(tally.answered, tally.sent, "seed {SEED}: entry {entry}");
    }
}

/// Guards against retries that exceed the retry budget after an outage of all upstreams.
#[test]
fn retry_storm_stays_within_the_retry_budget() {
    let mut pair = Pair::new(SEED, &[50, 50], UPSTREAMS, SLOTS_PER_UPSTREAM, SERVICE_TIME);
    pair.schedule_outage(Duration::from_secs(2), Duration::from_secs(4));
    let loads = [0, 1].map(|customer| load(customer, 0, customer, 0.45 * CAPACITY_PER_SECOND));
    pair.run(&loads, Duration::from_secs(12));
    let mut text = table(&pair);
    for ((customer, entry), [first, retries]) in &pair.attempts {
        writeln!(
            text,
            "customer {customer} entry {entry}: first {first} retries {retries}"
        )
        .unwrap();
        // The budget is 10% of the admitted requests, whether they have started or not, and 10 saved retries.
        let earned = 10 + pair.admitted(*customer, *entry) / 10;
        assert!(*retries <= earned, "seed {SEED}: {retries} of {earned}");
    }
    insta::assert_snapshot!(text);
}

/// Guards against two flooding customers at different entries that take the share of others or of each other.
#[test]
fn two_flooding_customers_leave_the_others_their_share() {
    let quiet = [2, 3].map(|customer| load(customer, 0, customer % 2, 0.25 * CAPACITY_PER_SECOND));
    let floods = [0, 1].map(|customer| load(customer, 0, customer, 10.0 * CAPACITY_PER_SECOND));
    let flooded = run(&[25; 4], &[quiet[0], quiet[1], floods[0], floods[1]]);
    insta::assert_snapshot!(table(&flooded));
    for customer in 2..4 {
        let tally = &flooded.tallies[&(customer, 0, customer % 2)];
        let (sent, answered) = (tally.sent.min(QUARTER_REQUESTS), tally.answered);
        assert!(
            100 * answered >= 99 * sent,
            "seed {SEED}: customer {customer}: {answered} of {sent}"
        );
    }
    // Jain's index of two customers: (a + b)^2 / 2 (a^2 + b^2).
    let [a, b] = [0, 1].map(|customer| flooded.tallies[&(customer, 0, customer)].answered);
    let equal = 100 * (a + b) * (a + b) >= 99 * 2 * (a * a + b * b);
    assert!(equal, "seed {SEED}: {a} and {b}");
}
