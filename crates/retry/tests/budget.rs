//! Retry budget: percentage of retries, and limit of the credit.

use sassafrascrank_retry::Budget;

fn drain(budget: &mut Budget) -> usize {
    (0..1_000).take_while(|_| budget.spend()).count()
}

/// Guards against more retries than the percentage and the initial credit allow.
#[test]
fn retries_follow_the_percentage() {
    let mut lines = String::new();
    for percent in [0, 1, 10, 33, 100, 250] {
        let mut budget = Budget::new(percent);
        let first = drain(&mut budget);
        let mut later = 0;
        for _ in 0..1_000 {
            budget.earn();
            later += drain(&mut budget);
        }
        assert_eq!(later, 10 * percent as usize, "{percent} percent");
        lines += &format!("{percent} percent: {first} at first, {later} after 1000 requests\n");
    }
    insta::assert_snapshot!(lines);
}

/// Guards against credit that grows without bound while no request fails.
#[test]
fn credit_is_limited() {
    let mut budget = Budget::new(10);
    (0..100_000).for_each(|_| budget.earn());
    assert_eq!(drain(&mut budget), 10);
}

/// Guards against overflow at the largest percentage.
#[test]
fn largest_percentage_does_not_overflow() {
    let mut budget = Budget::new(u32::MAX);
    budget.earn();
    assert_eq!(drain(&mut budget), 10);
}

/// Guards against credit that is kept although the percentage was set to zero.
#[test]
fn resize_to_zero_drops_the_credit() {
    let mut budget = Budget::new(10);
    budget.resize(0);
    budget.earn();
    assert_eq!(drain(&mut budget), 0);
    budget.resize(100);
    budget.earn();
    assert_eq!(drain(&mut budget), 1);
}
