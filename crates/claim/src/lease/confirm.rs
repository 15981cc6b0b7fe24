//! Confirmation of the view by the log or by the peers, and acknowledgement of joins.

use super::{
    Answer,
    JoinAck,
    Lease,
    Request,
    State,
    round::Round, //
};
use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

impl Lease {
    /// Confirms the view by a log read that started at `start`, and tells whether it did.
    ///
    /// `end` is the last offset of the stream. The read counts only if this entry is a member and has folded every
    /// record up to `end`.
    pub fn confirm(&mut self, start: Time, end: u64) -> bool {
        if !self.is_member() || end != self.view().offset {
            return false;
        }
        self.last_read = self.last_read.max(Some(start));
        self.extend_horizon(start);
        true
    }

    /// Starts a confirmation by the peers and returns the requests to send.
    ///
    /// It replaces an earlier one that is not complete. Returns nothing if the last log read is too old, or if this
    /// entry is not a member or has an append in flight. Without other members, the view is confirmed at once.
    pub fn request_confirmations(&mut self, now: Time) -> Vec<Request> {
        self.round = None;
        let has_recent_read = self
            .last_read
            .is_some_and(|read| now <= read + self.limit.outage);
        if !has_recent_read || !self.is_member() || self.pending.is_some() {
            return Vec::new();
        }
        let Some(zone) = self.own_zone() else {
            return Vec::new();
        };
        let revision = zone.revision;
        let peers = zone.members.iter().map(|member| &member.entry);
        let peers: Vec<Entry> = peers.filter(|entry| **entry != self.me).cloned().collect();
        let request = |to: &Entry| Request {
            from: self.me.clone(),
            to: to.clone(),
            revision,
            start: now,
        };
        let requests = peers.iter().map(request).collect();
        self.round = Some(Round::new(revision, now, peers));
        self.complete_round();
        requests
    }

    /// Answers the request of a peer; returns nothing if it is meant for another process.
    pub fn answer(&self, request: &Request) -> Option<Answer> {
        if request.to != self.me {
            return None;
        }
        let same_view = self
            .own_zone()
            .is_some_and(|zone| zone.revision == request.revision);
        Some(Answer {
            from: self.me.clone(),
            revision: request.revision,
            start: request.start,
            agrees: same_view && self.is_member() && self.pending.is_none(),
        })
    }

    /// Records the answer of a peer; once all peers agree, the horizon moves.
    pub fn record_answer(&mut self, answer: &Answer) {
        if let Some(round) = &mut self.round {
            round.record_answer(answer);
            self.complete_round();
        }
    }

    /// Acknowledges the join of `to`, if this entry is active and has read that join.
    pub fn acknowledge_join(&self, to: &Entry) -> Option<JoinAck> {
        let State::Active(fence) = self.state else {
            return None;
        };
        self.own_zone()?.member(to)?;
        Some(JoinAck {
            from: self.me.clone(),
            to: to.clone(),
            fence,
        })
    }

    /// Processes an acknowledgement of this entry's join that arrived at `now`, and tells whether it was used.
    ///
    /// It makes a joining entry active. It lowers the fence of an entry that became active without one.
    pub fn accept_join_ack(&mut self, now: Time, ack: &JoinAck) -> bool {
        if !matches!(self.state, State::Joining(_)) && !self.is_unacknowledged {
            return false;
        }
        let from_member = self
            .own_zone()
            .is_some_and(|zone| zone.member(&ack.from).is_some());
        if ack.to != self.me || !from_member || ack.from == self.me {
            return false;
        }
        let fence = ack.fence.max(now + self.limit.fence_margin());
        let fence = if let State::Active(own) = self.state {
            own.min(fence)
        } else {
            fence
        };
        self.state = State::Active(fence);
        self.is_unacknowledged = false;
        true
    }

    /// Activates a joining entry without an acknowledgement of its join once the time to wait for one is over.
    pub fn tick(&mut self, now: Time) {
        if let State::Joining(since) = self.state
            && now >= since + self.limit.join_ack_wait
        {
            // An earlier owner that has not read the join can confirm its old view through its peers until `outage`
            // after its last log read.
            self.state = State::Active(since + self.limit.outage + self.limit.fence_margin());
            self.is_unacknowledged = true;
        }
    }

    fn complete_round(&mut self) {
        if let Some(round) = self.round.take_if(|round| round.is_complete()) {
            self.extend_horizon(round.start());
        }
    }

    /// Moves the horizon; a frozen entry keeps the last one, because it runs nothing more.
    fn extend_horizon(&mut self, start: Time) {
        if !self.frozen {
            self.horizon = self.horizon.max(start + self.limit.lease);
        }
    }
}
