//! State that the services of a cluster share.

use super::{
    Hosts,
    Log,
    Network,
    Phase,
    Record,
    View,
    Worker, //
};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Topic in which runners register themselves.
pub(super) const RUNNER_TOPIC: &str = "keyed.servers";
/// Topic of the configuration and of waves.
pub(super) const OPERATOR_TOPIC: &str = "keyed.op";
/// Number of failed runs after which a task is given up.
pub const MAX_ATTEMPTS: usize = 2;
/// CPU of a host in thousandths of a core.
pub(super) const HOST_CPU: u64 = 8_000;
/// Number of hosts in each rack.
const HOSTS_PER_RACK: usize = 4;
/// Largest number of tasks that a runner runs at once.
const MAX_RUNS: usize = 64;

/// A pool of a cluster.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the pool.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Whether the hosts of the pool are switched off.
    pub standby: bool,
}

/// A queue of a cluster.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Name of the queue, which is also its path.
    pub name: &'static str,
    /// Name of the pool that runs its jobs.
    pub pool: &'static str,
    /// Priority of its jobs.
    pub priority: u8,
    /// Whether its requests need no key although the cluster has accounts.
    pub anonymous: bool,
}

/// A client account of a cluster.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Keys with which callers act for the account.
    pub keys: Vec<String>,
    /// Guaranteed number of jobs a second.
    pub weight: f64,
    /// CPU that its running tasks may have together, in thousandths of a core; 0 stands for no limit.
    pub cpu_cap: u64,
    /// Memory that they may have, in megabytes; 0 stands for no limit.
    pub memory_cap: u64,
    /// Accelerators that they may have; 0 stands for no limit.
    pub gpu_cap: u64,
}

/// Pools, queues and accounts of a cluster.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Pools.
    pub pools: Vec<Pool>,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Client accounts; empty if requests need no key.
    pub accounts: Vec<Account>,
}

/// A host with its runner.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) address: SocketAddr,
    pub(super) rack: String,
    /// Current instance of its runner; `None` while the host is switched off, moves or is in maintenance.
    pub(super) worker: Option<Worker>,
    /// Number of runner instances started so far.
    pub(super) instances: u64,
    /// Time at which the runner leaves, if it is draining.
    pub(super) leaves_at: Option<Duration>,
    /// Whether calls wait for the next incarnation, since the runner has crashed without a sign to its callers.
    pub(super) silent: bool,
}

/// State of a cluster.
#[derive(Debug)]
pub(super) struct State {
    pub(super) plan: Plan,
    pub(super) start: Instant,
    pub(super) log: Log,
    pub(super) hosts: Hosts,
    pub(super) nodes: BTreeMap<String, Node>,
    /// Ended runs of terminated runner instances.
    pub(super) history: Vec<Record>,
    /// Ids of crashed runner instances, and when their records expire.
    pub(super) expiring: Vec<(String, Duration)>,
    /// Entries that have an address of their own for the log.
    pub(super) views: Vec<View>,
    /// Time after which the record of a silent runner expires.
    expiry: Duration,
    /// Longest lease that a runner grants.
    lease_limit: Duration,
    /// Address of the runners.
    pub(super) address: IpAddr,
    pub(super) config_version: u64,
}

impl State {
    pub(super) fn new(plan: Plan, network: &Network, addresses: Vec<SocketAddr>) -> Self {
        let mut hosts = Hosts {
            move_time: Duration::from_millis(300),
            maintenance_time: Duration::from_millis(400),
            ..Hosts::default()
        };
        let mut nodes = BTreeMap::new();
        let pools = plan.pools.iter();
        let all = pools.flat_map(|pool| std::iter::repeat_n(pool.name, pool.hosts));
        for ((index, pool), address) in all.enumerate().zip(addresses) {
            let name = format!("m-{index}");
            hosts.add(&name, pool);
            let rack = format!("r{}", index / HOSTS_PER_RACK);
            let node = Node {
                address,
                rack,
                worker: None,
                instances: 0,
                leaves_at: None,
                silent: false,
            };
            nodes.insert(name, node);
        }
        let mut state = Self {
            plan,
            start: Instant::now(),
            log: Log::default(),
            hosts,
            nodes,
            history: Vec::new(),
            expiring: Vec::new(),
            views: network.views.iter().copied().map(View::new).collect(),
            expiry: network.registration * 3,
            lease_limit: network.lease_limit,
            address: network.address,
            config_version: 0,
        };
        let names: Vec<String> = state.nodes.keys().cloned().collect();
        for name in names {
            state.start_runner(&name);
        }
        state.publish_config();
        state
    }

