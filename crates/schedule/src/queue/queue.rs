//! A queue of jobs.

use super::key;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// A queue of jobs, as the configuration or the terms of a job describe it.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Pool whose runners run the tasks.
    pub pool: key::Pool,
    /// Urgency; 0 comes first.
    pub priority: u8,
    /// Failed attempts of one task after which the job has failed.
    pub attempts: u16,
    /// Thousandths of the longest chain of work that the objective allows.
    pub stretch: u32,
    /// Time that the objective adds.
    pub target: Duration,
    /// Runners have to be approved by the advice service.
    pub advised: bool,
    /// Usual time of its tasks in percent of the callers' estimates.
    pub ratio_percent: u64,
    /// The configuration names it.
    pub configured: bool,
}
