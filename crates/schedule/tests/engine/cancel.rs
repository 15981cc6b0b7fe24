//! Cancelled jobs.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_job::prelude::*;

/// Guards against a later step of a cancelled job that starts because the end of an earlier one arrives late.
#[test]
fn late_end_opens_no_step_of_a_cancelled_job() {
    let mut rig = Rig::new(2, 1);
    let after = Step {
        after: vec![0].into(),
        ..step(1)
    };
    rig.submit(1, vec![step(2), after]);
    rig.run(200);
    rig.cut.extend(["r0".to_owned(), "r1".to_owned()]);
    rig.run(400);
    rig.engine.cancel(Id(1), rig.time());
    rig.mark("cancelled");
    rig.run(400);
    rig.cut.clear();
    rig.mark("reachable");
    rig.run(2_000);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(rig.count(), 0);
}
