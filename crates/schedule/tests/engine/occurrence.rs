//! Jobs with many occurrences.

use crate::harness::{
    Harness,
    START_TIME,
    job,
    step, //
};
use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Guards against a schedule that began long ago: the leader opened all due occurrences in one turn, in a time that grew
/// with the square of their number, and so did each leader after it.
#[test]
fn due_occurrences_are_opened_in_parts() {
    const COUNT: u32 = 5_000;
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| Some(Duration::from_millis(10));
    let schedule = Repeat {
        count: COUNT,
        first: START_TIME - Duration::from_secs(86_400),
        period: Duration::from_secs(1),
    };
    let job = Job {
        repeat: Some(schedule),
        ..job(1, vec![step(1)])
    };
    harness.submit_job(job);
    let mut seen = String::new();
    let waiting = |harness: &Harness| harness.engine.counts().2;
    writeln!(seen, "added: {} tasks wait", waiting(&harness)).unwrap();
    harness.run_ms(3_000);
    let finished = harness.stored_progress[&Id(1)].finished;
    assert!((1..COUNT).contains(&finished), "{finished} have ended");
    writeln!(seen, "at work: {} tasks wait", waiting(&harness)).unwrap();
    harness.take_over();
    writeln!(seen, "new leader: {} tasks wait", waiting(&harness)).unwrap();
    harness.run_ms(20_000);
    let progress = &harness.stored_progress[&Id(1)];
    writeln!(seen, "end: {:?}", progress.outcome).unwrap();
    insta::assert_snapshot!(seen);
}
