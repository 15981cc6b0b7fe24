//! Runners on which tasks are slow or stand still.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Makes a rig of three runners, of which the first one takes `factor` times as long, with four jobs on all of them.
fn rig(factor: u32, make: impl Fn() -> Step) -> Rig {
    let mut rig = Rig::new(3, 1);
    rig.slow.insert("r0".to_owned(), factor);
    rig.work = |_| Some(Duration::from_millis(400));
    for id in 1..=4 {
        rig.submit(id, vec![make()]);
    }
    rig
}

fn small() -> Step {
    Step {
        estimate: Duration::from_millis(400),
        ..step(3)
    }
}

fn ended(rig: &Rig) -> usize {
    let done = |progress: &&std::sync::Arc<Progress>| progress.outcome == Some(Ending::Done);
    rig.log.values().filter(done).count()
}

/// Guards against jobs that wait for a runner on which everything takes ten times as long.
#[test]
fn runs_on_a_slow_runner_start_again_elsewhere() {
    let mut rig = rig(10, small);
    rig.run(2_000);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(ended(&rig), 4);
    assert_eq!(rig.overlaps(), 0);
}

/// Guards against jobs that wait for a runner on which everything stands still.
#[test]
fn runs_on_a_runner_that_stands_still_start_again_elsewhere() {
    let mut rig = rig(10_000, small);
    rig.run(3_000);
    assert_eq!(ended(&rig), 4, "{}", rig.timeline());
    assert_eq!(rig.overlaps(), 0);
}

/// Guards against a speculative task that waits for its slow first run, or whose second run is left behind.
#[test]
fn speculative_task_on_a_slow_runner_gets_a_second_run() {
    let speculative = || Step {
        speculative: true,
        ..small()
    };
    let mut rig = rig(10, speculative);
    rig.run(1_400);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(ended(&rig), 4);
    rig.run(1_000);
    assert_eq!(rig.count(), 0);
}

/// Guards against a job that is restarted over and over, because its tasks take longer than its caller said.
#[test]
fn job_that_is_larger_than_estimated_runs_to_its_end() {
    let mut rig = Rig::new(2, 1);
    rig.work = |_| Some(Duration::from_millis(4_000));
    rig.submit(1, vec![small()]);
    rig.run(6_000);
    assert_eq!(rig.timeline().matches("start").count(), 3);
    assert_eq!(ended(&rig), 1);
}

/// Guards against tasks that are restarted for ever, and a pool that rests as a whole, because runners show no progress.
#[test]
fn tasks_end_although_runners_show_no_progress() {
    let mut rig = Rig::new(4, 1);
    rig.frozen = true;
    rig.work = |_| Some(Duration::from_millis(2_000));
    for id in 1..=4 {
        rig.submit(id, vec![small()]);
    }
    rig.run(20_000);
    assert_eq!(ended(&rig), 4, "{}", rig.timeline());
}
