//! What the engine wants done.

use crate::{
    fleet::host,
    runner,
    work::{
        self,
        run, //
    },
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::id::Task;
use std::sync::Arc;

/// One life of a runner, as an address for orders.
#[derive(Clone, Debug)]
pub struct Target {
    /// The runner in the engine.
    pub runner: runner::Key,
    /// Identity of the runner.
    pub id: Arc<str>,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Epoch of the leader, which fences off orders of earlier leaders.
    pub fence: u64,
}

/// Starts an attempt of a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// Where.
    pub target: Target,
    /// The run in the engine.
    pub run: run::Key,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// Text of the job.
    pub specification: Arc<str>,
    /// End of the lease, by the runner's clock in milliseconds.
    pub until: u64,
    /// Checkpoint from which the attempt resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Approval by the advice service.
    pub ticket: Option<Arc<str>>,
}

/// Stops an attempt of a task.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Where.
    pub target: Target,
    /// The run in the engine; `None` for a run that the engine doesn't know.
    pub run: Option<run::Key>,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Lists what a runner runs and what has ended there, and renews its lease.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Where.
    pub target: Target,
    /// End of the lease, by the runner's clock in milliseconds.
    pub until: Option<u64>,
    /// Ends up to this number are durable.
    pub acknowledged: u64,
    /// How long the runner may wait for an end.
    pub wait: Duration,
}

/// Sets the share at which a task works.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Where.
    pub target: Target,
    /// The run in the engine.
    pub run: run::Key,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// Share in percent.
    pub percent: u8,
}

/// What a host is ordered to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Moves to the pool of this name.
    Move(Arc<str>),
    /// Begins its maintenance in the wave of this number.
    Maintain(u64),
}

/// An order to a host.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host in the engine.
    pub host: host::Key,
    /// Name of the host.
    pub name: Arc<str>,
    /// Number of the order; a repeat has the same one.
    pub number: u32,
    /// What it is ordered to do.
    pub action: Action,
    /// It must not be sent after this time, since another leader may have ordered the host by then.
    pub until: Time,
    /// Epoch of the leader.
    pub fence: u64,
}

/// What the engine wants done.
#[derive(Clone, Debug)]
pub enum Order {
    /// Starts an attempt of a task.
    Start(Start),
    /// Stops an attempt of a task.
    Stop(Stop),
    /// Lists what a runner runs.
    Poll(Poll),
    /// Sets the share at which a task works.
    Pace(Pace),
    /// Asks which runners may run a step.
    Advise {
        /// The step.
        step: work::StepKey,
        /// Name of the step in the advice service.
        name: Task,
        /// Runners to decide on.
        runners: Vec<Arc<str>>,
    },
    /// Lists all hosts.
    ListHosts,
    /// Moves or maintains a host.
    Host(Host),
    /// Closes idle connections to a runner that is gone, or to all runners after the role was lost.
    CloseConnections(Option<SocketAddr>),
    /// Publishes the state of a wave.
    Announce {
        /// Number of the wave.
        wave: u64,
        /// All its hosts have begun their maintenance.
        done: bool,
    },
}
