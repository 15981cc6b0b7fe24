//! What a process has to know at its start.

use core::net::SocketAddr;
use std::sync::Arc;

/// What a process has to know at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry, which no other living process has.
    pub name: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for questions whether the entry is ready.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Times of the leadership.
    pub lead: sassafrascrank_lead::Rules,
    /// Times and limits of the scheduler.
    pub rules: sassafrascrank_schedule::Rules,
}
