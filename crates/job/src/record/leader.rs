//! Serialised records that only the leader writes, except the progress of jobs.

use super::{
    Demand,
    HostOrder,
    Leader,
    Lease,
    PoolDemand,
    Wave,
    wire::millis, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireLeader {
    epoch: u64,
    holder: String,
    born: u64,
    resigned: bool,
    /// Microseconds since the Unix epoch.
    runs_until: u64,
    /// Thousandths of a core, with the bit [`BEHIND`].
    #[serde(default)]
    capacity: u32,
}

/// Bit of the capacity that says that the leader is behind the log. Entries of versions without it read a large capacity, so
/// they still see that the leader appends, and do not replace it for its size.
const BEHIND: u32 = 1 << 31;

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireWave {
    epoch: u64,
    begun: Vec<String>,
    done: bool,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireHostOrder {
    epoch: u64,
    /// Microseconds since the Unix epoch.
    at: u64,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireLease {
    epoch: u64,
    /// Microseconds since the Unix epoch.
    until: u64,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WirePoolDemand {
    pool: String,
    mean: f64,
    usual: Option<f64>,
    /// Name of the next pool, and milliseconds from the beginning of this peak to that of the next one.
    next: Option<(String, u64)>,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireDemand {
    epoch: u64,
    pools: Vec<WirePoolDemand>,
    /// Name of the pool, and microseconds since the Unix epoch.
    latest: Option<(String, u64)>,
}

impl From<&Leader> for WireLeader {
    fn from(leader: &Leader) -> Self {
        Self {
            epoch: leader.epoch,
            holder: leader.holder.to_string(),
            born: leader.incarnation,
            resigned: leader.resigned,
            runs_until: leader.runs_until.as_micros(),
            capacity: match leader.behind {
                true => leader.capacity | BEHIND,
                false => leader.capacity & !BEHIND,
            },
        }
    }
}

impl From<WireLeader> for Leader {
    fn from(wire: WireLeader) -> Self {
        Self {
            epoch: wire.epoch,
            holder: wire.holder.into(),
            incarnation: wire.born,
            resigned: wire.resigned,
            runs_until: Time::from_micros(wire.runs_until),
            capacity: wire.capacity & !BEHIND,
            behind: wire.capacity & BEHIND != 0,
        }
    }
}

impl From<&Wave> for WireWave {
    fn from(wave: &Wave) -> Self {
        Self {
            epoch: wave.epoch,
            begun: wave.begun.iter().map(|host| host.to_string()).collect(),
            done: wave.done,
        }
    }
}

impl WireWave {
    pub(super) fn with_number(self, number: u64) -> Wave {
        Wave {
            number,
            epoch: self.epoch,
            begun: self.begun.into_iter().map(Arc::from).collect(),
            done: self.done,
        }
    }
}

impl From<&Demand> for WireDemand {
    fn from(demand: &Demand) -> Self {
        let row = |pool: &PoolDemand| WirePoolDemand {
            pool: pool.pool.to_string(),
            mean: pool.mean,
            usual: pool.usual_hosts,
            next: pool
                .next
                .as_ref()
                .map(|(pool, after)| (pool.to_string(), millis(*after))),
        };
        Self {
            epoch: demand.epoch,
            pools: demand.pools.iter().map(row).collect(),
            latest: demand
                .latest
                .as_ref()
                .map(|(pool, at)| (pool.to_string(), at.as_micros())),
        }
    }
}

impl From<WireDemand> for Demand {
    fn from(wire: WireDemand) -> Self {
        let row = |wire: WirePoolDemand| PoolDemand {
            pool: wire.pool.into(),
            mean: wire.mean,
            usual_hosts: wire.usual,
            next: wire
                .next
                .map(|(pool, after)| (pool.into(), Duration::from_millis(after))),
        };
        Self {
            epoch: wire.epoch,
            pools: wire.pools.into_iter().map(row).collect(),
            latest: wire
                .latest
                .map(|(pool, at)| (pool.into(), Time::from_micros(at))),
        }
    }
}

impl From<&Lease> for WireLease {
    fn from(lease: &Lease) -> Self {
        Self {
            epoch: lease.epoch,
            until: lease.until.as_micros(),
        }
    }
}

impl WireLease {
    pub(super) fn with_runner(self, runner: &str) -> Lease {
        Lease {
            epoch: self.epoch,
            runner: runner.into(),
            until: Time::from_micros(self.until),
        }
    }
}

impl From<&HostOrder> for WireHostOrder {
    fn from(order: &HostOrder) -> Self {
        Self {
            epoch: order.epoch,
            at: order.at.as_micros(),
        }
    }
}

impl WireHostOrder {
    pub(super) fn with_host(self, host: &str) -> HostOrder {
        HostOrder {
            epoch: self.epoch,
            host: host.into(),
            at: Time::from_micros(self.at),
        }
    }
}
