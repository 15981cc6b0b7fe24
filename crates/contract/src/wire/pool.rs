//! Serialised form of a pool and of a host assignment.

use super::{
    Error,
    contract::parse_name,
    value::check_range, //
};
use crate::model;
use core::time::Duration;

/// Pool as written in documents and records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Requests that one upstream processes at once, 1 to 1,024.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that one upstream accepts, 1 to 65,535.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Longest time of one attempt in milliseconds, 1 to 86,400,000.
    #[serde(default = "default_attempt_timeout_ms")]
    pub attempt_timeout_ms: u32,
    /// Least share of available hosts in percent, 0 to 100.
    #[serde(default = "default_availability_percent")]
    pub availability_percent: u32,
    /// Whether the pool holds spare hosts.
    #[serde(default)]
    pub spare: bool,
}

/// Assignment of a host as written in documents and records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// Name of the pool.
    pub pool: String,
}

/// Default number of slots: that of a runner in both deployments.
const fn default_slots() -> u32 {
    8
}

/// Default number of connections: that of a runner in both deployments.
const fn default_connections() -> u32 {
    64
}

const fn default_attempt_timeout_ms() -> u32 {
    30_000
}

const fn default_availability_percent() -> u32 {
    80
}

impl From<&model::Pool> for Pool {
    fn from(pool: &model::Pool) -> Self {
        let timeout = pool.attempt_timeout.as_millis();
        Self {
            slots: pool.slots,
            connections: pool.connections,
            attempt_timeout_ms: u32::try_from(timeout).unwrap_or(u32::MAX),
            availability_percent: pool.availability_percent,
            spare: pool.spare,
        }
    }
}

impl TryFrom<Pool> for model::Pool {
    type Error = Error;

    fn try_from(wire: Pool) -> Result<Self, Error> {
        let timeout = check_range(
            "attempt_timeout_ms",
            wire.attempt_timeout_ms,
            1..=86_400_000,
        )?;
        let percent = check_range("availability_percent", wire.availability_percent, 0..=100)?;
        Ok(Self {
            slots: check_range("slots", wire.slots, 1..=1_024)?,
            connections: check_range("connections", wire.connections, 1..=65_535)?,
            attempt_timeout: Duration::from_millis(timeout.into()),
            availability_percent: percent,
            spare: wire.spare,
        })
    }
}

impl From<&model::Assignment> for Assignment {
    fn from(assignment: &model::Assignment) -> Self {
        Self {
            pool: assignment.pool.to_string(),
        }
    }
}

impl TryFrom<Assignment> for model::Assignment {
    type Error = Error;

    fn try_from(wire: Assignment) -> Result<Self, Error> {
        Ok(Self {
            pool: parse_name("pool", &wire.pool)?,
        })
    }
}
