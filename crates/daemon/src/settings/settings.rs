//! Parses and checks the settings file.

use core::net::SocketAddr;
use sassafrascrank_base::{
    name,
    prelude::*, //
};
use sassafrascrank_contract::document::text;
use serde::Deserialize;
use std::{
    fs,
    io,
    path::Path, //
};

/// Most exchange threads, since an entry host has few cores.
const EXCHANGE_THREAD_LIMIT: u8 = 16;

/// Settings of one entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the host, unique in the deployment.
    pub host: Name,
    /// Availability zone of the host.
    pub availability_zone: Name,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for other entries.
    pub peers: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// Address of the platform, which serves the log and the host list.
    pub platform: SocketAddr,
    /// Peer addresses of some other entries, from which to fetch state at a start while the log is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that serve callers.
    pub exchange_threads: u8,
    /// Time after a shutdown request in which new connections are still served, so that the load balancer can notice.
    pub shutdown_delay: Duration,
    /// Longest time after the shutdown delay in which running requests can finish.
    pub shutdown_limit: Duration,
}

/// The settings can't be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read the file: {0}; name a readable file with --settings")]
    File(#[from] io::Error),
    /// The file does not parse.
    #[error("{0}")]
    Text(#[from] text::Error),
    /// A field holds a value that is not allowed.
    #[error("field {field}: value {value} is not allowed: {remedy}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Value as it was given.
        value: String,
        /// What to write instead.
        remedy: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be used; the error names line or field, value and remedy.
    pub fn load(path: &Path) -> Result<Self, Error> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Checks the text of a settings file, JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be used; the error names line or field, value and remedy.
    pub fn parse(text: &str) -> Result<Self, Error> {
        text::parse::<Wire>(text)?.try_into()
    }
}

/// Settings as written in the file; times are in milliseconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    host: String,
    availability_zone: String,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    platform: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "default_exchange_threads")]
    exchange_threads: u8,
    #[serde(default = "default_shutdown_delay_ms")]
    shutdown_delay_ms: u64,
    #[serde(default = "default_shutdown_limit_ms")]
    shutdown_limit_ms: u64,
}

const fn default_exchange_threads() -> u8 {
    1
}

/// Twice the usual health check interval of a load balancer.
const fn default_shutdown_delay_ms() -> u64 {
    2_000
}

const fn default_shutdown_limit_ms() -> u64 {
    30_000
}

impl TryFrom<Wire> for Settings {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Self, Error> {
        if wire.exchange_threads == 0 || wire.exchange_threads > EXCHANGE_THREAD_LIMIT {
            return Err(Error::Value {
                field: "exchange_threads",
                value: wire.exchange_threads.to_string(),
                remedy: format!("use 1 to {EXCHANGE_THREAD_LIMIT}"),
            });
        }
        Ok(Self {
            host: check_name("host", &wire.host)?,
            availability_zone: check_name("availability_zone", &wire.availability_zone)?,
            callers: wire.callers,
            peers: wire.peers,
            admin: wire.admin,
            platform: wire.platform,
            seeds: wire.seeds,
            exchange_threads: wire.exchange_threads,
            shutdown_delay: Duration::from_millis(wire.shutdown_delay_ms),
            shutdown_limit: Duration::from_millis(wire.shutdown_limit_ms),
        })
    }
}

fn check_name(field: &'static str, text: &str) -> Result<Name, Error> {
    Name::new(text).map_err(|error: name::Error| Error::Value {
        field,
        value: format!("{text:?}"),
        remedy: error.to_string(),
    })
}
