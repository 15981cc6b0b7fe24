//! Confirmation of the view, by the log or by the peers, and the witness of a join.

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
    /// Confirms the view by a log read that started at `start` and ended at the end of the stream.
    ///
    /// `end` is the last offset of the stream; the read counts only if every record up to it was folded.
    pub fn confirm(&mut self, start: Time, end: u64) -> bool {
        if !self.is_member() || end != self.view().offset {
            return false;
        }
        self.last_read = self.last_read.max(Some(start));
        self.extend(start);
        true
    }

    /// Starts a confirmation by the peers and returns the requests to send.
    ///
    /// Returns nothing if the last log read is too old, or if this entry itself has an append in flight.
    pub fn request_confirmations(&mut self, now: Time) -> Vec<Request> {
        self.round = None;
        let fresh = self
            .last_read
            .is_some_and(|read| now <= read + self.limit.outage);
        if !fresh || !self.is_member() || self.pending.is_some() {
            return Vec::new();
        }
        let Some(zone) = self.own_zone() else {
            return Vec::new();
        };
        let revision = zone.revision;
        let others = zone.members.iter().map(|member| &member.entry);
        let others: Vec<Entry> = others.filter(|entry| **entry != self.me).cloned().collect();
        let request = |to: &Entry| Request {
            from: self.me.clone(),
            to: to.clone(),
            revision,
            start: now,
        };
        let requests = others.iter().map(request).collect();
        self.round = Some(Round::new(revision, now, others));
        self.close_round();
        requests
    }

    /// Answers a peer, or stays silent if the request is meant for another process.
    pub fn answer(&self, request: &Request) -> Option<Answer> {
        if request.to != self.me {
            return None;
        }
        let same = self
            .own_zone()
            .is_some_and(|zone| zone.revision == request.revision);
        Some(Answer {
            from: self.me.clone(),
            revision: request.revision,
            start: request.start,
            agrees: same && self.is_member() && self.pending.is_none(),
        })
    }

    /// Counts a peer's answer; the last one that was missing moves the horizon.
    pub fn record_answer(&mut self, answer: &Answer) {
        if let Some(round) = &mut self.round {
            round.record_answer(answer);
            self.close_round();
        }
    }

    /// Testifies to a joining entry, if this entry is active and has read the join.
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

    /// Takes the word of a witness that arrived at `now`, and tells whether it made this entry active.
    pub fn accept_join_ack(&mut self, now: Time, witness: &JoinAck) -> bool {
        if !matches!(self.state, State::Joining(_)) && !self.alone {
            return false;
        }
        let known = self
            .own_zone()
            .is_some_and(|zone| zone.member(&witness.from).is_some());
        if witness.to != self.me || !known || witness.from == self.me {
            return false;
        }
        let fence = witness.fence.max(now + self.limit.margin());
        let fence = if let State::Active(own) = self.state {
            own.min(fence)
        } else {
            fence
        };
        self.state = State::Active(fence);
        self.alone = false;
        true
    }

    /// Goes without a witness once none was found in time.
    pub fn tick(&mut self, now: Time) {
        if let State::Joining(since) = self.state
            && now >= since + self.limit.witness
        {
            // Every earlier owner that has not read the join may confirm through its peers for this long.
            self.state = State::Active(since + self.limit.outage + self.limit.margin());
            self.alone = true;
        }
    }

    fn close_round(&mut self) {
        if let Some(round) = self.round.take_if(|round| round.is_unanimous()) {
            self.extend(round.start());
        }
    }

    /// Moves the horizon; a frozen entry keeps the last one, because it runs nothing more.
    fn extend(&mut self, start: Time) {
        if !self.frozen {
            self.horizon = self.horizon.max(start + self.limit.lease);
        }
    }
}
