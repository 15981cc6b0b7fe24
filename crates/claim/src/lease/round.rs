//! One round of requests that ask all peers to confirm the view.

use super::Answer;
use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

#[derive(Clone, Debug)]
pub(super) struct Round {
    revision: u64,
    start: Time,
    /// Peers that have not confirmed the view yet.
    unconfirmed: Vec<Entry>,
}

impl Round {
    pub(super) const fn new(revision: u64, start: Time, peers: Vec<Entry>) -> Self {
        Self {
            revision,
            start,
            unconfirmed: peers,
        }
    }

    pub(super) const fn start(&self) -> Time {
        self.start
    }

    pub(super) const fn is_complete(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// Records an answer; a rejection and an answer to an earlier round have no effect.
    pub(super) fn record_answer(&mut self, answer: &Answer) {
        if answer.agrees && answer.revision == self.revision && answer.start == self.start {
            self.unconfirmed.retain(|entry| *entry != answer.from);
        }
    }
}
