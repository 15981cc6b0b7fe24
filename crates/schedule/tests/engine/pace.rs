//! Tasks that fill beside tasks that serve.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Guards against tasks that fill and keep a serving task above its target, and against a pace that stays low.
#[test]
fn filling_tasks_slow_down_while_a_serving_task_is_above_its_target() {
    let mut rig = Rig::new(1, 1);
    rig.work = |_| None;
    rig.submit(
        1,
        vec![Step {
            long_running: true,
            target: Some(Duration::from_millis(100)),
            ..step(1)
        }],
    );
    rig.submit(
        2,
        vec![Step {
            long_running: true,
            uses_spare_cpu: true,
            ..step(2)
        }],
    );
    rig.run(1_000);
    let serving = "0000000000000001.0.0.0".to_owned();
    rig.load.insert(serving.clone(), 130);
    rig.mark("above the target");
    rig.run(2_500);
    rig.load.insert(serving, 20);
    rig.mark("below the target");
    rig.run(4_000);
    insta::assert_snapshot!(rig.timeline());
}
