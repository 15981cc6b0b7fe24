//! Which candidates can be relied on to answer. The module does no I/O.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// Time without an answer to a request after which no further request is sent without a probe. A candidate answers within
/// 30 ms unless the log is slow.
const SUSPECT_AFTER: Duration = Duration::from_millis(150);
/// Time after a failure for which a candidate is suspected if no request was answered since.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// Shortest time between a failure and the next probe. Without it, each request would wait for a probe of a candidate that
/// is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// A candidate as this entry sees it.
#[derive(Debug, Default)]
struct Peer {
    /// When the requests began that wait for an answer.
    pending: BTreeMap<u64, Time>,
    /// When the last request failed, unless one was answered since.
    failed_at: Option<Time>,
}

/// The candidates as this entry sees them.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<SocketAddr, Peer>,
    next_token: u64,
}

impl Peers {
    /// Records that a request is sent, and returns the token for [`end`](Self::end).
    pub fn begin(&mut self, address: SocketAddr, now: Time) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        let peer = self.peers.entry(address).or_default();
        peer.pending.insert(token, now);
        token
    }

    /// Records that a request was answered, or has failed.
    pub fn end(&mut self, address: SocketAddr, token: u64, answered: bool, now: Time) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.pending.remove(&token);
        peer.failed_at = (!answered).then_some(now);
    }

    /// Forgets a request whose caller no longer waits. It says nothing about the candidate.
    pub fn cancel(&mut self, address: SocketAddr, token: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.pending.remove(&token);
        }
    }

    /// Tells whether a candidate may not answer: one of its requests has waited for long, or has failed lately.
    pub fn is_suspected(&self, address: SocketAddr, now: Time) -> bool {
        let Some(peer) = self.peers.get(&address) else {
            return false;
        };
        let waits = |begun: &Time| now.since(*begun) >= SUSPECT_AFTER;
        let failed = |failed: Time| now.since(failed) < SUSPECT_TIME;
        peer.pending.values().any(waits) || peer.failed_at.is_some_and(failed)
    }

    /// Tells whether a suspected candidate may be probed again.
    pub fn may_probe(&self, address: SocketAddr, now: Time) -> bool {
        let failed_at = self.peers.get(&address).and_then(|peer| peer.failed_at);
        failed_at.is_none_or(|failed| now.since(failed) >= PROBE_INTERVAL)
    }

    /// Forgets a candidate that has left.
    pub fn forget(&mut self, address: SocketAddr) {
        self.peers.remove(&address);
    }
}
