//! Messages between an exchange thread and the dispatch thread, in both directions.

use super::Answer;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::key::Key;
use sassafrascrank_dispatch::engine::{
    Arrival,
    Decision,
    Target, //
};
use sassafrascrank_observe::event::request;
use sassafrascrank_route::{
    AttemptResult,
    DrainSource, //
};
use std::sync::Arc;

/// Message from an exchange thread to the dispatch thread.
#[derive(Debug)]
pub enum Message {
    /// A request has arrived and needs a decision.
    Arrive {
        /// Id of the request, unique across all processes.
        id: request::Id,
        /// Facts about the request on which the decision depends.
        arrival: Arrival,
        /// Idempotency key and fingerprint; present if the request may run only once.
        idempotency: Option<Idempotency>,
    },
    /// An attempt has ended.
    Finish {
        /// Caller whose request was attempted.
        caller: caller::Handle,
        /// Result of the attempt.
        result: AttemptResult,
        /// Answer to store for repeats; only for a request that may run only once.
        answer: Option<Arc<Answer>>,
    },
    /// The caller has disconnected or been answered in part, and no attempt runs for it any more.
    Cancel {
        /// Caller whose request ends.
        caller: caller::Handle,
    },
    /// An upstream is about to stop and takes no new requests.
    Draining {
        /// Upstream that is draining.
        upstream: upstream::Key,
        /// How this entry learned of it.
        source: DrainSource,
    },
}

/// Identity of a request that may run only once.
#[derive(Clone, Debug)]
pub struct Idempotency {
    /// Idempotency key that the caller generated.
    pub key: Key,
    /// Digest of the customer, method, target, pool and body; a repeat with the same key must have the same digest.
    pub fingerprint: u128,
    /// Whether another entry has forwarded the request to this one.
    pub forwarded: bool,
}

/// Message from the dispatch thread to an exchange thread.
#[derive(Debug)]
pub enum Reply {
    /// Send the request to this upstream.
    Forward {
        /// Caller that waits for the reply.
        caller: caller::Handle,
        /// Upstream and its address.
        target: Target,
        /// Time at which the attempt times out.
        until: Time,
    },
    /// Refuse the request.
    Refuse {
        /// Caller that waits for the reply.
        caller: caller::Handle,
        /// Reason and outcome to send to the caller.
        refusal: Refusal,
    },
    /// Send the stored answer of an earlier request with the same key.
    Replay {
        /// Caller that waits for the reply.
        caller: caller::Handle,
        /// Stored answer.
        answer: Arc<Answer>,
    },
    /// Forward the request to the entry that owns its key.
    ForwardToOwner {
        /// Caller that waits for the reply.
        caller: caller::Handle,
        /// Address at which that entry accepts callers.
        address: SocketAddr,
    },
}

impl From<Decision> for Reply {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Forward {
                caller,
                target,
                until,
                ..
            } => Self::Forward {
                caller,
                target,
                until,
            },
            Decision::Refuse { caller, refusal } => Self::Refuse { caller, refusal },
        }
    }
}

impl Reply {
    /// Returns the caller that waits for this reply.
    pub fn caller(&self) -> caller::Handle {
        match self {
            Self::Forward { caller, .. }
            | Self::Refuse { caller, .. }
            | Self::Replay { caller, .. }
            | Self::ForwardToOwner { caller, .. } => *caller,
        }
    }
}
