//! Shares of background tasks beside serving tasks.

use crate::harness::{
    Harness,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Guards against background tasks that keep the latency of a serving task above its target, and against shares that
/// stay low afterwards.
#[test]
fn background_tasks_slow_down_while_a_serving_task_is_above_its_target() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.submit(
        1,
        vec![Step {
            long_running: true,
            target: Some(Duration::from_millis(100)),
            ..step(1)
        }],
    );
    harness.submit(
        2,
        vec![Step {
            long_running: true,
            uses_spare_cpu: true,
            ..step(2)
        }],
    );
    harness.run_ms(1_000);
    let serving = "0000000000000001.0.0.0".to_owned();
    harness.load.insert(serving.clone(), 130);
    harness.add_line("above the target");
    harness.run_ms(2_500);
    harness.load.insert(serving, 20);
    harness.add_line("below the target");
    harness.run_ms(4_000);
    insta::assert_snapshot!(harness.timeline());
}
