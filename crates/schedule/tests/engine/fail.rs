//! Tasks and runners that fail.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Guards against a start after a task has failed as often as its queue allows, and against a job that never ends.
#[test]
fn job_fails_after_its_attempts() {
    let mut rig = Rig::new(2, 1);
    rig.fails = |task, _, _| task.position.index == 0;
    rig.submit(1, vec![step(2)]);
    rig.run(3_000);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(rig.log[&Id(1)].outcome, Some(Ending::Failed));
}

/// Guards against a runner that fails everything and uses up the attempts of all jobs.
#[test]
fn runner_that_fails_everything_gets_no_more_work() {
    let mut rig = Rig::new(3, 1);
    rig.work = |_| Some(Duration::from_millis(100));
    rig.fails = |_, _, runner| runner == "r0";
    for id in 1..20 {
        rig.submit(id, vec![step(2)]);
        rig.run(60);
    }
    rig.run(2_000);
    let failed = rig
        .log
        .values()
        .filter(|progress| progress.outcome == Some(Ending::Failed));
    assert_eq!(failed.count(), 0);
    let done = rig
        .log
        .values()
        .filter(|progress| progress.outcome == Some(Ending::Done));
    assert_eq!(done.count(), 19);
}

/// Guards against a lasting task that is given up because it fails, or stays away after its runner has gone.
#[test]
fn lasting_task_starts_again_however_it_ends() {
    let mut rig = Rig::new(2, 1);
    rig.work = |_| None;
    rig.fails = |_, attempt, _| attempt < 4;
    rig.work = |_| Some(Duration::from_millis(200));
    rig.submit(
        1,
        vec![Step {
            long_running: true,
            ..step(1)
        }],
    );
    rig.run(2_000);
    insta::assert_snapshot!(rig.timeline());
}
