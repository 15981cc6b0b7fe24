//! A pool of hosts.

use super::Rank;
use crate::runner;
use std::{
    collections::BTreeSet,
    sync::Arc, //
};

/// A pool of hosts, with the tasks that wait for one of its runners.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// The runners reject what exceeds their capacity.
    pub guarded: bool,
    /// The hosts are switched off and cost nothing.
    pub standby: bool,
    /// Its runners.
    pub runners: Vec<runner::Key>,
    /// Tasks that wait, in the order in which they start.
    pub ready: BTreeSet<Rank>,
}

impl Pool {
    /// Makes a pool without runners.
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            guarded: false,
            standby: false,
            runners: Vec::new(),
            ready: BTreeSet::new(),
        }
    }
}
