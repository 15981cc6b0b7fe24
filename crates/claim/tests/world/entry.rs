//! What an entry process does with time and with messages.

use super::{
    node::LIMIT,
    world::{
        Mail,
        STEP,
        World, //
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

impl World {
    pub(super) fn act(&mut self, index: usize) {
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
            node.restart_at = now + 2 * STEP;
            return;
        }
        if self.rng.random_bool(0.4) {
            self.read(index);
        }
        if (now / STEP + index as u64).is_multiple_of(4) {
            self.report(index, &me, clock);
        }
    }

    pub(super) fn read(&mut self, index: usize) {
        if self.is_log_cut(index) {
            return;
        }
        let mail = Mail::Log(self.nodes[index].clock(self.now), self.log.len() as u64);
        let me = self.nodes[index].entry().clone();
        self.send(None, me, mail);
    }

    pub(super) fn is_log_cut(&self, index: usize) -> bool {
        self.log_down_until > self.now || self.nodes[index].log_cut_until > self.now
    }

    /// Does what an entry does each second.
    pub(super) fn report(&mut self, index: usize, me: &Entry, clock: Time) {
        let log_cut = self.is_log_cut(index);
        let (now, node) = (self.now, &mut self.nodes[index]);
        let mut out: Vec<(Entry, Mail)> = Vec::new();
        let peers = node.peers();
        let asks = node.lease.request_confirmations(clock);
        for peer in &peers {
            let (first, last) = *node.heard.entry(peer.clone()).or_insert((now, now));
            let seeking = match node.lease.state() {
                State::Active(fence) => fence > clock + LIMIT.margin(),
                state => matches!(state, State::Joining(_)),
            };
            if seeking || asks.is_empty() {
                out.push((peer.clone(), Mail::Look(me.clone())));
            }
            if last + 5_000 <= now && !log_cut {
                self.tally.retired += u64::from(node.lease.retire(peer.clone()).is_ok());
            }
            let recent = first + 4_000 > now || node.departed_at.is_some();
            if recent && let Some(handover) = node.table.export(&node.lease, peer) {
                out.push((peer.clone(), Mail::Handover(handover)));
            }
            if self.rng.random_bool(0.005) {
                out.push((peer.clone(), Mail::View(node.lease.view().clone())));
            }
        }
        out.extend(
            asks.into_iter()
                .map(|request| (request.to.clone(), Mail::Ask(request))),
        );
        if let Some(record) = node.lease.pending().cloned()
            && !log_cut
        {
            self.send(None, me.clone(), Mail::Append(record));
        }
        out.into_iter()
            .for_each(|(to, mail)| self.send(Some(me.clone()), to, mail));
    }

    pub(super) fn handle(&mut self, index: usize, from: Option<Entry>, mail: Mail) {
        let node = &mut self.nodes[index];
        let clock = node.clock(self.now);
        let reply = match mail {
            Mail::Log(start, end) => {
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
            Mail::Ask(request) => node.lease.answer(&request).map(Mail::Answer),
            Mail::Answer(answer) => {
                let before = node.lease.horizon();
                node.lease.record_answer(&answer);
                self.tally.by_peers += u64::from(node.lease.horizon() > before);
                None
            }
            Mail::Look(entry) => node.lease.acknowledge_join(&entry).map(Mail::Witness),
            Mail::Witness(witness) => {
                let late = matches!(node.lease.state(), State::Active(_));
                let lowered = node.lease.accept_join_ack(clock, &witness);
                self.tally.late_witness += u64::from(late && lowered);
                None
            }
            Mail::View(view) => {
                self.tally.imports += u64::from(node.lease.import(clock, view));
                None
            }
            Mail::Handover(handover) => {
                let accepted = node.table.accept(clock, &mut node.lease, handover);
                self.tally.handovers += u64::from(accepted.is_ok());
                None
            }
            Mail::Call(call, hops) => return self.serve(index, call, hops),
            Mail::Done(slot, call, dice) => return self.done(index, slot, call, dice),
            Mail::Append(_) => None,
        };
        if let (Some(mail), Some(from)) = (reply, from) {
            let me = self.nodes[index].entry().clone();
            self.send(Some(me), from, mail);
        }
    }
}
