//! Stand-in of the platform, and entries, in this process.

use crate::cli::Error;
use bytes::Bytes;
use core::{
    net::SocketAddr,
    time::Duration, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use sassafrascrank_adapter::{
    Platform,
    Settings, //
};
use sassafrascrank_client::{
    Connection,
    Limits, //
};
use sassafrascrank_control::{
    Listeners,
    Process, //
};
use sassafrascrank_standin::cluster::{
    Cluster,
    Plan,
    Pool,
    Queue, //
};
use std::sync::Arc;

/// Longest time for opening a connection on loopback.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Longest time for an answer; callers of the users' platform wait for 3 s.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Largest answer in bytes.
const ANSWER_BYTES_MAX: usize = 1 << 16;

/// An entry; `process` is `None` once it was stopped.
struct Entry {
    name: String,
    callers: SocketAddr,
    process: Option<Process>,
}

/// The stand-in of the platform and the entries.
pub(super) struct Deployment {
    pub(super) cluster: Cluster,
    entries: Vec<Entry>,
}

impl Deployment {
    /// Starts the stand-in and this number of entries.
    pub(super) fn start(entries: usize) -> Result<Self, Report<Error>> {
        let pool = |name, hosts, standby| Pool {
            name,
            hosts,
            standby,
        };
        let queue = |name, pool, priority| Queue {
            name,
            pool,
            priority,
            anonymous: false,
        };
        let plan = Plan {
            pools: vec![
                pool("quoting", 6, false),
                pool("ledger", 4, false),
                pool("spare", 2, true),
            ],
            queues: vec![queue("quotes", "quoting", 0), queue("orders", "ledger", 1)],
            accounts: Vec::new(),
        };
        let cluster = Cluster::start(plan).change_context(Error::Start)?;
        let mut deployment = Self {
            cluster,
            entries: Vec::new(),
        };
        for index in 0..entries {
            deployment.start_entry(&format!("entry-{index}"))?;
        }
        Ok(deployment)
    }

    fn start_entry(&mut self, name: &str) -> Result<(), Report<Error>> {
        let entry = self.cluster.entry(name).change_context(Error::Start)?;
        let settings = Settings::parse(&entry.settings).change_context(Error::Start)?;
        let listeners = Listeners {
            callers: entry.callers,
            readiness: entry.readiness,
            metrics: None,
            relayed: entry.relayed,
            executor: entry.executor,
        };
        let logger = spdlog::Logger::builder().build();
        let logger = Arc::new(logger.change_context(Error::Start)?);
        let callers = settings.callers;
        let process = settings.process();
        let process = Process::start(process, listeners, Platform::new(settings), logger);
        self.entries.push(Entry {
            name: name.to_owned(),
            callers,
            process: Some(process.change_context(Error::Start)?),
        });
        Ok(())
    }

    /// Shuts the entry of this name down gracefully, and returns once it has ended.
    pub(super) async fn stop(&mut self, name: &str) -> Result<(), Report<Error>> {
        let entry = self.entries.iter_mut().find(|entry| entry.name == name);
        let Some(process) = entry.and_then(|entry| entry.process.take()) else {
            return Ok(());
        };
        let ended = tokio::task::spawn_blocking(|| process.shut_down()).await;
        ended
            .change_context(Error::Demo)?
            .change_context(Error::Demo)
    }

    /// Returns the addresses for callers of all running entries but `name`.
    pub(super) fn callers_without(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.entries.iter().filter(|entry| entry.name != name);
        let running = others.filter(|entry| entry.process.is_some());
        running.map(|entry| entry.callers).collect()
    }

    /// Returns the addresses for callers of all running entries.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.process.is_some());
        running.map(|entry| entry.callers).collect()
    }
}

/// Sends a request as a caller; returns the status and the body of the answer, or `None` if there was none in time.
pub(super) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Option<(StatusCode, String)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "jobs.example")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let limits = Limits {
        connect_timeout: CONNECT_LIMIT,
        response_timeout: ANSWER_LIMIT,
        transfer: None,
        max_response_bytes: ANSWER_BYTES_MAX,
    };
    let answer = Connection::new(address).call(request, limits).await.ok()?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some((answer.status, body))
}
