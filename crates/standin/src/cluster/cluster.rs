//! The services of a cluster on loopback addresses.

use super::{
    Account, Entry, Execution, Fault, Network, Phase, Plan, Snapshot,
    answer::Answer,
    entry::listen_at,
    runner,
    service::{
        self,
        Closed,
        lock, //
    },
    snapshot,
    state::{
        OPERATOR_TOPIC,
        State, //
    },
};
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::{
    future::Future,
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
};
use tokio::{
    runtime::Builder,
    task::{
        LocalSet,
        spawn_local, //
    },
};

/// Topic in which the system under test publishes the state of waves.
const WAVE_TOPIC: &str = "keyed.status";

/// The platform's services on loopback addresses, served by one thread until the process ends.
#[derive(Clone, Debug)]
pub struct Cluster {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    views: Vec<SocketAddr>,
    runners: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts the services.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free or the thread can't be started.
    pub fn start(plan: Plan) -> io::Result<Self> {
        Self::start_on(plan, &Network::default())
    }

    /// Starts the services on the addresses of `network`.
    ///
    /// # Errors
    ///
    /// Fails if an address is not free or the thread can't be started.
    pub fn start_on(plan: Plan, network: &Network) -> io::Result<Self> {
        let hosts: usize = plan.pools.iter().map(|pool| pool.hosts).sum();
        let listen = || listen_at(network.address);
        let platform = listen()?;
        let address = platform.local_addr()?;
        let runners: Vec<TcpListener> = (0..hosts).map(|_| listen()).collect::<Result<_, _>>()?;
        let addresses = runners.iter().map(TcpListener::local_addr);
        let addresses: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
        let views = network.views.iter().map(|_| listen());
        let views: Vec<TcpListener> = views.collect::<Result<_, _>>()?;
        let view_addresses = views.iter().map(TcpListener::local_addr);
        let view_addresses = view_addresses.collect::<Result<_, _>>()?;
        let state = State::new(plan, network, addresses.clone());
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        let registration = network.registration;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("cluster".to_owned())
            .spawn(move || {
                let services = run(shared, platform, views, runners, registration);
                LocalSet::new().block_on(&runtime, services)
            })?;
        Ok(Self {
            state,
            address,
            views: view_addresses,
            runners: addresses,
        })
    }

    /// Returns the settings file and the open listeners of an entry.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address is free.
    pub fn entry(&self, name: &str) -> io::Result<Entry> {
        Entry::open(name, self.address)
    }

    /// Publishes a maintenance wave as an operator does.
    pub fn publish_wave(&self, wave: u64, hosts: &[String], seconds: u64, cap: usize) {
        let value = json!({
            "wave": wave,
            "machines": hosts,
            "durationS": seconds,
            "cap": cap,
        });
        lock(&self.state).publish(OPERATOR_TOPIC, &format!("wave/{wave}"), &value);
    }

    /// Publishes the configuration with these accounts as a new version, and returns its number. Without accounts, requests
    /// need no key.
    pub fn publish_accounts(&self, accounts: Vec<Account>) -> u64 {
        let mut state = lock(&self.state);
        state.plan.accounts = accounts;
        state.publish_config();
        state.config_version
    }

    /// Publishes a configuration record with this text as it is.
    pub fn publish_config_text(&self, text: &str) {
        lock(&self.state).publish_text(OPERATOR_TOPIC, "config", text);
    }

    /// Returns the names of all hosts.
    pub fn hosts(&self) -> Vec<String> {
        lock(&self.state).hosts.hosts.keys().cloned().collect()
    }

    /// Returns the number of hosts whose maintenance in a wave has begun, and the largest number of hosts that were in
    /// maintenance at once.
    pub fn maintained(&self, wave: u64) -> (usize, usize) {
        let state = lock(&self.state);
        let begun = state.hosts.hosts.values();
        let begun = begun.filter(|host| host.maintained.contains(&wave)).count();
        (begun, state.hosts.max_in_maintenance)
    }

    /// Returns the state of a wave that the system under test has published.
    pub fn wave_state(&self, wave: u64) -> Option<String> {
        let (_, rows) = lock(&self.state).log.newest(WAVE_TOPIC);
        let key = format!("wave/{wave}");
        let row = rows.into_iter().find(|(_, name, _)| *name == key)?;
        let value: serde_json::Value = serde_json::from_slice(&row.2).ok()?;
        Some(value["state"].as_str()?.to_owned())
    }

