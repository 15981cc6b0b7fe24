//! Serialised records of the leader's own state.

use super::{
    Demand,
    HostOrder,
    Leader,
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
    #[serde(default)]
    capacity: u32,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireWave {
    epoch: u64,
    begun: Vec<String>,
    done: bool,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireOrdered {
    epoch: u64,
    /// Microseconds since the Unix epoch.
    at: u64,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireTurn {
    pool: String,
    mean: f64,
    usual: Option<f64>,
    /// Pool and milliseconds.
    next: Option<(String, u64)>,
}

#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireTurns {
    epoch: u64,
    pools: Vec<WireTurn>,
    /// Pool and microseconds since the Unix epoch.
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
            capacity: leader.capacity,
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
            capacity: wire.capacity,
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

impl From<&Demand> for WireTurns {
    fn from(turns: &Demand) -> Self {
        let row = |turn: &PoolDemand| WireTurn {
            pool: turn.pool.to_string(),
            mean: turn.mean,
            usual: turn.usual_hosts,
            next: turn
                .next
                .as_ref()
                .map(|(pool, after)| (pool.to_string(), millis(*after))),
        };
        Self {
            epoch: turns.epoch,
            pools: turns.pools.iter().map(row).collect(),
            latest: turns
                .latest
                .as_ref()
                .map(|(pool, at)| (pool.to_string(), at.as_micros())),
        }
    }
}

impl From<WireTurns> for Demand {
    fn from(wire: WireTurns) -> Self {
        let row = |turn: WireTurn| PoolDemand {
            pool: turn.pool.into(),
            mean: turn.mean,
            usual_hosts: turn.usual,
            next: turn
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

impl From<&HostOrder> for WireOrdered {
    fn from(ordered: &HostOrder) -> Self {
        Self {
            epoch: ordered.epoch,
            at: ordered.at.as_micros(),
        }
    }
}

impl WireOrdered {
    pub(super) fn with_host(self, host: &str) -> HostOrder {
        HostOrder {
            epoch: self.epoch,
            host: host.into(),
            at: Time::from_micros(self.at),
        }
    }
}
