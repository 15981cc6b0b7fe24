//! Records of the leader and of jobs in the log.

use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    id::Position,
    prelude::*,
    progress::{
        self,
        Assignment, //
    },
    record,
};
use std::sync::Arc;

/// Returns the record of a leader.
pub fn leader() -> Record {
    Record::Leader(record::Leader {
        epoch: 1 << 16,
        holder: "entry-2".into(),
        incarnation: 1,
        resigned: false,
        behind: false,
        runs_until: Time::MIN,
        capacity: 250,
    })
}

/// Returns the state of a task with runs at the runners of some hosts.
pub fn task(index: u16, done: bool, failures: u16, places: &[&str]) -> progress::Task {
    let place = |host: &&str| Assignment {
        runner: format!("runner-{host}").into(),
        incarnation: 1,
        host: (*host).into(),
        attempt: u32::from(failures) + 1,
        settled: false,
    };
    progress::Task {
        position: Position {
            occurrence: 0,
            step: 0,
            index,
        },
        done,
        failures,
        crashes: 0,
        suspicions: Vec::new(),
        attempt: u32::from(failures) + 1,
        assignments: places.iter().map(place).collect(),
        late_starts: Vec::new(),
        checkpoint: None,
    }
}

/// Returns the record of a job's progress.
pub fn progress(id: u64, outcome: Option<Ending>, tasks: Vec<progress::Task>) -> Record {
    Record::Progress(Arc::new(Progress {
        id: Id(id),
        epoch: 1 << 16,
        outcome,
        begun: true,
        finished: 0,
        tasks,
    }))
}
