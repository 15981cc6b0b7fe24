//! What runs on a cluster at one moment.

use super::{
    Execution,
    Phase,
    state::State, //
};
use std::time::Duration;

/// A run with the runner that carried it out.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the runner instance.
    pub runner: String,
    /// Start of the incarnation that carried it out, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The run; the end of one that goes on is the time of the snapshot, and its outcome is `running`.
    pub run: Execution,
}

/// A host in operation with its runner.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the pool.
    pub pool: String,
    /// Tasks that run on it.
    pub tasks: Vec<String>,
    /// Available CPU in thousandths of a core, whether used or not.
    pub cpu: u64,
}

/// All runs, and the hosts that can run tasks.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Time since the start of the cluster.
    pub now: Duration,
    /// Runs by runner, in the order of their ends, except that runs of terminated runners come first.
    pub records: Vec<Record>,
    /// Hosts whose runners are up and not draining.
    pub nodes: Vec<Node>,
}

pub(super) fn take(state: &mut State) -> Snapshot {
    let now = state.now();
    let mut records = state.history.clone();
    let mut nodes = Vec::new();
    for (name, node) in &mut state.nodes {
        let Some(worker) = &mut node.worker else {
            continue;
        };
        worker.advance(now);
        let current = worker.runs.iter().map(|run| Execution {
            task: run.task.clone(),
            attempt: run.attempt,
            began: run.began,
            ended: now,
            outcome: "running",
            acknowledged: false,
        });
        let runs = worker.history.iter().cloned().chain(current);
        let (runner, born) = (&worker.id, worker.born);
        records.extend(runs.map(|run| Record {
            runner: runner.clone(),
            born,
            run,
        }));
        let host = &state.hosts.hosts[name];
        if host.phase == Phase::Up && node.leaves_at.is_none() {
            nodes.push(Node {
                pool: host.pool.clone(),
                tasks: worker.runs.iter().map(|run| run.task.clone()).collect(),
                cpu: super::state::HOST_CPU,
            });
        }
    }
    Snapshot {
        now,
        records,
        nodes,
    }
}
