//! A pool of hosts.

use super::Rank;
use crate::runner;
use sassafrascrank_base::prelude::*;
use std::{
    collections::BTreeSet,
    sync::Arc, //
};

/// A pool of hosts, and the tasks that wait for its runners.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether the runners reject tasks that exceed their capacity.
    pub guarded: bool,
    /// Whether the pool holds hosts that are switched off and cost nothing.
    pub standby: bool,
    /// Whether a configuration or a job names the pool. Others are known from the service list or the host list only.
    pub named: bool,
    /// Runners of the pool.
    pub runners: Vec<runner::Key>,
    /// Waiting tasks, in the order in which they start.
    pub ready: BTreeSet<Rank>,
    /// The latest task that had its turn although others before it wait.
    pub latest_turn: Option<Rank>,
    /// When a task was last moved away from tasks that it slows down.
    pub separated_at: Time,
}

impl Pool {
    /// Creates a pool without runners.
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            guarded: false,
            standby: false,
            named: false,
            runners: Vec::new(),
            ready: BTreeSet::new(),
            latest_turn: None,
            separated_at: Time::MIN,
        }
    }
}