    /// Returns the time since the start.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Tells whether the hosts of a pool are switched off.
    pub(super) fn is_standby(&self, pool: &str) -> bool {
        let found = self.plan.pools.iter().find(|other| other.name == pool);
        found.is_some_and(|pool| pool.standby)
    }

    /// Starts a new runner instance on a host, unless the host is switched off.
    pub(super) fn start_runner(&mut self, host: &str) {
        let now = self.now();
        let Some(pool) = self.hosts.hosts.get(host).map(|host| host.pool.clone()) else {
            return;
        };
        if self.is_standby(&pool) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(host) {
            node.instances += 1;
            node.leaves_at = None;
            node.silent = false;
            let id = format!("i-{host}-{}", node.instances);
            let mut worker = Worker::new(&id, unix_millis(), MAX_RUNS, 1_000, now);
            worker.lease_limit = self.lease_limit;
            node.worker = Some(worker);
        }
        self.register(host);
    }

    /// Terminates the runner instance of a host and everything that it runs.
    pub(super) fn terminate_runner(&mut self, host: &str) {
        if let Some(id) = self.end_worker(host) {
            let record = vec![(id, Vec::new())];
            // An append without a producer and a condition is never rejected.
            let _ = self.log.append(RUNNER_TOPIC, None, None, record);
        }
    }

    /// Ends the runner instance of a host without notice. Its record expires like that of a silent runner.
    pub(super) fn crash_runner(&mut self, host: &str) {
        if let Some(id) = self.end_worker(host) {
            self.expiring.push((id, self.now() + self.expiry));
        }
    }

    /// Ends the runner instance of a host as [`State::crash_runner`] does, and lets its calls wait for the next one.
    pub(super) fn silence_runner(&mut self, host: &str) {
        self.crash_runner(host);
        if let Some(node) = self.nodes.get_mut(host) {
            node.silent = true;
        }
    }

    /// Ends the runner instance of a host and everything that it runs. Returns its name, if there was one.
    fn end_worker(&mut self, host: &str) -> Option<String> {
        let now = self.now();
        let mut worker = self.nodes.get_mut(host)?.worker.take()?;
        worker.terminate(now);
        let runs = worker.history.drain(..);
        let runs = runs.map(|run| Record {
            runner: worker.id.clone(),
            born: worker.born,
            run,
        });
        self.history.extend(runs);
        Some(worker.id)
    }

    /// Starts the runner of a host in operation that has none, with a new id or with the last one.
    pub(super) fn restart_runner(&mut self, host: &str, same_id: bool) {
        let Some(found) = self.hosts.hosts.get(host) else {
            return;
        };
        let may_run = found.phase == Phase::Up && !self.is_standby(&found.pool);
        let Some(node) = self.nodes.get_mut(host) else {
            return;
        };
        if !may_run || node.worker.is_some() {
            return;
        }
        if same_id {
            node.instances -= 1;
            let id = format!("i-{host}-{}", node.instances + 1);
            self.expiring.retain(|(expiring, _)| *expiring != id);
        }
        self.start_runner(host);
    }

