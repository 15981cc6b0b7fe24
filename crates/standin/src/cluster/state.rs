//! State of a cluster, shared by its services.

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

/// Topic in which runners register.
pub(super) const SERVERS: &str = "keyed.servers";
/// Topic of operators.
pub(super) const OPERATOR: &str = "keyed.op";
/// Hosts in one rack.
const RACK: usize = 4;
/// Most runs of one worker.
const ROOM: usize = 64;

/// A pool of a cluster.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// The hosts are switched off.
    pub standby: bool,
}

/// A queue of a cluster.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Name, which is also its path.
    pub name: &'static str,
    /// Pool.
    pub pool: &'static str,
    /// Urgency.
    pub priority: u8,
}

/// What a cluster consists of.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Pools.
    pub pools: Vec<Pool>,
    /// Queues.
    pub queues: Vec<Queue>,
}

/// A host with the address that its runner has.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) address: SocketAddr,
    pub(super) rack: String,
    /// The present life of its runner; `None` while it is switched off or on its way.
    pub(super) worker: Option<Worker>,
    pub(super) lives: u64,
}

/// State of a cluster.
#[derive(Debug)]
pub(super) struct State {
    pub(super) plan: Plan,
    pub(super) start: Instant,
    pub(super) log: Log,
    pub(super) hosts: Hosts,
    pub(super) sites: BTreeMap<String, Site>,
    /// Runs of earlier lives.
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
        let mut sites = BTreeMap::new();
        let pools = plan.pools.iter();
        let all = pools.flat_map(|pool| std::iter::repeat_n(pool.name, pool.hosts));
        for ((index, pool), address) in all.enumerate().zip(addresses) {
            let name = format!("m-{index}");
            hosts.add(&name, pool);
            let rack = format!("r{}", index / RACK);
            let site = Site {
                address,
                rack,
                worker: None,
                lives: 0,
            };
            sites.insert(name, site);
        }
        let mut state = Self {
            plan,
            start: Instant::now(),
            log: Log::default(),
            hosts,
            sites,
            history: Vec::new(),
            config_version: 0,
        };
        let names: Vec<String> = state.sites.keys().cloned().collect();
        for name in names {
            state.begin_life(&name);
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

    /// Starts the runner of a host, unless the host is switched off.
    pub(super) fn begin_life(&mut self, host: &str) {
        let now = self.now();
        let Some(pool) = self.hosts.hosts.get(host).map(|host| host.pool.clone()) else {
            return;
        };
        if self.is_standby(&pool) {
            return;
        }
        if let Some(site) = self.sites.get_mut(host) {
            site.lives += 1;
            let id = format!("i-{host}-{}", site.lives);
            site.worker = Some(Worker::new(&id, unix_millis(), ROOM, 1_000, now));
        }
        self.register(host);
    }

    /// Ends the runner of a host with all that it runs.
    pub(super) fn end_life(&mut self, host: &str) {
        let now = self.now();
        let site = self.sites.get_mut(host);
        if let Some(mut worker) = site.and_then(|site| site.worker.take()) {
            worker.terminate(now);
            self.history.append(&mut worker.history);
            let record = vec![(worker.id, Vec::new())];
            // Without a producer and a condition, an append is always accepted.
            let _ = self.log.append(SERVERS, None, None, record);
        }
    }

    /// Writes the runner's own entry in the service list.
    pub(super) fn register(&mut self, host: &str) {
        let now = self.now();
        let (Some(site), Some(value)) = (self.sites.get(host), self.hosts.hosts.get(host)) else {
            return;
        };
        let Some(worker) = &site.worker else {
            return;
        };
        let entry = json!({
            "service": value.pool,
            "addr": site.address.to_string(),
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": worker.born,
            "capacity": capacity(),
            "labels": ["a", site.rack],
            "machine": host,
            "clockMs": worker.clock(now),
        });
        let record = vec![(worker.id.clone(), entry.to_string().into_bytes())];
        let _ = self.log.append(SERVERS, None, None, record);
    }

    /// Lets hosts come back, and runners write their entries.
    pub(super) fn beat(&mut self) {
        let now = self.now();
        for host in self.hosts.advance(now) {
            self.begin_life(&host);
        }
        let names: Vec<String> = self.sites.keys().cloned().collect();
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
        self.publish(OPERATOR, "config", &config);
    }

    /// Writes a record of an operator.
    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &serde_json::Value) {
        let record = vec![(key.to_owned(), value.to_string().into_bytes())];
        let _ = self.log.append(topic, None, None, record);
    }

    /// Returns the host service's list.
    pub(super) fn machines(&self) -> serde_json::Value {
        let row = |(name, host): (&String, &super::Host)| {
            let site = &self.sites[name];
            let worker = site.worker.as_ref();
            json!({
                "machine": name,
                "pool": host.pool,
                "state": match host.phase {
                    Phase::Up => "up",
                    Phase::Moving(_) => "moving",
                    Phase::Maintenance(_) => "upkeep",
                },
                "zone": "zone",
                "labels": ["a", site.rack],
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