    /// Returns the address of the log and the host service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of running tasks whose names start with `prefix`.
    pub fn running(&self, prefix: &str) -> usize {
        let state = lock(&self.state);
        let workers = state.nodes.values().filter_map(|node| node.worker.as_ref());
        let runs = workers.flat_map(|worker| &worker.runs);
        runs.filter(|run| run.task.starts_with(prefix)).count()
    }

    /// Returns all runs that have ended.
    pub fn history(&self) -> Vec<Execution> {
        let state = lock(&self.state);
        let workers = state.nodes.values().filter_map(|node| node.worker.as_ref());
        let present = workers.flat_map(|worker| worker.history.clone());
        let past = state.history.iter().map(|record| record.run.clone());
        past.chain(present).collect()
    }

    /// Returns the addresses at which each entry of [`Network::views`] reads the log.
    pub fn view_addresses(&self) -> &[SocketAddr] {
        &self.views
    }

    /// Returns the addresses of the runners in the order of host numbers.
    pub fn runner_addresses(&self) -> &[SocketAddr] {
        &self.runners
    }

    /// Returns all runs, and the hosts with their runners.
    pub fn snapshot(&self) -> Snapshot {
        snapshot::take(&mut lock(&self.state))
    }

    /// Sets the fault of the log for an entry of [`Network::views`].
    pub fn set_fault(&self, view: usize, fault: Fault) {
        if let Some(view) = lock(&self.state).views.get_mut(view) {
            view.fault = fault;
        }
    }

    /// Ends the runner of a host without notice.
    pub fn crash(&self, host: &str) {
        lock(&self.state).crash_runner(host);
    }

    /// Ends the runner of a host without a sign to its callers: calls get no answer, and those that it has not read wait
    /// for the next runner of the host.
    pub fn silence(&self, host: &str) {
        lock(&self.state).silence_runner(host);
    }

    /// Starts the runner of a host in operation that has none, with a new id or with the last one.
    pub fn restart(&self, host: &str, same_id: bool) {
        lock(&self.state).restart_runner(host, same_id);
    }

    /// Announces that the runner of a host leaves after `remaining`.
    pub fn drain(&self, host: &str, remaining: Duration) {
        let mut state = lock(&self.state);
        let at = state.now() + remaining;
        let up = state.hosts.hosts.get(host).map(|host| host.phase) == Some(Phase::Up);
        if let Some(node) = state.nodes.get_mut(host)
            && up
        {
            node.leaves_at.get_or_insert(at);
        }
        state.register(host);
    }

    /// Compacts the topics of operators and runners: only the newest record of each key is kept.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.log.expire(OPERATOR_TOPIC);
        state.log.expire(super::state::RUNNER_TOPIC);
    }
}

async fn run(
    state: Arc<Mutex<State>>,
    platform: TcpListener,
    views: Vec<TcpListener>,
    runners: Vec<TcpListener>,
    registration: Duration,
) {
    let views = views.into_iter().enumerate();
    let views = views.map(|(view, listener)| (Some(view), listener));
    for (view, listener) in std::iter::once((None, platform)).chain(views) {
        let shared = Arc::clone(&state);
        spawn_local(accept(listener, move |request: Request<Incoming>| {
            let state = Arc::clone(&shared);
            async move {
                let (head, body) = split(request).await?;
                service::serve_view(&state, view, &head, &body).await
            }
        }));
    }
    let names: Vec<String> = lock(&state).nodes.keys().cloned().collect();
    let mut by_number = names.clone();
    // `State::new` assigns addresses in the order of host numbers, which differs from the order of names.
    by_number.sort_by_key(|name| name[2..].parse::<usize>().unwrap_or_default());
    for (host, listener) in by_number.into_iter().zip(runners) {
        let shared = Arc::clone(&state);
        spawn_local(accept(listener, move |request: Request<Incoming>| {
            let state = Arc::clone(&shared);
            let host = host.clone();
            async move {
                let (head, body) = split(request).await?;
                runner::serve(&state, &host, &head, &body).await
            }
        }));
    }
    loop {
        tokio::time::sleep(registration).await;
        lock(&state).advance();
    }
}

async fn split(
    request: Request<Incoming>,
) -> Result<(hyper::http::request::Parts, Vec<u8>), Closed> {
    let (head, body) = request.into_parts();
    // A request whose connection ends before it is complete has no effect.
    let body = body.collect().await.map_err(|_| Closed)?;
    Ok((head, body.to_bytes().to_vec()))
}

/// Accepts connections and responds to their requests.
async fn accept<S, F>(listener: TcpListener, answer: S)
where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Answer, Closed>> + 'static,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(answer);
            // An error affects only this connection, and its client notices it.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
