//! Messages in both directions.

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

/// From an exchange thread to the dispatch thread.
#[derive(Debug)]
pub enum Message {
    /// A request asks for admission.
    Arrive {
        /// Identifies the request over all processes.
        id: request::Id,
        /// The request.
        arrival: Arrival,
        /// Present if the request may run only once.
        idempotency: Option<Idempotency>,
    },
    /// An attempt has ended.
    Finish {
        /// Whose attempt.
        caller: caller::Handle,
        /// How it ended.
        result: AttemptResult,
        /// The answer, for a request that may run only once.
        answer: Option<Arc<Answer>>,
    },
    /// The caller has gone and nothing runs for it any more.
    Cancel {
        /// The caller.
        caller: caller::Handle,
    },
    /// An upstream is leaving.
    Draining {
        /// The upstream.
        upstream: upstream::Key,
        /// How that became known.
        source: DrainSource,
    },
}

/// What identifies a request that may run only once.
#[derive(Clone, Debug)]
pub struct Idempotency {
    /// Key that the caller made.
    pub key: Key,
    /// Digest of the customer and of everything that makes two requests the same.
    pub fingerprint: u128,
    /// Whether another entry has forwarded the request to this one.
    pub forwarded: bool,
}

/// From the dispatch thread to an exchange thread.
#[derive(Debug)]
pub enum Reply {
    /// Send the request to this upstream.
    Forward {
        /// Who waits for it.
        caller: caller::Handle,
        /// Where to send it.
        target: Target,
        /// When the attempt is given up.
        until: Time,
    },
    /// Tell the caller that the request ends here.
    Refuse {
        /// Who waits for it.
        caller: caller::Handle,
        /// What to tell.
        refusal: Refusal,
    },
    /// Give the answer of an earlier request with the same key.
    Replay {
        /// Who waits for it.
        caller: caller::Handle,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Forward the request to the entry that owns its key.
    ForwardToOwner {
        /// Who waits for it.
        caller: caller::Handle,
        /// Listener for callers of that entry.
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
    /// Returns who waits for this reply.
    pub fn caller(&self) -> caller::Handle {
        match self {
            Self::Forward { caller, .. }
            | Self::Refuse { caller, .. }
            | Self::Replay { caller, .. }
            | Self::ForwardToOwner { caller, .. } => *caller,
        }
    }
}
