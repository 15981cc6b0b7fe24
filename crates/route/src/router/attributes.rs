//! Facts about an upstream.

use sassafrascrank_base::prelude::*;

/// Place and size of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attributes {
    /// Where the upstream runs.
    pub availability_zone: availability_zone::Key,
    /// Requests that it runs at once, from all entries together.
    pub slots: u32,
}

/// Where it became known that an upstream is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainSource {
    /// The platform's host list.
    List,
    /// A response header of the upstream.
    Response,
    /// The upstream closed its connections and refuses new ones.
    Connection,
    /// Another entry.
    Peer,
}

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// It answered after this time.
    Answered(Duration),
    /// It answered with a server error after this time.
    Failed(Duration),
    /// It refused the connection; nothing was sent.
    Unreachable,
    /// An idle connection had been closed; nothing was sent, and that says nothing about its health.
    Stale,
    /// The connection broke after the request may have been sent.
    Lost,
    /// It did not answer in time.
    TimedOut,
    /// The caller went away; says nothing about the upstream.
    Cancelled,
}
