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

/// Returns a job of one task that is due each second, `count` times, since a day ago.
fn late_schedule(count: u32) -> Job {
    let repeat = Repeat {
        count,
        first: START_TIME - Duration::from_secs(86_400),
        period: Duration::from_secs(1),
    };
    Job {
        repeat: Some(repeat),
        ..job(1, vec![step(1)])
    }
}

/// Guards against a schedule that began long ago: the leader opened all due occurrences in one turn, in a time that grew
/// with the square of their number, and so did each leader after it.
#[test]
fn due_occurrences_are_opened_in_parts() {
    const COUNT: u32 = 5_000;
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| Some(Duration::from_millis(10));
    harness.submit_job(late_schedule(COUNT));
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

/// Guards against occurrences that are overdue keeping jobs waiting that can still be in time, also after a change of the
/// leader.
#[test]
fn overdue_occurrences_wait_for_jobs_that_can_be_in_time() {
    let mut harness = Harness::new(4, 1);
    harness.submit_job(late_schedule(5_000));
    harness.run_ms(100);
    let outcome = |harness: &Harness, id| harness.stored_progress[&Id(id)].outcome;
    harness.submit(2, vec![step(2)]);
    harness.run_ms(900);
    assert_eq!(outcome(&harness, 2), Some(Ending::Done));
    harness.take_over();
    harness.run_ms(100);
    harness.submit(3, vec![step(2)]);
    harness.run_ms(900);
    assert_eq!(outcome(&harness, 3), Some(Ending::Done));
    assert_eq!(outcome(&harness, 1), None);
}
