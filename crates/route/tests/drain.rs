//! Draining of an upstream that is leaving.

mod common;

use common::Pool;
use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    AttemptResult,
    DrainSource, //
};

/// Time after which the host list shows that an upstream is leaving.
const HOST_LIST_DELAY: Duration = Duration::from_secs(30);

/// Longest time from the first sign that an upstream is leaving to the last new request at any entry; the limit of the
/// invariant `drain` of the design page.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time between two reports of an entry to its peers.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Time until a report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(5);

/// An entry and its requests in flight.
struct Entry {
    pool: Pool,
    /// When it last sent a request to the leaving upstream.
    last: Option<Time>,
    in_flight: Vec<(Time, upstream::Key)>,
}

impl Entry {
    fn new(seed: u64) -> Self {
        Self {
            pool: Pool::new(seed, 4, 2),
            last: None,
            in_flight: Vec::new(),
        }
    }

    /// Ends the requests that are due and starts one if a slot is free; each takes 200 ms.
    fn step(&mut self, now: Time) {
        let router = &mut self.pool.router;
        let answer = AttemptResult::Answered(Duration::from_millis(200));
        self.in_flight.retain(|&(end, key)| {
            if end <= now {
                router.release(now, key, answer);
            }
            end > now
        });
        if let Some(key) = router.choose(now, self.pool.home, false, None) {
            self.in_flight.push((now + Duration::from_millis(200), key));
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

/// Guards against new requests to a leaving upstream, at any entry, more than 3 s after the first sign that it leaves.
#[test]
fn each_drain_source_stops_new_requests_within_the_limit() {
    let mut table = String::new();
    for source in [
        DrainSource::List,
        DrainSource::Response,
        DrainSource::Connection,
        DrainSource::Peer,
    ] {
        let (mut near, mut far) = (Entry::new(1), Entry::new(2));
        let start = near.pool.now + Duration::from_millis(237);
        let delay = if source == DrainSource::List {
            HOST_LIST_DELAY
        } else {
            Duration::from_millis(60)
        };
        let first = start + delay;
        let next_report =
            Time::from_millis((first.as_millis() / REPORT_INTERVAL_MS + 1) * REPORT_INTERVAL_MS);
        let (mut signalled, mut reported) = (false, false);
        let mut now = near.pool.now;
        while now < start + HOST_LIST_DELAY + DRAIN_LIMIT * 2 {
            if now >= first && !signalled {
                assert!(near.drain(now, source));
                signalled = true;
            }
            if now >= next_report + REPORT_DELAY && !reported {
                assert!(far.drain(now, DrainSource::Peer));
                reported = true;
            }
            // The host list reaches both entries last, when both already know.
            if now >= start + HOST_LIST_DELAY && signalled && reported {
                assert!(!near.drain(now, DrainSource::List));
                assert!(!far.drain(now, DrainSource::List));
            }
            near.step(now);
            far.step(now);
            now = now + Duration::from_millis(5);
        }
        let mut line = format!("{source:?}: first sign after {delay:?}");
        for (name, entry) in [("near", &near), ("far", &far)] {
            let after = entry.last.unwrap().since(first);
            assert!(after <= DRAIN_LIMIT, "{source:?}: {after:?}");
            let status = entry.pool.status(0);
            // All requests that were in flight at the upstream have ended.
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

/// Guards against a draining upstream that counts as ejected, so that another one can't be ejected.
#[test]
fn draining_does_not_count_as_ejected() {
    let mut pool = Pool::new(3, 4, 8);
    for index in [0, 1] {
        let key = pool.keys[index];
        pool.behaviours[index] = common::Behaviour::FailsFast;
        pool.run(Duration::from_secs(2), Duration::from_millis(2));
        assert_eq!(pool.out_of_service(), 1);
        pool.router.drain(pool.now, key, DrainSource::Response);
        let status = pool.status(index);
        assert!(status.drain.is_some());
    }
    assert_eq!(pool.router.counters().drained, [0, 2, 0, 0]);
}

/// Guards against a restarted upstream that still counts as draining.
#[test]
fn restarted_upstream_does_not_drain() {
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
