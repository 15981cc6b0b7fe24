//! An order of the engine, which its caller carries out.

use crate::{
    fleet::host,
    job::{
        self,
        run, //
    },
    runner,
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::id::Task;
use std::sync::Arc;

/// The incarnation of a runner that an order is for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the runner in the engine.
    pub runner: runner::Key,
    /// Name of the runner.
    pub id: Arc<str>,
    /// Availability zone of the runner.
    pub zone: Arc<str>,
    /// Address for orders.
    pub address: SocketAddr,
    /// Fence of the leader for this incarnation. Runners reject orders with a lower one than they have seen.
    pub fence: u64,
}

/// Starts an attempt of a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The runner.
    pub target: Target,
    /// Key of the run in the engine.
    pub run: run::Key,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// The job's specification, handed to the task.
    pub specification: Arc<str>,
    /// End of the lease, in milliseconds of the runner's clock.
    pub until: u64,
    /// Checkpoint from which the attempt resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket by which the advice service approved the runner.
    pub ticket: Option<Arc<str>>,
}

/// Stops an attempt of a task.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The runner.
    pub target: Target,
    /// Key of the run in the engine; `None` for a run that the engine does not know.
    pub run: Option<run::Key>,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Asks a runner for its runs and their ends, and renews its lease.
#[derive(Clone, Debug)]
pub struct Poll {
    /// The runner.
    pub target: Target,
    /// End of the lease, in milliseconds of the runner's clock.
    pub until: Option<u64>,
    /// Ends up to this number are in the log, so the runner may forget them; 0 once an answer has confirmed that.
    pub acknowledged: u64,
    /// How long the runner may wait for the end of a run before it answers.
    pub wait: Duration,
}

/// Limits the share of its speed at which a task works.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The runner.
    pub target: Target,
    /// Key of the run in the engine.
    pub run: run::Key,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// Share in percent.
    pub percent: u8,
}

/// Operation on a host.
#[derive(Clone, Debug)]
pub enum Action {
    /// Move to the pool of this name.
    Move(Arc<str>),
    /// Maintenance in the wave of this number.
    Maintain(u64),
}

/// An order to a host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Key of the host in the engine.
    pub host: host::Key,
    /// Name of the host.
    pub name: Arc<str>,
    /// Number of the order; repeats have the same number.
    pub number: u32,
    /// The operation.
    pub action: Action,
    /// Time after which the order must not be sent, since another leader may have given the host an order by then.
    pub until: Time,
    /// Epoch of the leader.
    pub fence: u64,
}

/// An order of the engine, which its caller carries out.
#[derive(Clone, Debug)]
pub enum Order {
    /// Starts an attempt of a task.
    Start(Start),
    /// Stops an attempt of a task.
    Stop(Stop),
    /// Asks a runner for its runs and their ends.
    Poll(Poll),
    /// Limits the share of its speed at which a task works.
    Pace(Pace),
    /// Asks the advice service which runners may run a step.
    Advise {
        /// The step.
        step: job::StepKey,
        /// First task of the step, by which the advice service knows the step.
        name: Task,
        /// Names of the runners to decide on.
        runners: Vec<Arc<str>>,
    },
    /// Asks the host service for all hosts.
    ListHosts,
    /// Moves or maintains a host.
    Host(Host),
    /// Closes idle connections to a runner that has left, or with `None` to all runners after the leadership was lost.
    CloseConnections(Option<SocketAddr>),
    /// Publishes the state of a maintenance wave.
    Announce {
        /// Number of the wave.
        wave: u64,
        /// Whether all its hosts have begun their maintenance.
        done: bool,
    },
}