    /// Writes the record of a runner about itself in the service list.
    pub(super) fn register(&mut self, host: &str) {
        let now = self.now();
        let (Some(node), Some(value)) = (self.nodes.get(host), self.hosts.hosts.get(host)) else {
            return;
        };
        let Some(worker) = &node.worker else {
            return;
        };
        let entry = json!({
            "service": value.pool,
            "addr": node.address.to_string(),
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": if node.leaves_at.is_some() { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "seq": 1,
            "born": worker.born,
            "capacity": capacity(),
            "labels": ["a", node.rack],
            "machine": host,
            "clockMs": worker.clock(now),
            "drainRemainingMs": node.leaves_at.map_or(0, |at| at.saturating_sub(now).as_millis() as u64),
        });
        let record = vec![(worker.id.clone(), entry.to_string().into_bytes())];
        let _ = self.log.append(RUNNER_TOPIC, None, None, record);
    }

    /// Ends moves and maintenance that are due, and renews the records of all runners.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        for host in self.hosts.advance(now) {
            self.start_runner(&host);
        }
        let (expired, expiring) = core::mem::take(&mut self.expiring)
            .into_iter()
            .partition(|(_, at)| *at <= now);
        self.expiring = expiring;
        for (id, _) in expired {
            let _ = self
                .log
                .append(RUNNER_TOPIC, None, None, vec![(id, Vec::new())]);
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            if self.nodes[&name].leaves_at.is_some_and(|at| at <= now) {
                self.nodes
                    .get_mut(&name)
                    .expect("the name is a key")
                    .leaves_at = None;
                self.terminate_runner(&name);
            }
            self.register(&name);
        }
    }

    /// Publishes the configuration with the next version.
    pub(super) fn publish_config(&mut self) {
        self.config_version += 1;
        let route = |queue: &Queue| {
            json!({
                "name": queue.name,
                "host": "jobs.example",
                "pathPrefix": format!("/{}/", queue.name),
                "kind": "non_idempotent",
                "timeoutMs": 3_000,
                "targetLatencyMs": 600,
                "priority": queue.priority,
                "service": queue.pool,
                "maxAttempts": MAX_ATTEMPTS,
                "stretch": 1.6,
                "anonymous": queue.anonymous,
            })
        };
        let service = |pool: &Pool| json!({ "name": pool.name, "admissionCheck": false, "standby": pool.standby });
        let routes: Vec<_> = self.plan.queues.iter().map(route).collect();
        let services: Vec<_> = self.plan.pools.iter().map(service).collect();
        let mut config = json!({
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {},
        });
        if !self.plan.accounts.is_empty() {
            config["tenants"] = self.plan.accounts.iter().map(tenant).collect();
        }
        self.publish(OPERATOR_TOPIC, "config", &config);
    }

    /// Appends a record to a topic.
    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &serde_json::Value) {
        self.publish_text(topic, key, &value.to_string());
    }

    /// Appends a record with this text to a topic.
    pub(super) fn publish_text(&mut self, topic: &str, key: &str, text: &str) {
        let record = vec![(key.to_owned(), text.to_owned().into_bytes())];
        let _ = self.log.append(topic, None, None, record);
    }

    /// Returns the host list in the format of the host service.
    pub(super) fn machines(&self) -> serde_json::Value {
        let row = |(name, host): (&String, &super::Host)| {
            let node = &self.nodes[name];
            let worker = node.worker.as_ref();
            json!({
                "machine": name,
                "pool": host.pool,
                "state": match host.phase {
                    Phase::Up => "up",
                    Phase::Moving(_) => "moving",
                    Phase::Maintenance(_) => "upkeep",
                },
                "zone": "zone",
                "labels": ["a", node.rack],
                "capacity": capacity(),
                "id": worker.map(|worker| worker.id.as_str()).unwrap_or_default(),
            })
        };
        let rows: Vec<_> = self.hosts.hosts.iter().map(row).collect();
        json!({ "machines": rows, "nextToken": null })
    }
}

/// Returns the row of an account in the configuration.
fn tenant(account: &Account) -> serde_json::Value {
    json!({
        "name": account.name,
        "apiKeys": account.keys,
        "priority": 0,
        "weight": account.weight,
        "cap": {
            "cpu": account.cpu_cap,
            "memMb": account.memory_cap,
            "gpu": account.gpu_cap,
        },
    })
}

fn capacity() -> serde_json::Value {
    json!({ "cpu": HOST_CPU, "memMb": 16_000, "gpu": 0 })
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
