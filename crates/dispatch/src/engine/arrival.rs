//! Requests passed to the engine, and the decisions that it returns.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Caller that waits for the answer.
    pub caller: caller::Handle,
    /// Customer that sent it.
    pub customer: customer::Key,
    /// Pool whose upstreams may answer it.
    pub pool: pool::Key,
    /// Urgency class.
    pub class: class::Index,
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// An upstream and its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Key of the upstream.
    pub upstream: upstream::Key,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
}

/// Next step for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to an upstream, and report the end of the attempt to the engine.
    Forward {
        /// Caller of the request.
        caller: caller::Handle,
        /// Upstream to send it to.
        target: Target,
        /// Time at which the attempt is abandoned.
        until: Time,
        /// Number of earlier attempts.
        retry: u32,
    },
    /// Answer the caller with a refusal; the engine has removed the request.
    Refuse {
        /// Caller of the request.
        caller: caller::Handle,
        /// Refusal for the caller.
        refusal: Refusal,
    },
}
