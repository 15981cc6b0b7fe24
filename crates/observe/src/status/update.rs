//! Parts of the status. The thread that owns a part always sends it whole.

use core::fmt;
use sassafrascrank_base::prelude::*;
use std::net::SocketAddr;

/// A part of the status, which replaces the last value of the same part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// State of the dispatch engine, sent by the thread `dispatch`.
    Engine(Engine),
    /// State read from the platform, sent by the thread `platform`.
    Platform(Platform),
    /// Phase of the process, sent by the thread that starts and stops it.
    Phase(Phase),
}

/// State of the dispatch engine: pools and upstreams as this entry sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Engine {
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Upstreams, sorted by host.
    pub upstreams: Vec<Upstream>,
}

/// A pool as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Slots in this entry's partition.
    pub slots: u64,
    /// Running requests of this entry.
    pub running: u64,
    /// Queued requests of this entry.
    pub queued: u64,
}

/// An upstream as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of its host.
    pub host: Name,
    /// Name of its pool.
    pub pool: Name,
    /// Name of its availability zone.
    pub zone: Name,
    /// Whether it accepts requests.
    pub state: State,
    /// Slots in this entry's partition.
    pub slots: u64,
    /// Running requests of this entry on the upstream.
    pub running: u64,
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It accepts requests.
    Active,
    /// It finishes its requests and gets no new ones.
    Draining,
    /// It failed too often and gets only probe requests.
    Ejected,
}

impl State {
    /// All states.
    pub const ALL: [Self; 3] = [Self::Active, Self::Draining, Self::Ejected];

    /// Returns the machine-readable code.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Draining => "draining",
            Self::Ejected => "ejected",
        }
    }
}

/// State read from the platform's log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Platform {
    /// Offset of the configuration in force; 0 if there is none yet.
    pub configuration: u64,
    /// Offset of the membership view; 0 if there is none yet.
    pub membership: u64,
    /// Entries in the membership view, sorted by host.
    pub members: Vec<Member>,
    /// When the log stopped answering; `None` while it answers.
    pub log_lost: Option<Time>,
}

/// An entry in the membership view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of its host.
    pub host: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Name of its availability zone.
    pub zone: Name,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Whether this process receives messages from it.
    pub reachable: bool,
}

/// Phase of the lifecycle of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// It has no complete configuration yet.
    #[default]
    Starting,
    /// It serves callers.
    Serving,
    /// It finishes its requests and accepts no new ones.
    ShuttingDown,
}

impl Phase {
    /// Returns the machine-readable code.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::ShuttingDown => "shutting-down",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
