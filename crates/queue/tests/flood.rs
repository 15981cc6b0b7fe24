//! Service of other customers and classes during a flood, compared with a FIFO, strict priority and a static partition.

mod common;

use common::{
    Fair, Run,
    baseline::Baseline,
    load::{
        Job,
        SERVICE_MEAN_SECONDS,
        Stream,
        alternating_bursts,
        draw_jobs, //
    },
    run,
    table::{
        Row,
        added_wait,
        jain,
        row, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::Class;
use std::fmt::Write;

/// Slots of 10 upstreams with 8 slots each.
const SLOTS: usize = 80;
/// Length of the arrivals of one run.
const SECONDS: usize = 24;
const SEED: u64 = 7;

const fn class(share: u32, timeout: u64) -> Class {
    Class {
        share,
        timeout: Duration::from_secs(timeout),
        limit: 4_096,
    }
}

/// Shares of the customers of a pool in percent, and the classes that each of them has.
struct Pool {
    shares: &'static [u32],
    classes: &'static [Class],
}

const ONE_CUSTOMER: Pool = Pool {
    shares: &[100],
    classes: &[class(60, 3), class(20, 3), class(10, 4)],
};
const FOUR_CUSTOMERS: Pool = Pool {
    shares: &[25, 25, 25, 25],
    classes: &[class(60, 3), class(40, 4)],
};

impl Pool {
    /// Creates a stream of a customer and class whose bursts demand the part `burst` of the pool, five times its mean.
    fn stream(&self, name: &'static str, flow: (usize, u8), burst: f64, cost_error: f64) -> Stream {
        let (customer, class) = flow;
        let limits = self.classes[usize::from(class)];
        let share = f64::from(self.shares[customer] * limits.share) / 1e4;
        let turn = customer + usize::from(class);
        let turns = self.shares.len() + self.classes.len() - 1;
        Stream {
            name,
            customer,
            class,
            share,
            demand: alternating_bursts(burst / 5.0, turn, turns, SECONDS),
            cost_error,
            timeout: limits.timeout + Duration::from_secs(1),
        }
    }

    fn fair(&self) -> Fair {
        Fair::new(SLOTS as u32, 8_192, self.shares, self.classes)
    }
}

/// Raises the demand of a stream to ten times the pool.
fn flood(stream: &mut Stream) {
    stream.demand = vec![10.0; SECONDS];
}

fn rows(run: &Run, jobs: &[Job], streams: &[Stream]) -> Vec<Row> {
    let streams = streams.iter().enumerate();
    streams
        .map(|(index, stream)| row(run, jobs, SLOTS, index, stream))
        .collect()
}

fn print(table: &mut String, name: &str, run: &Run, streams: &[Stream], rows: &[Row]) {
    let used = 100.0 * run.utilisation;
    writeln!(
        table,
        "{name}: {used:.1}% of slots used while anything waits"
    )
    .unwrap();
    for (stream, row) in streams.iter().zip(rows) {
        writeln!(
            table,
            "  {:<11} in time {:>6}  kept {:>6.1}%  wait p99 {:>5} ms  refused {:>6} p99 {:>5} ms",
            stream.name,
            row.in_time,
            100.0 * row.kept,
            row.wait_ms,
            row.refused,
            row.refusal_ms
        )
        .unwrap();
    }
}

/// Runs the queue and the baselines; returns the queue's run, its rows and the table.
fn compare(pool: &Pool, streams: &[Stream], jobs: &[Job]) -> (Run, Vec<Row>, String) {
    let mut table = String::new();
    let fair = run(&mut pool.fair(), SLOTS, jobs);
    let measured = rows(&fair, jobs, streams);
    print(&mut table, "fair", &fair, streams, &measured);
    let baselines = [
        ("fifo", Baseline::fifo()),
        ("priority", Baseline::priority()),
        ("partition", Baseline::partition(SLOTS, streams)),
    ];
    for (name, mut baseline) in baselines {
        let run = run(&mut baseline, SLOTS, jobs);
        print(&mut table, name, &run, streams, &rows(&run, jobs, streams));
    }
    (fair, measured, table)
}

/// Checks the bounds for every flood: utilisation, time to a refusal, and slot time of the other streams.
fn check(seed: u64, run: &Run, streams: &[Stream], rows: &[Row], flooding: &[usize], table: &str) {
    assert!(run.utilisation >= 0.98, "seed {seed}: utilisation\n{table}");
    for (index, (stream, row)) in streams.iter().zip(rows).enumerate() {
        let name = stream.name;
        let late = row.refused > 0 && row.refusal_ms > 100;
        assert!(!late, "seed {seed}: refusals of {name}\n{table}");
        let kept = flooding.contains(&index) || row.kept >= 0.99;
        assert!(kept, "seed {seed}: share of {name}\n{table}");
    }
}

/// Runs the queue alone and checks the bounds.
fn check_seed(seed: u64, pool: &Pool, streams: &[Stream], flooding: &[usize]) -> Vec<Row> {
    let jobs = draw_jobs(seed, SLOTS, streams);
    let fair = run(&mut pool.fair(), SLOTS, &jobs);
    let measured = rows(&fair, &jobs, streams);
    let mut table = String::new();
    print(&mut table, "fair", &fair, streams, &measured);
    check(seed, &fair, streams, &measured, flooding, &table);
    measured
}

fn one_customer_streams(preview: f64, interactive: f64, overnight: f64) -> Vec<Stream> {
    // The errors of the declared costs favour the less urgent classes.
    vec![
        ONE_CUSTOMER.stream("preview", (0, 0), preview, 3.0),
        ONE_CUSTOMER.stream("interactive", (0, 1), interactive, 1.0),
        ONE_CUSTOMER.stream("overnight", (0, 2), overnight, 0.3),
    ]
}

/// Guards against overnight work that delays previews, although they stay within their share.
#[test]
fn overnight_flood_leaves_previews_their_deadlines() {
    let mut streams = one_customer_streams(0.55, 0.18, 0.09);
    let quiet_jobs = draw_jobs(SEED, SLOTS, &streams);
    let quiet = run(&mut ONE_CUSTOMER.fair(), SLOTS, &quiet_jobs);
    let before = rows(&quiet, &quiet_jobs, &streams);
    flood(&mut streams[2]);
    let jobs = draw_jobs(SEED, SLOTS, &streams);
    let (fair, after, table) = compare(&ONE_CUSTOMER, &streams, &jobs);
    check(SEED, &fair, &streams, &after, &[2], &table);
    let added = added_wait(0, (&quiet, &quiet_jobs), (&fair, &jobs));
    let ratio = after[0].in_time as f64 / before[0].in_time as f64;
    assert!(
        ratio >= 0.99,
        "seed {SEED}: previews in time {ratio}\n{table}"
    );
    assert!(
        added.as_secs_f64() <= SERVICE_MEAN_SECONDS,
        "seed {SEED}: {added:?}"
    );
    let added = added.as_millis();
    insta::assert_snapshot!(format!("{table}added wait of previews p99 {added} ms\n"));
}

/// Guards against bursts beyond the share that get less than the share during an overnight flood.
#[test]
fn overnight_flood_leaves_bursts_above_the_share_their_share() {
    let mut streams = one_customer_streams(1.25, 0.4, 0.0);
    flood(&mut streams[2]);
    let jobs = draw_jobs(SEED, SLOTS, &streams);
    let (fair, after, table) = compare(&ONE_CUSTOMER, &streams, &jobs);
    check(SEED, &fair, &streams, &after, &[2], &table);
    insta::assert_snapshot!(table);
}

/// Guards against a flood of urgent work that starves the other classes.
#[test]
fn urgent_flood_leaves_other_classes_their_share() {
    let mut streams = one_customer_streams(0.0, 0.4, 0.2);
    flood(&mut streams[0]);
    let jobs = draw_jobs(SEED, SLOTS, &streams);
    let (fair, after, table) = compare(&ONE_CUSTOMER, &streams, &jobs);
    check(SEED, &fair, &streams, &after, &[0], &table);
    insta::assert_snapshot!(table);
}

fn four_customer_streams(flooding: &[usize]) -> (Vec<Stream>, Vec<usize>) {
    let names = [
        ["alba/q", "alba/l"],
        ["brisa/q", "brisa/l"],
        ["cedro/q", "cedro/l"],
        ["duna/q", "duna/l"],
    ];
    let cost_errors = [3.0, 0.3, 1.0, 2.0];
    let mut streams = Vec::new();
    for (customer, [quoting, ledger]) in names.into_iter().enumerate() {
        streams.push(FOUR_CUSTOMERS.stream(quoting, (customer, 0), 0.3, cost_errors[customer]));
        streams.push(FOUR_CUSTOMERS.stream(ledger, (customer, 1), 0.2, cost_errors[customer]));
    }
    let flooded = flooding
        .iter()
        .flat_map(|&customer| [2 * customer, 2 * customer + 1]);
    let flooded: Vec<_> = flooded.collect();
    for &index in &flooded {
        flood(&mut streams[index]);
        streams[index].demand.fill(5.0);
    }
    (streams, flooded)
}

/// Returns Jain's index of the slot time of `customers`.
fn fairness(customers: &[usize], rows: &[Row]) -> f64 {
    let time =
        |customer: &usize| rows[2 * customer].slot_seconds + rows[2 * customer + 1].slot_seconds;
    jain(&customers.iter().map(time).collect::<Vec<_>>())
}

/// Guards against bounds that hold for one seed only.
///
/// With seed 3, an error of the learned cost once made more than 1% of the refusals of the stream `brisa/q` late.
#[test]
fn bounds_hold_for_other_seeds() {
    for seed in [1, 2, 3, 4] {
        for (index, demand) in [(2, [0.55, 0.18, 0.09]), (0, [0.0, 0.4, 0.2])] {
            let mut streams = one_customer_streams(demand[0], demand[1], demand[2]);
            flood(&mut streams[index]);
            check_seed(seed, &ONE_CUSTOMER, &streams, &[index]);
        }
        for customers in [&[1][..], &[1, 3], &[0, 1, 2, 3]] {
            let (streams, flooded) = four_customer_streams(customers);
            let measured = check_seed(seed, &FOUR_CUSTOMERS, &streams, &flooded);
            let index = fairness(customers, &measured);
            assert!(index >= 0.99, "seed {seed}: Jain's index {index}");
        }
    }
}

/// Guards against customers that lose their share to flooding customers, and against unequal floods.
#[test]
fn flooding_customers_leave_the_others_their_share() {
    let mut tables = String::new();
    for flooding in [&[1][..], &[1, 3], &[0, 1, 2, 3]] {
        let (streams, flooded) = four_customer_streams(flooding);
        let jobs = draw_jobs(SEED, SLOTS, &streams);
        let (fair, after, table) = compare(&FOUR_CUSTOMERS, &streams, &jobs);
        check(SEED, &fair, &streams, &after, &flooded, &table);
        let index = fairness(flooding, &after);
        assert!(index >= 0.99, "seed {SEED}: Jain's index {index}\n{table}");
        writeln!(
            tables,
            "{table}Jain's index of flooding customers {index:.4}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(tables);
}
