//! Log records.

use crate::{
    Id,
    Job,
    Progress, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// The entry that leads, that is, schedules the jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    /// Epoch, which grows with each claim. It is the fencing token of the leader's orders.
    pub epoch: u64,
    /// Name of the entry.
    pub holder: Arc<str>,
    /// Start of the process in microseconds since the Unix epoch, which tells restarts of an entry apart.
    pub incarnation: u64,
    /// The leader has given up its role.
    pub resigned: bool,
    /// The leader can't read the log in time. It starts no tasks, and keeps those that run until another entry claims.
    pub behind: bool,
    /// Until then, attempts that earlier leaders started may go on at runners that don't answer.
    pub runs_until: Time,
    /// Processor capacity of the entry in thousandths of a core.
    pub capacity: u32,
}

/// Hosts of a maintenance wave that have begun their maintenance.
///
/// The log holds one record for each host and one for the end of the wave, so that each record is small. A replica
/// joins them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Names of the hosts.
    pub begun: Vec<Arc<str>>,
    /// All hosts of the wave have begun.
    pub done: bool,
}

/// An order to a host.
///
/// Each host has a key of its own, so that the log keeps the latest order to each host and the record is small.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostOrder {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Name of the host.
    pub host: Arc<str>,
    /// When the order was written.
    pub at: Time,
}

/// The bound of a lease that a runner, which has started again under its name, may have granted to an order for its earlier
/// incarnation. Such an order names the end of the lease by another clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Name of the runner.
    pub runner: Arc<str>,
    /// Latest time at which the lease can end.
    pub until: Time,
}

/// Forecast of the demand on one pool.
///
/// A peak is a time in which much more work than usual is submitted to the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDemand {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Long-run mean of the rate of submitted work, in thousandths of a core.
    pub mean: f64,
    /// Number of hosts that a peak of the pool usually needs; `None` before the end of the first peak.
    pub usual_hosts: Option<f64>,
    /// The pool whose peak comes next, and the time from the beginning of this pool's peak to the beginning of that
    /// one.
    pub next: Option<(Arc<str>, Duration)>,
}

/// Forecast of the demand on all pools, which a leader passes on to the next one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Forecast for each pool.
    pub pools: Vec<PoolDemand>,
    /// The pool whose peak began last, and when.
    pub latest: Option<(Arc<str>, Time)>,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An entry accepted a job.
    Job(Arc<Job>),
    /// An entry accepted the cancellation of a job.
    Cancel(Id),
    /// The leader writes the progress of a job.
    Progress(Arc<Progress>),
    /// An entry claims the lead, confirms it or resigns.
    Leader(Leader),
    /// The leader writes the progress of a wave.
    Wave(Wave),
    /// The leader writes the host to which it is about to send an order.
    HostOrder(HostOrder),
    /// The leader writes the bound of a lease.
    Lease(Lease),
    /// The leader writes its forecast of the demand.
    Demand(Demand),
    /// All records of an ended job are removed.
    Forget(Id),
}
