//! One attempt to confirm the view through the peers.

use super::Answer;
use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

#[derive(Clone, Debug)]
pub(super) struct Round {
    revision: u64,
    start: Time,
    waiting: Vec<Entry>,
}

impl Round {
    pub(super) const fn new(revision: u64, start: Time, waiting: Vec<Entry>) -> Self {
        Self {
            revision,
            start,
            waiting,
        }
    }

    pub(super) const fn start(&self) -> Time {
        self.start
    }

    pub(super) const fn is_unanimous(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts an answer; answers to an earlier round don't match.
    pub(super) fn record_answer(&mut self, answer: &Answer) {
        if answer.agrees && answer.revision == self.revision && answer.start == self.start {
            self.waiting.retain(|entry| *entry != answer.from);
        }
    }
}
