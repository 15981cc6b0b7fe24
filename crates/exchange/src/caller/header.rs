//! Names of the HTTP headers that callers, entries and upstreams send each other.

use hyper::header::HeaderName;

/// Idempotency key of a request that may run only once: `<availability zone>:<UUIDv7>`.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Name of the pool whose upstreams may answer.
pub const POOL: HeaderName = HeaderName::from_static("sassafrascrank-pool");
/// Name of an urgency class in the contract.
pub const URGENCY: HeaderName = HeaderName::from_static("sassafrascrank-urgency");
/// Time in milliseconds for which the caller waits.
pub const TIMEOUT: HeaderName = HeaderName::from_static("sassafrascrank-timeout");
/// Id of the request, set by an entry that forwards a request to the owner of its key.
pub const FORWARDED: HeaderName = HeaderName::from_static("sassafrascrank-forwarded");
/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("sassafrascrank-outcome");
/// Name of the customer that sent the request; set by the entry for the upstream.
pub const CUSTOMER: HeaderName = HeaderName::from_static("sassafrascrank-customer");
/// Set by an upstream that is about to stop.
pub const DRAINING: HeaderName = HeaderName::from_static("sassafrascrank-draining");
/// Id of the request in the time line; on every answer to a request whose head was accepted and whose body was read.
pub const REQUEST: HeaderName = HeaderName::from_static("sassafrascrank-request");
