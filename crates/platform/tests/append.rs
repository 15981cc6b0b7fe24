//! Order and retries of appends, in virtual time.

use sassafrascrank_base::{
    name::Name,
    time::Time, //
};
use sassafrascrank_ledger::Origin;
use sassafrascrank_platform::{
    Appender,
    Error,
    append::QUEUE_LIMIT, //
};
use std::fmt::Write;

fn appender(seed: u64) -> Appender {
    Appender::new(Name::new("entry1").unwrap(), 1, seed)
}

fn origin(sequence: u64) -> Origin {
    Origin {
        writer: Name::new("entry1").unwrap(),
        incarnation: 1,
        sequence,
    }
}

fn lost_response() -> Error {
    Error::Unavailable {
        sent: true,
        reason: "connection closed".to_owned(),
    }
}

/// Guards against a retry with another origin, a record that is appended before an older one, retries without growing
/// delays, and a retry after the record was read back.
#[test]
fn lost_response_is_retried_with_the_same_origin() {
    let mut appender = appender(1);
    appender.push(|origin| origin.to_string()).unwrap();
    appender.push(|origin| origin.to_string()).unwrap();
    let mut now = Time::MIN;
    let mut report = String::new();
    for _ in 0..8 {
        let body = appender.poll(now).map(str::to_owned);
        assert_eq!(
            appender.poll(now),
            None,
            "a second append while one is in flight"
        );
        appender.complete(now, Err(lost_response()));
        let wake = appender.wake_at().unwrap();
        let wait = wake.since(now).as_millis();
        writeln!(report, "{body:?}, then {wait} ms").unwrap();
        assert_eq!(appender.poll(now), None, "a retry before its time");
        now = wake;
    }
    let seen = appender.observe(&origin(1), 5);
    let next = appender.poll(now).map(str::to_owned);
    let appended = appender.complete(now, Ok(6));
    let other = appender.poll(now).map(str::to_owned);
    writeln!(report, "{seen:?}\n{next:?}\n{appended:?}\n{other:?}").unwrap();
    writeln!(report, "{:?}", appender.observe(&origin(2), 6)).unwrap();
    writeln!(
        report,
        "empty: {}, retries: {}",
        appender.is_empty(),
        appender.retries()
    )
    .unwrap();
    insta::assert_snapshot!(report);
}

/// Guards against a second copy that is reported as another record, and against the record of another incarnation that
/// is reported as the appender's own.
#[test]
fn only_the_first_copy_of_an_own_record_is_reported() {
    let mut appender = appender(1);
    appender.push(|origin| origin.to_string()).unwrap();
    let mut other = origin(1);
    other.incarnation = 2;
    assert_eq!(appender.observe(&other, 3), None);
    assert!(appender.observe(&origin(1), 4).is_some());
    assert_eq!(appender.observe(&origin(1), 5), None);
}

/// Guards against a response that arrives after the record was read back and is attributed to the next record.
#[test]
fn late_response_is_not_attributed_to_the_next_record() {
    let mut appender = appender(1);
    appender.push(|origin| origin.to_string()).unwrap();
    appender.push(|origin| origin.to_string()).unwrap();
    assert!(appender.poll(Time::MIN).is_some());
    appender.observe(&origin(1), 4);
    assert_eq!(appender.complete(Time::MIN, Ok(4)), None);
    assert_eq!(appender.poll(Time::MIN), Some("entry1/1/2"));
}

/// Guards against a queue that grows without bound during an outage, and against a rejected record that blocks the
/// records after it.
#[test]
fn queue_is_bounded_and_drops_a_rejected_record() {
    let mut appender = appender(1);
    for _ in 0..QUEUE_LIMIT {
        appender.push(|origin| origin.to_string()).unwrap();
    }
    let full = appender.push(|origin| origin.to_string());
    assert!(appender.poll(Time::MIN).is_some());
    let refused = Error::malformed("record", "x", "send one JSON object");
    let event = appender.complete(Time::MIN, Err(refused));
    let next = appender.poll(Time::MIN).map(str::to_owned);
    insta::assert_debug_snapshot!((full, event, next, appender.len()));
}

/// Guards against appended records that stay queued forever because they expired before the reader reached them.
#[test]
fn record_that_expired_unread_leaves_the_queue() {
    let mut appender = appender(1);
    appender.push(|origin| origin.to_string()).unwrap();
    assert!(appender.poll(Time::MIN).is_some());
    appender.complete(Time::MIN, Ok(4));
    appender.discard_through(3);
    assert_eq!(appender.len(), 1);
    appender.discard_through(4);
    assert!(appender.is_empty());
}

/// Guards against processes that all retry at the same times.
#[test]
fn retry_delays_differ_between_seeds() {
    let mut waits: Vec<u128> = (0..20)
        .map(|seed| {
            let mut appender = appender(seed);
            appender.push(|origin| origin.to_string()).unwrap();
            assert!(appender.poll(Time::MIN).is_some());
            appender.complete(Time::MIN, Err(lost_response()));
            appender.wake_at().unwrap().since(Time::MIN).as_micros()
        })
        .collect();
    assert!(
        waits.iter().all(|wait| (50_000..=100_000).contains(wait)),
        "{waits:?}"
    );
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() >= 19, "{waits:?}");
}
