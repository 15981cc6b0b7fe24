//! Ejection, probing and return of upstreams.

mod common;

use common::{
    Behaviour,
    Pool, //
};
use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    AttemptResult,
    HealthState, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

const GAP: Duration = Duration::from_millis(2);

/// Returns requests to the first upstream and the mean of the others by 10 s, with its state.
fn timeline(pool: &mut Pool, periods: u32) -> String {
    let mut table = String::new();
    for _ in 0..periods {
        let exhausted = pool.run(Duration::from_secs(10), GAP);
        let sent = pool.take_sent();
        let others = sent[1..].iter().sum::<u64>() / (sent.len() as u64 - 1);
        let state = match pool.status(0).state {
            HealthState::Ejected(until) => format!("ejected for {:?}", until.since(pool.now)),
            state => format!("{state:?}"),
        };
        let out = pool.out();
        let first = sent[0];
        writeln!(
            table,
            "{first:>5} {others:>5} exhausted {exhausted} out {out} {state}"
        )
        .unwrap();
    }
    table
}

fn lose_and_regain(behaviour: Behaviour) -> String {
    let mut table = String::new();
    for seed in SEEDS {
        let mut pool = Pool::new(seed, 8, 8);
        pool.behaviours[0] = behaviour;
        writeln!(table, "seed {seed}\n{}", timeline(&mut pool, 4)).unwrap();
        pool.behaviours[0] = Behaviour::Healthy;
        writeln!(table, "healthy again\n{}", timeline(&mut pool, 5)).unwrap();
        assert_eq!(pool.status(0).state, HealthState::Serving, "seed {seed}");
    }
    table
}

/// Guards against an upstream that fails at once, looks idle and draws all traffic.
#[test]
fn failing_fast_upstream_loses_its_traffic_and_gets_it_back() {
    insta::assert_snapshot!(lose_and_regain(Behaviour::FailsFast));
}

/// Guards against an upstream that accepts and never answers, and so keeps slots until the attempts time out.
#[test]
fn silent_upstream_loses_its_traffic_and_gets_it_back() {
    insta::assert_snapshot!(lose_and_regain(Behaviour::Silent));
}

