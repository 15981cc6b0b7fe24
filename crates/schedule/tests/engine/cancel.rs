//! Cancelling of jobs.

use crate::harness::{
    Harness,
    step, //
};
use sassafrascrank_job::prelude::*;

/// Guards against a step of a cancelled job that starts because the ends of the step before it arrive after the cancel.
#[test]
fn late_end_opens_no_step_of_a_cancelled_job() {
    let mut harness = Harness::new(2, 1);
    let after = Step {
        after: vec![0].into(),
        ..step(1)
    };
    harness.submit(1, vec![step(2), after]);
    harness.run_ms(200);
    harness
        .unreachable
        .extend(["r0".to_owned(), "r1".to_owned()]);
    harness.run_ms(400);
    harness.engine.cancel(Id(1), harness.time());
    harness.add_line("cancelled");
    harness.run_ms(400);
    harness.unreachable.clear();
    harness.add_line("reachable");
    harness.run_ms(2_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 0);
}
