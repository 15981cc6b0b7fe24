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
    pub born: u64,
    /// The leader gives up its role.
    pub resigned: bool,
    /// When this entry became the holder, through all lives of its process without another holder between.
    pub since: Time,
}

/// Hosts of a maintenance wave that have begun their maintenance.
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

/// One record of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
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
    /// A job is no longer kept.
    Forget(Id),
}
