//! Addresses of a cluster, and faults of its log for single entries.

use super::{
    Records,
    state::{
        RUNNER_TOPIC,
        State, //
    },
    worker::LEASE_LIMIT,
};
use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::Duration,
};

/// Addresses and times of a cluster.
#[derive(Clone, Debug)]
pub struct Network {
    /// Address of all services.
    pub address: IpAddr,
    /// Address at which each entry is shown the runners, so that a proxy can stand between any entry and any runner.
    pub views: Vec<IpAddr>,
    /// Time between two records that a runner writes about itself.
    pub registration: Duration,
    /// Longest lease that a runner grants.
    pub lease_limit: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            views: Vec::new(),
            registration: Duration::from_millis(100),
            lease_limit: LEASE_LIMIT,
        }
    }
}

/// Fault of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// There is none.
    #[default]
    None,
    /// Nothing is done.
    Down,
    /// Each request waits.
    Slow(Duration),
    /// Appends take effect, and their connections end without an answer.
    LostAnswers,
    /// Reads end without an answer, and appends work.
    FailedReads,
}

/// How an entry is served.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Address at which the entry is shown the runners.
    runners: IpAddr,
    /// Fault of the log.
    pub(super) fault: Fault,
}

impl View {
    pub(super) fn new(runners: IpAddr) -> Self {
        Self {
            runners,
            fault: Fault::None,
        }
    }
}

impl State {
    /// Returns records with the addresses of the runners that an entry is shown.
    pub(super) fn seen_by(
        &self,
        view: Option<usize>,
        topic: &str,
        mut records: Records,
    ) -> Records {
        let Some(view) = view.filter(|_| topic == RUNNER_TOPIC) else {
            return records;
        };
        let actual = format!("\"addr\":\"{}:", self.address);
        let shown = format!("\"addr\":\"{}:", self.views[view].runners);
        for (_, value) in &mut records {
            let text = String::from_utf8_lossy(value).replace(&actual, &shown);
            *value = text.into_bytes();
        }
        records
    }
}
