//! Configuration and hosts at one time, with keys in place of names.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model;
use std::sync::Arc;

/// Configuration and hosts as admission and routing use them.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Log offset up to which the configuration includes changes.
    pub version: u64,
    /// Whether the configuration is complete; no request is admitted until it is.
    pub complete: bool,
    /// Availability zones with hosts or entries.
    pub zones: Vec<(Name, availability_zone::Key)>,
    /// Customers with a contract in force.
    pub customers: Vec<Customer>,
    /// Pools in force.
    pub pools: Vec<Pool>,
    /// Upstreams of all pools.
    pub upstreams: Vec<Upstream>,
}

/// A customer and its contract.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Key of the customer.
    pub key: customer::Key,
    /// Name of the customer.
    pub name: Name,
    /// Contract in force.
    pub contract: Arc<model::Contract>,
    /// Contracted share of each pool in percent.
    pub shares: Vec<(pool::Key, u32)>,
}

/// A pool and its policy.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Key of the pool.
    pub key: pool::Key,
    /// Name of the pool.
    pub name: Name,
    /// Policy in force.
    pub policy: Arc<model::Pool>,
}

/// An upstream of a pool.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Key of the upstream; a restarted upstream has a new one.
    pub key: upstream::Key,
    /// Identity of the upstream, the same at all entries.
    pub id: u64,
    /// Host that it runs on.
    pub host: Name,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Pool that the host is assigned to.
    pub pool: pool::Key,
    /// Availability zone of the host.
    pub availability_zone: availability_zone::Key,
    /// Name of that availability zone.
    pub zone: Name,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether the host list marks the host as leaving.
    pub leaving: bool,
}

/// A host from the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Incarnation of the host; a restarted host has another one.
    pub incarnation: u64,
    /// Availability zone of the host.
    pub availability_zone: Name,
    /// Address at which its upstream accepts requests.
    pub address: SocketAddr,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}
