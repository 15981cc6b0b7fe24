//! Back-off: growth, jitter and limits.

use sassafrascrank_base::prelude::*;
use sassafrascrank_retry::Backoff;

/// Guards against delays outside of the documented range, and against ranges that shrink with further retries.
#[test]
fn delay_lies_between_half_of_the_bound_and_the_bound() {
    let backoff = Backoff {
        base: Duration::from_millis(10),
        limit: Duration::from_secs(2),
    };
    let mut lines = String::new();
    for retry in [0, 1, 2, 7, 8, 30, 31, 32, 33, u32::MAX] {
        let doubled = backoff.base.saturating_mul(1 << retry.min(20));
        let upper = doubled.min(backoff.limit);
        let delays = (0..10_000).map(|random| backoff.delay(retry, random * 7_919));
        let (mut shortest, mut longest) = (Duration::MAX, Duration::ZERO);
        for delay in delays {
            shortest = shortest.min(delay);
            longest = longest.max(delay);
        }
        assert!(shortest >= upper / 2, "retry {retry}: {shortest:?}");
        assert!(longest <= upper, "retry {retry}: {longest:?}");
        let delay = backoff.delay(retry, u64::MAX);
        assert!(
            delay >= upper / 2 && delay <= upper,
            "retry {retry}: {delay:?}"
        );
        lines += &format!("retry {retry}: {:?} to {upper:?}\n", upper / 2);
    }
    insta::assert_snapshot!(lines);
}

/// Guards against overflow and division by zero with extreme settings.
#[test]
fn extreme_settings_stay_within_the_limit() {
    for base in [Duration::ZERO, Duration::from_nanos(1), Duration::MAX] {
        for limit in [Duration::ZERO, Duration::from_nanos(3), Duration::MAX] {
            let backoff = Backoff { base, limit };
            for retry in [0, 1, 31, 32, u32::MAX] {
                for random in [0, 1, u64::MAX] {
                    assert!(backoff.delay(retry, random) <= limit);
                }
            }
        }
    }
}
