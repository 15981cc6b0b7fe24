//! Draining of an upstream that is leaving.

mod common;

use common::Pool;
use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    AttemptResult,
    DrainSource, //
};

/// The list shows a leaving host this long after it began to leave.
const LIST_LAG: Duration = Duration::from_secs(30);

/// The invariant `drain` of the design page.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time between two reports to peers, and the delay of one report.
const INTERVAL_MS: u64 = 1_000;
const DELAY: Duration = Duration::from_millis(5);

/// An entry with the work that it has in flight at the leaving upstream.
struct Side {
    pool: Pool,
    last: Option<Time>,
    held: Vec<(Time, upstream::Key)>,
}

impl Side {
    fn new(seed: u64) -> Self {
        Self {
            pool: Pool::new(seed, 4, 2),
            last: None,
            held: Vec::new(),
        }
    }

    /// Takes a slot if there is one and ends what is due; each request takes 200 ms.
    fn step(&mut self, now: Time) {
        let router = &mut self.pool.router;
        let answer = AttemptResult::Answered(Duration::from_millis(200));
        self.held.retain(|&(end, key)| {
            if end <= now {
                router.release(now, key, answer);
            }
            end > now
        });
        if let Some(key) = router.choose(now, self.pool.home, false, None) {
            self.held.push((now + Duration::from_millis(200), key));
            if key == self.pool.keys[0] {
                self.last = Some(now);
            }
        }
    }

    fn drain(&mut self, now: Time, source: DrainSource) -> bool {
        let key = self.pool.keys[0];
        self.pool.router.drain(now, key, source)
    }
}

/// Guards against new work for a leaving upstream more than 3 s after the first source, at any entry.
#[test]
fn each_sign_stops_new_work_within_the_limit() {
    let mut table = String::new();
    for source in [
        DrainSource::List,
        DrainSource::Response,
        DrainSource::Connection,
        DrainSource::Peer,
    ] {
        let (mut near, mut far) = (Side::new(1), Side::new(2));
        let start = near.pool.now + Duration::from_millis(237);
        let lag = if source == DrainSource::List {
            LIST_LAG
        } else {
            Duration::from_millis(60)
        };
        let first = start + lag;
        let next_report = Time::from_millis((first.as_millis() / INTERVAL_MS + 1) * INTERVAL_MS);
        let (mut signalled, mut told) = (false, false);
        let mut now = near.pool.now;
        while now < start + LIST_LAG + DRAIN_LIMIT * 2 {
            if now >= first && !signalled {
                assert!(near.drain(now, source));
                signalled = true;
            }
            if now >= next_report + DELAY && !told {
                assert!(far.drain(now, DrainSource::Peer));
                told = true;
            }
            // The list comes at last to both and is no news to either.
            if now >= start + LIST_LAG && signalled && told {
                assert!(!near.drain(now, DrainSource::List));
                assert!(!far.drain(now, DrainSource::List));
            }
            near.step(now);
            far.step(now);
            now = now + Duration::from_millis(5);
        }
        let mut line = format!("{source:?}: first sign after {lag:?}");
        for (name, side) in [("near", &near), ("far", &far)] {
            let after = side.last.unwrap().since(first);
            assert!(after <= DRAIN_LIMIT, "{source:?}: {after:?}");
            let status = side.pool.status(0);
            // Work in flight has finished: nothing runs there any more.
            assert_eq!(status.running, 0);
            let by = status.drain.unwrap();
            let since = by.since.since(first);
            write!(
                line,
                "; {name} by {:?} after {since:?}, last work after {after:?}",
                by.source
            )
            .unwrap();
        }
        writeln!(table, "{line}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against an upstream that drains and blocks the ejection of another one.
#[test]
fn draining_does_not_count_as_ejected() {
    let mut pool = Pool::new(3, 4, 8);
    for place in [0, 1] {
        let key = pool.keys[place];
        pool.behaviours[place] = common::Behaviour::FailsFast;
        pool.run(Duration::from_secs(2), Duration::from_millis(2));
        assert_eq!(pool.out(), 1);
        pool.router.drain(pool.now, key, DrainSource::Response);
        let status = pool.status(place);
        assert!(status.drain.is_some());
    }
    assert_eq!(pool.router.counters().drained, [0, 2, 0, 0]);
}

/// Guards against a restarted upstream that stays marked as draining.
#[test]
fn new_incarnation_starts_afresh() {
    let mut pool = Pool::new(4, 1, 2);
    let old = pool.keys[0];
    pool.router.drain(pool.now, old, DrainSource::Connection);
    assert_eq!(pool.router.choose(pool.now, pool.home, false, None), None);
    let new = pool.add(common::Behaviour::Healthy);
    assert_eq!(
        pool.router.choose(pool.now, pool.home, false, None),
        Some(new)
    );
    assert!(pool.router.status(old).unwrap().drain.is_some());
}
