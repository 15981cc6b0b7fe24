//! Records of the log.

use crate::{
    Id,
    Job,
    Progress, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Who schedules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    /// Grows with each claim; the fence of the leader's orders.
    pub epoch: u64,
    /// Name of the entry.
    pub holder: Arc<str>,
    /// Start of the entry process, microseconds since the Unix epoch.
    pub incarnation: u64,
    /// The leader gives up its role.
    pub resigned: bool,
    /// Until then, runs of earlier leaders may go on at runners that don't answer.
    pub runs_until: Time,
    /// Processor of the entry in thousandths of a core.
    pub capacity: u32,
}

/// Hosts of a maintenance wave that have begun their maintenance.
///
/// The log holds a record for each host and one for the end of the wave, so that each takes few bytes; the fold joins
/// them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Names of the hosts.
    pub begun: Vec<Arc<str>>,
    /// All hosts have begun.
    pub done: bool,
}

/// A host that the leader orders. Each host has a key of its own, so that the log holds the latest order of each and an
/// order takes few bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostOrder {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Name of the host.
    pub host: Arc<str>,
    /// When it was ordered.
    pub at: Time,
}

/// What a leader has learned of the demand on one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDemand {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Long-run mean of the submitted work, in thousandths of a core.
    pub mean: f64,
    /// Hosts that its turns usually need.
    pub usual_hosts: Option<f64>,
    /// The pool whose turn follows, and how long after the beginning of this one.
    pub next: Option<(Arc<str>, Duration)>,
}

/// What a leader has learned of the demand on the pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// One row for each pool.
    pub pools: Vec<PoolDemand>,
    /// The pool whose turn began last, and when.
    pub latest: Option<(Arc<str>, Time)>,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An entry accepted a job.
    Job(Arc<Job>),
    /// An entry accepted the cancel of a job.
    Cancel(Id),
    /// The leader writes what has become of a job.
    Progress(Arc<Progress>),
    /// An entry leads from here on.
    Leader(Leader),
    /// The leader writes how far a wave is.
    Wave(Wave),
    /// The leader writes which hosts it orders, before it does.
    HostOrder(HostOrder),
    /// The leader writes what it has learned of the demand.
    Demand(Demand),
    /// A job is no longer kept.
    Forget(Id),
}
