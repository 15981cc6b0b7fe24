//! Leases of runs at runners that don't answer.

mod common;

use common::{
    Rig,
    step, //
};
use sassafrascrank_job::prelude::*;

fn lasting(count: u16) -> Step {
    Step {
        lasting: true,
        spread: Some(1),
        may_miss: Some(1),
        ..step(count)
    }
}

/// Guards against looks that renew the lease at a runner that does not answer, so that its runs are never given up.
#[test]
fn run_at_a_silent_runner_starts_elsewhere_after_its_lease() {
    let mut rig = Rig::new(3, 1);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(2)]);
    rig.run(1_000);
    rig.cut.insert("r0".to_owned());
    rig.mark("cut");
    rig.run(8_000);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a run that is started a second time while its runner may still run it.
#[test]
fn run_at_a_silent_runner_does_not_start_elsewhere_during_its_lease() {
    let mut rig = Rig::new(3, 1);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(2)]);
    rig.run(1_000);
    rig.cut.insert("r0".to_owned());
    rig.run(3_000);
    rig.cut.clear();
    rig.mark("reachable");
    rig.run(2_000);
    insta::assert_snapshot!(rig.timeline());
}
