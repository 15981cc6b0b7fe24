//! What the router is told about an upstream: its attributes, draining, and the results of attempts.

use sassafrascrank_base::prelude::*;

/// Availability zone and size of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attributes {
    /// Where the upstream runs.
    pub availability_zone: availability_zone::Key,
    /// Requests that it can run at once, from all entries together.
    pub slots: u32,
}

/// How this entry learned that an upstream is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainSource {
    /// The platform's host list.
    List,
    /// A header in a response of the upstream.
    Response,
    /// The upstream closed its connections and refuses new ones.
    Connection,
    /// The report of another entry.
    Peer,
}

/// Result of one attempt to run a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// It answered after this time.
    Answered(Duration),
    /// It answered with a server error after this time.
    Failed(Duration),
    /// It refused the connection; nothing was sent.
    Unreachable,
    /// The idle connection had been closed; nothing was sent, and that says nothing about the health of the upstream.
    Stale,
    /// The connection broke after the request may have been sent.
    Lost,
    /// It did not answer in time.
    TimedOut,
    /// The caller went away; that says nothing about the health of the upstream.
    Cancelled,
}
