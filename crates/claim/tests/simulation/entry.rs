//! What an entry does in each step and with each message.

use super::{
    node::LIMIT,
    simulation::{
        Message,
        STEP_MS,
        Simulation, //
    },
};
use rand::RngExt;
use sassafrascrank_base::prelude::Time;
use sassafrascrank_claim::{
    lease::State,
    member::{
        Effect,
        Entry, //
    },
};

impl Simulation {
    /// Runs one step of an entry: joining, leaving, and at random times a log read.
    pub(super) fn step_entry(&mut self, index: usize) {
        let (now, clock) = (self.now, self.nodes[index].clock(self.now));
        let node = &mut self.nodes[index];
        let me = node.entry().clone();
        node.lease.tick(clock);
        if node.lease.state() == State::Outside && node.lease.pending().is_none() {
            node.lease.join("127.0.0.1:80".parse().unwrap()).unwrap();
        }
        if node.leaving_since.is_some_and(|since| since <= now) {
            let _ = node.lease.leave();
        }
        let departed = node.lease.state() == State::Departed;
        if departed && node.departed_at.is_none() {
            node.departed_at = Some(now);
        }
        let left = node.departed_at.is_some_and(|at| at + 5_000 <= now);
        if left
            || node
                .leaving_since
                .is_some_and(|since| since + 15_000 <= now)
        {
            node.up = false;
            node.restart_at = now + 2 * STEP_MS;
            return;
        }
        if self.rng.random_bool(0.4) {
            self.read(index);
        }
        if (now / STEP_MS + index as u64).is_multiple_of(4) {
            self.report(index, &me, clock);
        }
    }

    pub(super) fn read(&mut self, index: usize) {
        if self.is_log_cut(index) {
            return;
        }
        let message = Message::LogRead(self.nodes[index].clock(self.now), self.log.len() as u64);
        let me = self.nodes[index].entry().clone();
        self.send(None, me, message);
    }

    pub(super) fn is_log_cut(&self, index: usize) -> bool {
        self.log_down_until > self.now || self.nodes[index].log_cut_until > self.now
    }

    /// Sends the messages that an entry sends each second.
    pub(super) fn report(&mut self, index: usize, me: &Entry, clock: Time) {
        let log_cut = self.is_log_cut(index);
        let (now, node) = (self.now, &mut self.nodes[index]);
        let mut out: Vec<(Entry, Message)> = Vec::new();
        let peers = node.peers();
        let requests = node.lease.request_confirmations(clock);
        for peer in &peers {
            let (first, last) = *node.heard.entry(peer.clone()).or_insert((now, now));
            let needs_ack = match node.lease.state() {
                State::Active(fence) => fence > clock + LIMIT.fence_margin(),
                state => matches!(state, State::Joining(_)),
            };
            if needs_ack || requests.is_empty() {
                out.push((peer.clone(), Message::SeekJoinAck(me.clone())));
            }
            if last + 5_000 <= now && !log_cut {
                self.tally.retired += u64::from(node.lease.retire(peer.clone()).is_ok());
            }
            let recent = first + 4_000 > now || node.departed_at.is_some();
            if recent && let Some(handover) = node.table.export(&node.lease, peer) {
                out.push((peer.clone(), Message::Handover(handover)));
            }
            if self.rng.random_bool(0.005) {
                out.push((peer.clone(), Message::View(node.lease.view().clone())));
            }
        }
        out.extend(
            requests
                .into_iter()
                .map(|request| (request.to.clone(), Message::ConfirmRequest(request))),
        );
        if let Some(record) = node.lease.pending().cloned()
            && !log_cut
        {
            self.send(None, me.clone(), Message::Append(record));
        }
        out.into_iter()
            .for_each(|(to, message)| self.send(Some(me.clone()), to, message));
    }

    pub(super) fn handle(&mut self, index: usize, from: Option<Entry>, message: Message) {
        let node = &mut self.nodes[index];
        let clock = node.clock(self.now);
        let reply = match message {
            Message::LogRead(start, end) => {
                for offset in node.lease.view().offset..end {
                    let effect = node
                        .lease
                        .apply(clock, offset + 1, &self.log[offset as usize])
                        .unwrap();
                    if let Effect::Departed(entry, _) = effect {
                        node.heard.remove(&entry);
                    }
                }
                node.lease.confirm(start, end);
                None
            }
            Message::ConfirmRequest(request) => {
                node.lease.answer(&request).map(Message::ConfirmAnswer)
            }
            Message::ConfirmAnswer(answer) => {
                let before = node.lease.horizon();
                node.lease.record_answer(&answer);
                self.tally.by_peers += u64::from(node.lease.horizon() > before);
                None
            }
            Message::SeekJoinAck(entry) => {
                node.lease.acknowledge_join(&entry).map(Message::JoinAck)
            }
            Message::JoinAck(ack) => {
                let late = matches!(node.lease.state(), State::Active(_));
                let lowered = node.lease.accept_join_ack(clock, &ack);
                self.tally.late_ack += u64::from(late && lowered);
                None
            }
            Message::View(view) => {
                self.tally.imports += u64::from(node.lease.import(clock, view));
                None
            }
            Message::Handover(handover) => {
                let accepted = node.table.accept(clock, &mut node.lease, handover);
                self.tally.handovers += u64::from(accepted.is_ok());
                None
            }
            Message::Call(call, hops) => return self.serve(index, call, hops),
            Message::Ended(slot, call, roll) => return self.end_attempt(index, slot, call, roll),
            Message::Append(_) => None,
        };
        if let (Some(message), Some(from)) = (reply, from) {
            let me = self.nodes[index].entry().clone();
            self.send(Some(me), from, message);
        }
    }
}
