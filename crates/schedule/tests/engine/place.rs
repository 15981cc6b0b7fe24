//! Choice of runners.

use crate::rig::{
    ROOM,
    Rig,
    job,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use std::sync::Arc;

/// Guards against a start that brings a runner over its capacity, counting what is being stopped.
#[test]
fn runner_is_never_over_its_capacity() {
    let mut rig = Rig::new(2, 1);
    rig.work = |_| Some(Duration::from_millis(500));
    for id in 1..8 {
        rig.submit(id, vec![step(5)]);
    }
    let mut most = 0;
    for round in 0..200 {
        rig.run(20);
        if round == 20 {
            rig.engine.cancel(Id(1), rig.time());
        }
        for site in rig.sites.values() {
            most = most.max(site.worker.runs.len());
        }
    }
    assert_eq!(most as u64, ROOM);
    let done = rig
        .log
        .values()
        .filter(|progress| progress.outcome == Some(Ending::Done));
    assert_eq!(done.count(), 6);
}

/// Guards against tasks on a runner without their label, beyond their number on one runner, or away from their data.
#[test]
fn placement_respects_label_spread_and_data() {
    let mut rig = Rig::new(4, 2);
    rig.submit(
        1,
        vec![Step {
            label: Some("rack1".into()),
            ..step(2)
        }],
    );
    rig.submit(
        2,
        vec![Step {
            max_per_runner: Some(1),
            ..step(3)
        }],
    );
    rig.submit(
        3,
        vec![Step {
            data_rack: Some("rack1".into()),
            ..step(1)
        }],
    );
    rig.run(60);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against less urgent work that starts before urgent work which waits.
#[test]
fn urgent_queue_starts_first() {
    let mut rig = Rig::new(1, 1);
    rig.submit(1, vec![step(4)]);
    rig.run(60);
    rig.submit(2, vec![step(4)]);
    let urgent = Job {
        queue: "urgent".into(),
        submitted: rig.time(),
        ..job(3, vec![step(4)])
    };
    rig.engine.add(Arc::new(urgent), rig.time());
    rig.run(900);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a gang of which only a part starts, and against members with different attempts.
#[test]
fn gang_starts_as_a_whole() {
    let mut rig = Rig::new(2, 1);
    rig.work = |_| Some(Duration::from_millis(400));
    rig.submit(1, vec![step(3)]);
    rig.run(60);
    let gang = Step {
        gang: true,
        coupled: true,
        ..step(6)
    };
    rig.submit(2, vec![gang]);
    rig.run(1_200);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a start on a runner that the advice service has not approved.
#[test]
fn advised_queue_starts_only_where_it_is_approved() {
    let mut rig = Rig::new(4, 1);
    let advised = Job {
        queue: "advised".into(),
        submitted: rig.time(),
        ..job(
            1,
            vec![Step {
                max_per_runner: Some(1),
                ..step(2)
            }],
        )
    };
    rig.engine.add(Arc::new(advised), rig.time());
    rig.run(600);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against an occurrence that starts before it is due, or that is left out.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut rig = Rig::new(1, 1);
    let repeated = Job {
        repeat: Some(Repeat {
            count: 3,
            first: crate::rig::EPOCH + Duration::from_millis(500),
            period: Duration::from_millis(400),
        }),
        ..job(1, vec![step(1)])
    };
    rig.engine.add(Arc::new(repeated), rig.time());
    rig.run(3_000);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(rig.log[&Id(1)].outcome, Some(Ending::Done));
}

/// Guards against an overload in which every job is late, because the oldest ones come first although they can't be in
/// time any more.
#[test]
fn late_jobs_wait_for_those_that_can_be_in_time() {
    let mut rig = Rig::new(1, 1);
    rig.submit(
        1,
        vec![Step {
            estimate: Duration::from_millis(50),
            ..step(4)
        }],
    );
    rig.run(60);
    // Its objective is 1 s away; it gets no room before it has passed.
    for id in 2..8 {
        rig.submit(id, vec![step(4)]);
    }
    rig.run(1_100);
    rig.mark("job 9");
    rig.submit(9, vec![step(4)]);
    rig.run(700);
    insta::assert_snapshot!(rig.timeline());
}
