//! Addresses, pools and settings files of a run.
//!
//! Each run has loopback addresses of its own, so that several runs don't take ports from each other: the services listen
//! on one, the entries on one each, and the proxies of an entry on one each.

use crate::account::Account;
use sassafrascrank_standin::cluster::{
    Network,
    Plan,
    Pool,
    Queue, //
};
use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

/// Time between two records that a runner writes about itself; the entry of a silent runner expires after three.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Longest lease that a runner grants, which the entries read in their settings.
const LEASE_LIMIT: Duration = Duration::from_millis(10_000);
/// Availability zones with their entries, of which the run takes as many as it has.
const ZONES: [&str; 7] = [
    "nicoya",
    "nicoya",
    "santa-cruz",
    "santa-cruz",
    "liberia",
    "liberia",
    "filadelfia",
];
/// Ports of an entry for callers, readiness checks and metrics.
const PORTS: [u16; 3] = [8_624, 8_622, 8_623];

/// Queues with their pools, their priority and whether they need no key: quotes are ordinary jobs, and ledgers are
/// long-running.
pub const QUEUES: [(&str, &str, u8, bool); 8] = [
    ("quote-a", "alba", 0, true),
    ("quote-b", "brisa", 1, false),
    ("quote-c", "cedro", 0, true),
    ("quote-d", "duna", 1, false),
    ("ledger-a", "alba", 0, false),
    ("ledger-b", "brisa", 0, true),
    ("ledger-c", "cedro", 0, false),
    ("ledger-d", "duna", 0, true),
];

/// Addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    base: [u8; 2],
    /// Number of entries.
    pub entries: usize,
}

impl Site {
    /// Derives the addresses from a number that no other run of the machine has, such as the process id.
    pub fn new(number: u32, entries: usize) -> Self {
        let number = (number % 50_000 + 1_000).to_be_bytes();
        Self {
            base: [number[2], number[3]],
            entries,
        }
    }

    fn address(&self, last: usize) -> IpAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.base[0], self.base[1], last))
    }

    /// Returns the address at which an entry is shown the services.
    pub fn proxy(&self, entry: usize) -> IpAddr {
        self.address(100 + entry)
    }

    /// Returns the address of an entry for callers.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.address(20 + entry), PORTS[0])
    }

    /// Returns the addresses of the stand-in.
    pub fn network(&self) -> Network {
        Network {
            address: self.address(2),
            views: (0..self.entries).map(|entry| self.proxy(entry)).collect(),
            registration: HEARTBEAT,
            lease_limit: LEASE_LIMIT,
        }
    }

    /// Returns the pools, the queues, and the accounts if there are any.
    pub fn plan(&self, accounts: &[Account]) -> Plan {
        let pool = |(name, hosts, standby)| Pool {
            name,
            hosts,
            standby,
        };
        let queue = |(name, pool, priority, anonymous)| Queue {
            name,
            pool,
            priority,
            anonymous: anonymous && !accounts.is_empty(),
        };
        let pools = [
            ("alba", 8, false),
            ("brisa", 9, false),
            ("cedro", 11, false),
            ("duna", 12, false),
            ("comun", 8, true),
        ];
        Plan {
            pools: pools.map(pool).to_vec(),
            queues: QUEUES.map(queue).to_vec(),
            accounts: accounts.iter().map(Into::into).collect(),
        }
    }

    /// Returns the settings file of an entry that reaches the log and the host service at these ports of its proxy.
    pub fn settings(&self, entry: usize, log: u16, hosts: u16) -> String {
        let (own, proxy) = (self.address(20 + entry), self.proxy(entry));
        let zone = ZONES[entry % ZONES.len()];
        let [front, ready, control] = PORTS;
        let lease_limit = LEASE_LIMIT.as_millis();
        format!(
            "node=frontend-{zone}-{entry}\nzone={zone}\nip={own}\nlisten.front={own}:{front}\n\
             listen.ready={own}:{ready}\nlisten.control={own}:{control}\nportRange=7060,7075\n\
             limits.cpuShare=0.25\nlimits.cores=1\nheartbeatMs=1000\nplatform.addr={proxy}:{log}\n\
             cloud.addr={proxy}:{hosts}\ncloud.dutyPerS=64.0\nbounds.holdMaxMs={lease_limit}\nbounds.stopMs=900\n\
             bounds.graceS=6\nbounds.status_s=120\nbounds.migrateS=1.5\nbounds.leaseMs=3000\n\
             bounds.configApplyMs=3000\n"
        )
    }
}