/// Guards against an upstream whose short good phases wipe out its history.
#[test]
fn flapping_upstream_is_ejected_for_longer_each_time() {
    let mut table = String::new();
    for seed in SEEDS {
        let mut pool = Pool::new(seed, 8, 8);
        pool.behaviours[0] = Behaviour::Flaps;
        writeln!(table, "seed {seed}\n{}", timeline(&mut pool, 12)).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a fault of all upstreams, such as a bad release or a bad request, that empties the pool.
#[test]
fn common_fault_ejects_at_most_a_third() {
    let mut table = String::new();
    for (size, limit) in [(1, 1), (2, 1), (3, 1), (7, 2), (9, 3), (50, 16)] {
        let mut pool = Pool::new(4, size, 8);
        pool.behaviours.fill(Behaviour::FailsFast);
        let mut most = 0;
        for _ in 0..3_000 {
            pool.run(Duration::from_millis(10), GAP);
            most = most.max(pool.out());
            assert!(pool.out() <= limit, "seed 4: {} of {size}", pool.out());
        }
        let withheld = pool.router.counters().withheld > 0;
        pool.behaviours.fill(Behaviour::Healthy);
        pool.run(Duration::from_secs(60), GAP);
        let failed = pool.failed;
        let exhausted = pool.run(Duration::from_secs(10), GAP);
        let late = pool.failed - failed;
        let out = pool.out();
        writeln!(
            table,
            "{size:>2} upstreams: most out {most}, withheld {withheld}, 60 s later: out {out}, failed {late}, \
             exhausted {exhausted}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a pool that is left with ejected upstreams only, because the others drained.
#[test]
fn shrinking_pool_takes_ejected_upstreams_back() {
    let mut pool = Pool::new(5, 9, 8);
    pool.behaviours[..3].fill(Behaviour::FailsFast);
    pool.run(Duration::from_secs(10), GAP);
    assert_eq!(pool.out(), 3);
    for place in 3..9 {
        let key = pool.keys[place];
        pool.router
            .drain(pool.now, key, sassafrascrank_route::DrainSource::List);
    }
    assert_eq!(pool.out(), 1);
    assert_eq!(pool.router.counters().reinstated, 2);
    assert!(pool.router.slots(pool.home, false) >= 2);
}

/// Guards against an upstream whose failures never come in a row, and against ejection for a few of them.
#[test]
fn half_of_the_attempts_failing_ejects() {
    let answer = AttemptResult::Answered(Duration::from_millis(20));
    for (every, ejected) in [(2, 1), (3, 0), (10, 0)] {
        let mut pool = Pool::new(9, 1, 8);
        for attempt in 1..=40 {
            let chosen = pool.router.choose(pool.now, pool.home, false, None);
            let failed = attempt % every == 0;
            let report = if failed { AttemptResult::Lost } else { answer };
            pool.router.release(pool.now, pool.keys[0], report);
            pool.now = pool.now + Duration::from_millis(100);
            if chosen.is_none() {
                break;
            }
        }
        assert_eq!(pool.router.counters().ejected, ejected, "1 of {every}");
    }
}

/// Guards against health that is learned from attempts which say nothing about the upstream.
#[test]
fn stale_and_cancelled_attempts_leave_health_alone() {
    let mut pool = Pool::new(6, 3, 8);
    let now = pool.now;
    for report in [AttemptResult::Stale, AttemptResult::Cancelled] {
        for _ in 0..100 {
            let key = pool.router.choose(now, pool.home, false, None).unwrap();
            pool.router.release(now, key, report);
        }
    }
    assert_eq!(pool.out(), 0);
    assert_eq!(pool.router.counters().ejected, 0);
    assert!(
        pool.router
            .statuses()
            .all(|status| status.latency.is_none())
    );
}

/// Guards against a burst of requests to an upstream that may still be broken.
#[test]
fn one_probe_at_a_time_and_growing_concurrency() {
    let mut pool = Pool::new(7, 1, 8);
    let (home, key) = (pool.home, pool.keys[0]);
    let mut now = pool.now;
    for _ in 0..5 {
        pool.router.choose(now, home, false, None).unwrap();
        pool.router.release(now, key, AttemptResult::Unreachable);
    }
    assert_eq!(pool.router.choose(now, home, false, None), None);
    now = pool.router.next_probe().unwrap();
    let mut table = String::new();
    // A probe that the caller cancels decides nothing, so another one follows.
    for report in [AttemptResult::Cancelled, AttemptResult::Stale] {
        assert_eq!(pool.router.choose(now, home, false, None), Some(key));
        assert_eq!(pool.router.choose(now, home, false, None), None);
        pool.router.release(now, key, report);
    }
    for _ in 0..10 {
        let mut taken = 0;
        while pool.router.choose(now, home, false, None).is_some() {
            taken += 1;
        }
        writeln!(table, "{taken} at once, {:?}", pool.status(0).state).unwrap();
        let answer = AttemptResult::Answered(Duration::from_millis(20));
        pool.router.release(now, key, answer);
        for _ in 1..taken {
            pool.router.release(now, key, AttemptResult::Cancelled);
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against attempts from before an ejection that lengthen it when they fail later.
#[test]
fn late_failures_do_not_lengthen_an_ejection() {
    let mut pool = Pool::new(8, 1, 8);
    let (home, key, now) = (pool.home, pool.keys[0], pool.now);
    for _ in 0..8 {
        pool.router.choose(now, home, false, None).unwrap();
    }
    for _ in 0..5 {
        pool.router.release(now, key, AttemptResult::Lost);
    }
    let until = pool.router.next_probe();
    let late = until.unwrap() + Duration::from_millis(1);
    pool.router.advance(late);
    for _ in 0..3 {
        assert_eq!(pool.router.choose(late, home, false, None), None);
        pool.router.release(late, key, AttemptResult::TimedOut);
    }
    assert_eq!(pool.router.counters().ejected, 1);
    assert_eq!(pool.router.choose(late, home, false, None), Some(key));
}
