//! Callers that repeat a key at any entry, and how entries serve them.

use super::{
    node::{
        Reply,
        zone, //
    },
    world::{
        Mail,
        World, //
    },
};
use rand::RngExt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::*,
    lease::Route,
    member::Entry,
    table::*, //
};

/// Tries after which a caller keeps the last answer it got.
const TRIES: u32 = 6;

pub(super) struct Call {
    pub(super) key: Key,
    pub(super) tries: u32,
    pub(super) next: u64,
    /// Attempts that started and are not known not to have run.
    pub(super) starts: u32,
    pub(super) last: Option<Outcome>,
    pub(super) done: bool,
}

impl World {
    pub(super) fn call(&mut self) {
        let created = self
            .now
            .checked_add_signed(self.rng.random_range(-1_500..=1_500))
            .unwrap();
        let bits = u128::from(created) << 80 | u128::from(self.rng.random::<u64>());
        self.calls.push(Call {
            key: Key::new(zone(), Id::from_bits(bits)),
            tries: 0,
            next: self.now,
            starts: 0,
            last: None,
            done: false,
        });
    }

    /// Lets each caller that waited long enough try any entry that is up.
    pub(super) fn retry(&mut self) {
        for call in 0..self.calls.len() {
            if self.calls[call].done || self.calls[call].next > self.now {
                continue;
            }
            let up: Vec<Entry> = self
                .nodes
                .iter()
                .filter(|node| node.up)
                .map(|node| node.entry().clone())
                .collect();
            self.calls[call].next = self.now + 2_000;
            self.calls[call].tries += 1;
            if !up.is_empty() {
                let to = up[self.rng.random_range(0..up.len())].clone();
                self.send(None, to, Mail::Call(call, 0));
            }
        }
    }

    pub(super) fn serve(&mut self, index: usize, call: usize, hops: u32) {
        let key = self.calls[call].key.clone();
        let (node, fenced) = (&mut self.nodes[index], self.fenced);
        let clock = node.clock(self.now);
        let me = node.entry().clone();
        if let Route::Forward(owner) = node.lease.route(&key)
            && !node.table.contains(key.id())
            && hops == 0
        {
            let owner = owner.clone();
            let up = self
                .nodes
                .iter()
                .any(|node| node.up && *node.entry() == owner);
            if up && !self.is_cut(&me, &owner) {
                return self.send(Some(me), owner, Mail::Call(call, 1));
            }
            return self.refuse(call, Refusal::unknown(Reason::OwnerUnreachable));
        }
        let permit = || match node.lease.permit(clock, &key) {
            Err(refusal) if refusal.reason == Reason::KeyExpired && !fenced => Ok(()),
            permit => permit,
        };
        let print = Fingerprint(1);
        match node
            .table
            .begin(clock, key.id(), print, ticket::Key::default(), permit)
        {
            Admission::Run(slot) => {
                self.tally.runs += 1;
                self.calls[call].starts += 1;
                if self.calls[call].starts > 1 {
                    self.tally
                        .broken
                        .push(format!("at-most-once: seed {} {:?}", self.seed, self.fault));
                }
                let dice = self.rng.random_range(0..100);
                self.send(None, me, Mail::Done(slot, call, dice));
            }
            Admission::Wait(_) => self.tally.waits += 1,
            Admission::Replay(_) => {
                self.tally.replays += 1;
                self.tell(call, Outcome::Answered);
            }
            Admission::Refuse(refusal) => self.refuse(call, refusal),
        }
    }

    /// Ends an attempt: 3% are lost and 3% did not run.
    pub(super) fn done(&mut self, index: usize, slot: Slot, call: usize, dice: u32) {
        let node = &mut self.nodes[index];
        let clock = node.clock(self.now);
        match dice {
            0..3 => {
                assert!(node.table.lost(clock, slot));
                self.refuse(call, Refusal::unknown(Reason::ConnectionLost));
            }
            3..6 => {
                assert!(node.table.not_run(slot));
                self.calls[call].starts -= 1;
                self.refuse(call, Refusal::not_run(Reason::ConnectFailed));
            }
            _ => {
                assert!(node.table.finish(clock, slot, Reply));
                self.tell(call, Outcome::Answered);
            }
        }
    }

    pub(super) fn refuse(&mut self, call: usize, refusal: Refusal) {
        if refusal.outcome == Outcome::NotRun && self.calls[call].starts > 0 {
            self.tally.broken.push(format!(
                "true-not-run: seed {} {:?} {}",
                self.seed, self.fault, refusal.reason
            ));
        }
        self.tell(call, refusal.outcome);
    }

    /// Brings an answer to the caller, unless it is lost; callers repeat everything but answers.
    pub(super) fn tell(&mut self, call: usize, outcome: Outcome) {
        if self.rng.random_bool(0.03) {
            return;
        }
        let call = &mut self.calls[call];
        if !call.done {
            call.last = Some(outcome);
            call.done = outcome == Outcome::Answered || call.tries >= TRIES;
        }
    }
}
