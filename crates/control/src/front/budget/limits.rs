//! Limits on connections and on the bytes that requests hold.

use super::Origin;
use sassafrascrank_base::prelude::*;

/// Largest body of a request.
pub const BODY_LIMIT_BYTES: usize = 256 << 10;
/// Longest time that a body may take, whatever its caller allows.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that a connection can hold in buffers besides the body: 16 KiB for a head, and 8 KiB for an answer.
const CONNECTION_BYTES: u64 = 24 << 10;
/// File descriptors that are not available for connections.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Least byte budget: a single body of the largest size fits into the part for large bodies.
const MIN_BYTES: usize = 2 * BODY_LIMIT_BYTES;
/// Least number of connections of each origin.
const MIN_CONNECTIONS: usize = 16;
/// Connections of the readiness probe. One prober uses one or two.
const PROBE_CONNECTIONS: usize = 64;

/// Limits on connections and on the bytes that requests hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes that the bodies of all requests may hold.
    pub bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other entries, which pass callers' requests on.
    pub entries: usize,
    /// Connections of the readiness probe.
    pub probes: usize,
}

impl Limits {
    /// Returns the limits for a process with this memory in bytes and this number of file descriptors.
    ///
    /// Bodies get a quarter of the memory, and callers' connections the smaller of a quarter of the memory and three
    /// quarters of the descriptors. Other entries' connections get half as many, and at most an eighth of the descriptors;
    /// the last eighth is left for the connections of the process itself.
    pub fn new(memory: u64, descriptors: u64) -> Self {
        let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let callers = (available * 3 / 4).min(memory / 4 / CONNECTION_BYTES);
        Self {
            bytes: size(memory / 4).max(MIN_BYTES),
            callers: size(callers).max(MIN_CONNECTIONS),
            entries: size((callers / 2).min(available / 8)).max(MIN_CONNECTIONS),
            probes: PROBE_CONNECTIONS,
        }
    }

    /// Returns the largest number of connections of an origin.
    pub(super) fn connections(&self, origin: Origin) -> usize {
        match origin {
            Origin::Caller => self.callers,
            Origin::Entry => self.entries,
            Origin::Probe => self.probes,
        }
    }

    /// Returns the bytes that large bodies may hold. The rest has room for one small body of each connection, so that small
    /// requests are accepted however many large ones there are.
    pub(super) fn large_bytes(&self) -> usize {
        self.bytes / 4 * 3
    }
}

/// Returns the time by which the body of a request has to be complete that began at `started` and whose caller waits until
/// `until`.
pub fn body_deadline(started: Time, until: Time) -> Time {
    until.min(started + BODY_TIMEOUT)
}
