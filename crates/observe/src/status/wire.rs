//! JSON form of the status.

use super::update;
use sassafrascrank_base::prelude::Time;
use serde::{
    Deserialize,
    Serialize, //
};

/// The status as `/status` returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// Host of the process.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Availability zone of the process.
    pub zone: String,
    /// Phase of its lifecycle: `starting`, `serving` or `shutting-down`.
    pub phase: String,
    /// Milliseconds since its start.
    pub uptime_ms: u64,
    /// Offset of the configuration in force.
    pub configuration: u64,
    /// Offset of the membership view.
    pub membership: u64,
    /// Reachability of the platform's log.
    pub log: Log,
    /// Entries in the membership view.
    pub members: Vec<Member>,
    /// Pools as this entry sees them.
    pub pools: Vec<Pool>,
    /// Upstreams as this entry sees them.
    pub upstreams: Vec<Upstream>,
}

/// Reachability of the platform's log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Log {
    /// Whether it answers.
    pub reachable: bool,
    /// Milliseconds since it stopped answering; absent while it answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_ms: Option<u64>,
}

/// An entry in the membership view.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Host of the entry.
    pub host: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Availability zone of the entry.
    pub zone: String,
    /// Address of its listener.
    pub address: String,
    /// Whether this process receives messages from it.
    pub reachable: bool,
}

/// A pool as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Slots in this entry's partition.
    pub slots: u64,
    /// Running requests of this entry.
    pub running: u64,
    /// Queued requests of this entry.
    pub queued: u64,
}

/// An upstream as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Upstream {
    /// Host of the upstream.
    pub host: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// `active`, `draining` or `ejected`.
    pub state: String,
    /// Slots in this entry's partition.
    pub slots: u64,
    /// Running requests of this entry.
    pub running: u64,
}

impl Status {
    /// Converts the status as of `now`.
    pub fn new(status: &super::Status, now: Time) -> Self {
        let platform = &status.platform;
        let engine = &status.engine;
        Self {
            host: status.process.host.to_string(),
            incarnation: status.process.incarnation,
            zone: status.zone.to_string(),
            phase: status.phase.to_string(),
            uptime_ms: millis(status.started, now),
            configuration: platform.configuration,
            membership: platform.membership,
            log: Log {
                reachable: platform.log_lost.is_none(),
                lost_ms: platform.log_lost.map(|lost| millis(lost, now)),
            },
            members: platform.members.iter().map(Member::from).collect(),
            pools: engine.pools.iter().map(Pool::from).collect(),
            upstreams: engine.upstreams.iter().map(Upstream::from).collect(),
        }
    }
}

/// Returns the milliseconds from `earlier` to `now`, or 0 if `earlier` is later.
fn millis(earlier: Time, now: Time) -> u64 {
    now.as_millis().saturating_sub(earlier.as_millis())
}

impl From<&update::Member> for Member {
    fn from(member: &update::Member) -> Self {
        Self {
            host: member.host.to_string(),
            incarnation: member.incarnation,
            zone: member.zone.to_string(),
            address: member.address.to_string(),
            reachable: member.reachable,
        }
    }
}

impl From<&update::Pool> for Pool {
    fn from(pool: &update::Pool) -> Self {
        Self {
            name: pool.name.to_string(),
            slots: pool.slots,
            running: pool.running,
            queued: pool.queued,
        }
    }
}

impl From<&update::Upstream> for Upstream {
    fn from(upstream: &update::Upstream) -> Self {
        Self {
            host: upstream.host.to_string(),
            pool: upstream.pool.to_string(),
            zone: upstream.zone.to_string(),
            state: upstream.state.as_str().to_owned(),
            slots: upstream.slots,
            running: upstream.running,
        }
    }
}
