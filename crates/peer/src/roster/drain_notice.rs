//! Drain notices that this process still sends.

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
    pending: VecDeque<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    notice: DrainNotice,
    since: Time,
    /// Whether it originates at this process; only such notices are sent.
    own: bool,
    /// Whether reports become due for it, since no peer is known to send it to all others.
    urgent: bool,
}

impl DrainNotices {
    /// Adds a notice that originates at this process. Returns whether the oldest one was dropped to make room.
    pub(super) fn add_own(&mut self, now: Time, notice: DrainNotice) -> bool {
        self.expire(now);
        if let Some(item) = self.pending.iter_mut().find(|item| item.notice == notice) {
            item.own = true;
            return false;
        }
        self.push(Pending {
            notice,
            since: now,
            own: true,
            urgent: true,
        })
    }

    /// Adds a notice that a peer sends to all entries; `peer_first` tells whether the peer does so before this process.
    ///
    /// Returns whether the oldest notice was dropped to make room.
    pub(super) fn add_received(
        &mut self,
        now: Time,
        notice: &DrainNotice,
        peer_first: bool,
    ) -> bool {
        self.expire(now);
        if let Some(item) = self.pending.iter_mut().find(|item| item.notice == *notice) {
            item.urgent &= !peer_first;
            return false;
        }
        self.push(Pending {
            notice: notice.clone(),
            since: now,
            own: false,
            urgent: false,
        })
    }

    /// Returns the notices to send, which are those that originate at this process.
    pub(super) fn own(&mut self, now: Time) -> Vec<DrainNotice> {
        self.expire(now);
        let own = self.pending.iter().filter(|item| item.own);
        own.map(|item| item.notice.clone()).collect()
    }

    /// Returns the time of the newest urgent notice that has waited for `wait`, and makes all such notices ordinary.
    pub(super) fn take_urgent(&mut self, now: Time, wait: Duration) -> Option<Time> {
        let mut newest = None;
        let due = |item: &&mut Pending| item.urgent && item.since + wait <= now;
        for item in self.pending.iter_mut().filter(due) {
            item.urgent = false;
            newest = newest.max(Some(item.since));
        }
        newest
    }

    fn push(&mut self, item: Pending) -> bool {
        let full = self.pending.len() >= DRAIN_NOTICE_LIMIT;
        if full {
            self.pending.pop_front();
        }
        self.pending.push_back(item);
        full
    }

    fn expire(&mut self, now: Time) {
        while self
            .pending
            .front()
            .is_some_and(|item| item.since + DRAIN_NOTICE_SPAN <= now)
        {
            self.pending.pop_front();
        }
    }
}
