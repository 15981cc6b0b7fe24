//! Token bucket: rates, overflow, and clocks that step back.

use sassafrascrank_base::prelude::*;
use sassafrascrank_retry::Bucket;

const HOUR: Duration = Duration::from_secs(3_600);

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn drain(bucket: &mut Bucket, now: Time) -> usize {
    (0..100_000)
        .take_while(|_| bucket.take(now).is_ok())
        .count()
}

/// Guards against a wait after which there is still no token, and against one that is longer than needed.
#[test]
fn returned_wait_is_exact() {
    let mut lines = String::new();
    for rate in [1, 3, 7, 1_000, 999_999, u32::MAX] {
        let mut bucket = Bucket::new(at(0), rate, 1);
        bucket.take(at(0)).unwrap();
        let wait = bucket.take(at(0)).unwrap_err();
        let before = at(0) + wait.saturating_sub(Duration::from_micros(1));
        assert!(bucket.take(before).is_err(), "rate {rate}: early token");
        assert!(
            bucket.take(at(0) + wait).is_ok(),
            "rate {rate}: no token after {wait:?}"
        );
        lines += &format!("rate {rate}: next token after {wait:?}\n");
    }
    insta::assert_snapshot!(lines);
}

/// Guards against more tokens than rate times time plus burst, and against fractions of a token lost between calls.
#[test]
fn tokens_follow_the_rate() {
    let mut bucket = Bucket::new(at(0), 7, 3);
    let mut taken = drain(&mut bucket, at(0));
    assert_eq!(taken, 3);
    for step in 1..=10_000 {
        taken += drain(&mut bucket, at(step));
    }
    assert_eq!(taken, 3 + 70);
}

/// Guards against overflow after a long pause, at the largest rate and burst.
#[test]
fn long_pause_fills_to_the_burst() {
    let mut bucket = Bucket::new(Time::MIN, u32::MAX, u32::MAX);
    assert!(bucket.take(Time::MAX).is_ok());
    let mut small = Bucket::new(Time::MIN, u32::MAX, 5);
    drain(&mut small, Time::MIN);
    assert_eq!(drain(&mut small, Time::MAX), 5);
}

/// Guards against a bucket that never refills but returns a short wait.
#[test]
fn bucket_without_rate_or_burst_asks_for_the_longest_wait() {
    let mut without_rate = Bucket::new(at(0), 0, 1);
    assert_eq!(without_rate.take(at(0)), Ok(()));
    assert_eq!(without_rate.take(at(0)), Err(HOUR));
    assert_eq!(without_rate.take(Time::MAX), Err(HOUR));
    let mut without_burst = Bucket::new(at(0), 10, 0);
    assert_eq!(without_burst.take(at(5_000)), Err(HOUR));
}

/// Guards against tokens gained by times that are passed out of order.
#[test]
fn small_steps_back_add_no_tokens() {
    let mut bucket = Bucket::new(at(0), 10, 100);
    drain(&mut bucket, at(0));
    let mut taken = 0;
    for _ in 0..1_000 {
        taken += drain(&mut bucket, at(900));
        taken += drain(&mut bucket, at(0));
    }
    assert_eq!(taken, 9);
    let wait = bucket.take(at(0)).unwrap_err();
    assert_eq!(wait, Duration::from_millis(1_000));
    assert_eq!(bucket.take(at(0) + wait), Ok(()));
}

/// Guards against a bucket that stays empty for an hour because the clock was set back by an hour.
#[test]
fn adjusted_clock_does_not_stop_the_refill() {
    let mut bucket = Bucket::new(at(3_600_000), 10, 10);
    drain(&mut bucket, at(3_600_000));
    assert_eq!(drain(&mut bucket, at(0)), 0);
    assert_eq!(drain(&mut bucket, at(500)), 5);
}

/// Guards against a resize that adds tokens, or drops those gained before it.
#[test]
fn resize_keeps_the_level_within_the_burst() {
    let mut bucket = Bucket::new(at(0), 10, 10);
    drain(&mut bucket, at(0));
    bucket.resize(at(500), 1_000, 100);
    assert_eq!(drain(&mut bucket, at(500)), 5);
    bucket.resize(at(600), 1_000, 2);
    assert_eq!(drain(&mut bucket, at(600)), 2);
}
