//! A queue of jobs.

use super::key;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// A queue of jobs, as described by the configuration or by the policy of a job.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Unique name.
    pub name: Arc<str>,
    /// Pool whose runners run the tasks.
    pub pool: key::Pool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of failed attempts of one task after which the job fails.
    pub attempts: u16,
    /// Part of the objective that grows with the job: its critical path, times this many thousandths.
    pub stretch: u32,
    /// Fixed part of the objective.
    pub target: Duration,
    /// Whether the advice service has to approve runners.
    pub advised: bool,
    /// Usual duration of the queue's tasks, in percent of the callers' estimates.
    pub ratio_percent: u64,
    /// Whether the present configuration has the queue.
    pub configured: bool,
}
