//! State that the services of a cluster share.

use super::{
    Execution,
    Hosts,
    Log,
    Phase,
    Worker, //
};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
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
}

/// Pools and queues of a cluster.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Pools.
    pub pools: Vec<Pool>,
    /// Queues.
    pub queues: Vec<Queue>,
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
    pub(super) history: Vec<Execution>,
    pub(super) config_version: u64,
}

impl State {
    pub(super) fn new(plan: Plan, addresses: Vec<SocketAddr>) -> Self {
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
            let id = format!("i-{host}-{}", node.instances);
            node.worker = Some(Worker::new(&id, unix_millis(), MAX_RUNS, 1_000, now));
        }
        self.register(host);
    }

    /// Terminates the runner instance of a host and everything that it runs.
    pub(super) fn terminate_runner(&mut self, host: &str) {
        let now = self.now();
        let node = self.nodes.get_mut(host);
        if let Some(mut worker) = node.and_then(|node| node.worker.take()) {
            worker.terminate(now);
            self.history.append(&mut worker.history);
            let record = vec![(worker.id, Vec::new())];
            // An append without a producer and a condition is never rejected.
            let _ = self.log.append(RUNNER_TOPIC, None, None, record);
        }
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
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": worker.born,
            "capacity": capacity(),
            "labels": ["a", node.rack],
            "machine": host,
            "clockMs": worker.clock(now),
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
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
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
                "maxAttempts": 2,
                "stretch": 1.6,
            })
        };
        let service = |pool: &Pool| json!({ "name": pool.name, "admissionCheck": false, "standby": pool.standby });
        let routes: Vec<_> = self.plan.queues.iter().map(route).collect();
        let services: Vec<_> = self.plan.pools.iter().map(service).collect();
        let config = json!({
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {},
        });
        self.publish(OPERATOR_TOPIC, "config", &config);
    }

    /// Appends a record to a topic.
    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &serde_json::Value) {
        let record = vec![(key.to_owned(), value.to_string().into_bytes())];
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

fn capacity() -> serde_json::Value {
    json!({ "cpu": 8_000, "memMb": 16_000, "gpu": 0 })
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
