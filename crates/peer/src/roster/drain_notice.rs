//! Drain signs that must still travel.

use super::limit::DRAIN_NOTICE_SPAN;
use crate::{
    message::DrainNotice,
    wire::DRAIN_NOTICE_LIMIT, //
};
use sassafrascrank_base::prelude::*;
use std::collections::VecDeque;

/// Drain notices of the last 10 s, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainNotices {
    held: VecDeque<Held>,
}

#[derive(Clone, Debug)]
struct Held {
    notice: DrainNotice,
    since: Time,
    /// Whether this process noticed it itself, so that it passes it on.
    own: bool,
    /// Whether no peer is known to have told the others.
    urgent: bool,
}

impl DrainNotices {
    /// Adds a sign that this process noticed, and tells whether the oldest one had to go.
    pub(super) fn add_own(&mut self, now: Time, notice: DrainNotice) -> bool {
        self.expire(now);
        if let Some(held) = self.held.iter_mut().find(|held| held.notice == notice) {
            held.own = true;
            return false;
        }
        self.push(Held {
            notice,
            since: now,
            own: true,
            urgent: true,
        })
    }

    /// Takes note of a sign that a peer sends to everybody; `first` tells whether it does so before this process.
    pub(super) fn add_received(&mut self, now: Time, notice: &DrainNotice, first: bool) -> bool {
        self.expire(now);
        if let Some(held) = self.held.iter_mut().find(|held| held.notice == *notice) {
            held.urgent &= !first;
            return false;
        }
        self.push(Held {
            notice: notice.clone(),
            since: now,
            own: false,
            urgent: false,
        })
    }

    /// Returns the signs to send.
    pub(super) fn own(&mut self, now: Time) -> Vec<DrainNotice> {
        self.expire(now);
        let own = self.held.iter().filter(|held| held.own);
        own.map(|held| held.notice.clone()).collect()
    }

    /// Returns the time of the newest urgent sign that has waited for `wait`, and makes all such signs ordinary.
    pub(super) fn take_urgent(&mut self, now: Time, wait: Duration) -> Option<Time> {
        let mut newest = None;
        let due = |held: &&mut Held| held.urgent && held.since + wait <= now;
        for held in self.held.iter_mut().filter(due) {
            held.urgent = false;
            newest = newest.max(Some(held.since));
        }
        newest
    }

    fn push(&mut self, held: Held) -> bool {
        let full = self.held.len() >= DRAIN_NOTICE_LIMIT;
        if full {
            self.held.pop_front();
        }
        self.held.push_back(held);
        full
    }

    fn expire(&mut self, now: Time) {
        while self
            .held
            .front()
            .is_some_and(|held| held.since + DRAIN_NOTICE_SPAN <= now)
        {
            self.held.pop_front();
        }
    }
}
