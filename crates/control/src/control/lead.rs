//! Claiming, leading, and giving up.

use super::{
    Control,
    output, //
};
use crate::store;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Record,
    record::Leader, //
};
use sassafrascrank_lead::seat;
use sassafrascrank_schedule::{
    Engine,
    Order,
    engine::Takeover,
    runner, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::sync::Arc;

/// Shortest time between two reads of the jobs by the leader. A job waits for half of it in the mean.
const LEADER_PACE: Duration = Duration::from_millis(25);
/// Shortest time between two reads by others; questions for jobs under way cause a read at once.
pub(crate) const FOLLOWER_PACE: Duration = Duration::from_millis(300);
/// Shortest time between two appends of the leader, in which decisions gather.
const WRITE_PACE: Duration = Duration::from_millis(15);
/// Time in which decisions gather that share a line.
const NOTE_PACE: Duration = Duration::from_millis(100);
/// Ended jobs that are forgotten with one append.
const FORGET_LIMIT: usize = 50;

/// A claim of this entry.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) epoch: u64,
    /// The log holds it.
    pub(super) stored: bool,
    /// How the epoch before was held.
    pub(super) predecessor: Predecessor,
    /// Until then, runs of leaders before the predecessor may go on.
    runs_until: Time,
}

/// How the epoch before a claim was held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Predecessor {
    /// Nobody held it.
    None,
    /// The holder has stopped ordering: it resigned, or it was an earlier life of this process.
    Gone,
    /// The holder may still order for the length of a tenure.
    Silent,
}

impl Control {
    /// Claims, or begins to lead once everything needed has been read.
    pub(super) fn advance_leadership(&mut self, wall: Time, now: Time) {
        if self.jobs_read && self.config.is_some() {
            match self.seat.claim(now) {
                seat::Claim::Wait => {}
                seat::Claim::Look => self.out.requests.push(store::Request::Refresh),
                seat::Claim::Append(epoch) => self.claim(epoch, now),
            }
        }
        let ready = |claim: &Claim| {
            let leader = self.book.leader();
            claim.stored
                && leader.is_some_and(|leader| {
                    leader.epoch == claim.epoch && leader.holder == self.identity.name
                })
        };
        if self.engine.is_none() && self.runners_read && self.claim.as_ref().is_some_and(ready) {
            self.begin(wall, now);
        }
    }

    fn claim(&mut self, epoch: u64, now: Time) {
        let predecessor = match self.book.leader() {
            None => Predecessor::None,
            Some(leader) if leader.resigned || leader.holder == self.identity.name => {
                Predecessor::Gone
            }
            Some(_) => Predecessor::Silent,
        };
        let runs_until = self
            .book
            .leader()
            .map_or(Time::MIN, |leader| leader.runs_until);
        self.claim = Some(Claim {
            epoch,
            stored: false,
            predecessor,
            runs_until,
        });
        let record = self.leader_record(epoch, false);
        self.out
            .requests
            .push(store::Request::Lead { epoch, record });
        self.out.requests.push(store::Request::Pace {
            jobs: LEADER_PACE,
            runners: true,
        });
        let silence = now.since(self.seat.heard_at());
        let event = Event::new("claim", now)
            .with("epoch", Value::Count(epoch))
            .with("silence", Value::Span(silence));
        self.out.events.push(event);
    }

    fn leader_record(&self, epoch: u64, resigned: bool) -> Record {
        Record::Leader(Leader {
            epoch,
            holder: Arc::clone(&self.identity.name),
            born: self.identity.born,
            resigned,
            runs_until: self.runs_until(),
            capacity: self.identity.capacity,
        })
    }

    /// Returns until when runs of earlier leaders may go on at runners that don't answer.
    fn runs_until(&self) -> Time {
        let Some(claim) = &self.claim else {
            return Time::MIN;
        };
        let ordered = match claim.predecessor {
            Predecessor::None => return claim.runs_until,
            Predecessor::Gone => self.predecessor_heard,
            Predecessor::Silent => self.predecessor_heard + self.rules.tenure,
        };
        claim.runs_until.max(self.rules.lease_expiry(ordered))
    }

    /// Builds the scheduler from the log.
    fn begin(&mut self, wall: Time, now: Time) {
        let (Some(claim), Some(config)) = (&self.claim, &self.config) else {
            return;
        };
        let takeover = Takeover {
            epoch: claim.epoch,
            runs_until: self.runs_until(),
            hosts: self.book.ordered().clone(),
        };
        let mut engine = Engine::new(self.rules, takeover, config, now);
        engine.restore_demand(self.book.turns(), now);
        for listed in self.runners.values() {
            engine.update_runner(runner::Change::Set(listed.clone()), now);
        }
        // The runners are not news, and the event below has their number.
        engine.take_notes();
        for (_, entry) in self.book.jobs() {
            engine.restore_job(entry, wall, now);
        }
        for (&number, wave) in &self.waves {
            let progress = self.book.waves().get(&number);
            let hosts = wave.hosts.clone();
            engine.add_wave(number, hosts, wave.duration, wave.cap, progress, now);
        }
        let (jobs, runs, ready) = engine.counts();
        let event = Event::new("leading", now)
            .with("epoch", Value::Count(claim.epoch))
            .with("jobs", Value::Count(jobs as u64))
            .with("runs", Value::Count(runs as u64))
            .with("ready", Value::Count(ready as u64))
            .with("runners", Value::Count(self.runners.len() as u64));
        self.out.events.push(event);
        self.engine = Some(engine);
        self.writing = false;
    }

    /// Lets the scheduler decide, and hands over what it wants stored and done.
    pub(super) fn run_engine(&mut self, wall: Time, now: Time) {
        let may_order = self.seat.may_order(now) && !self.stopping;
        let Some(engine) = &mut self.engine else {
            return;
        };
        engine.tick(may_order, wall, now);
        if engine.is_superseded() {
            self.lose_role("runner-fenced", now);
            return;
        }
        for order in engine.take_orders() {
            match order {
                Order::Announce { wave, done } => self
                    .out
                    .requests
                    .push(store::Request::Announce { wave, done }),
                order => self.out.orders.push(order),
            }
        }
        if now >= self.noted + NOTE_PACE {
            self.flush_notes(now);
        }
        self.write(now);
    }

    /// Passes on what the scheduler has decided since the last time.
    fn flush_notes(&mut self, now: Time) {
        self.noted = now;
        if let Some(engine) = &mut self.engine {
            self.out.events.extend(output::events(engine.take_notes()));
        }
    }

    /// Appends what the log lacks, or a record that shows that the leader lives.
    fn write(&mut self, now: Time) {
        if self.writing || now < self.wrote + WRITE_PACE {
            return;
        }
        let Some(epoch) = self.seat.leading() else {
            return;
        };
        let records = self
            .engine
            .as_mut()
            .and_then(|engine| engine.take_records());
        let records = match records {
            Some(records) => records,
            None if self.seat.is_pulse_due(now) => {
                let old = self.book.expired(now - self.retention, FORGET_LIMIT);
                let mut records = vec![self.leader_record(epoch, false)];
                records.extend(old.into_iter().map(Record::Forget));
                records
            }
            None => return,
        };
        self.writing = true;
        self.wrote = now;
        self.out.requests.push(store::Request::Write(records));
    }

    /// Takes the fate of an append of the leader.
    pub(super) fn take_written(
        &mut self,
        epoch: u64,
        started: Time,
        result: store::Written,
        now: Time,
    ) {
        if self.claim.as_ref().is_none_or(|claim| claim.epoch != epoch) {
            return;
        }
        if result == store::Written::Fenced {
            self.lose_role("log-fenced", now);
            return;
        }
        let event = Event::new("append", now).with("took", Value::Span(now.since(started)));
        self.out.events.push(event.quiet());
        if let Some(claim) = &mut self.claim
            && !claim.stored
        {
            claim.stored = true;
            self.seat.claimed(epoch, started);
            return;
        }
        self.writing = false;
        self.seat.confirm(started);
        if let Some(engine) = &mut self.engine {
            engine.records_stored(now);
        }
    }

    /// Gives up the role or the claim.
    pub(super) fn lose_role(&mut self, reason: &'static str, now: Time) {
        let event = Event::new("role-lost", now).with("reason", Value::Word(reason));
        self.out.events.push(event);
        self.flush_notes(now);
        self.seat.step_down(now);
        self.follow();
    }

    fn follow(&mut self) {
        self.claim = None;
        self.engine = None;
        self.writing = false;
        self.runners.clear();
        self.runners_read = false;
        self.out.orders.push(Order::CloseConnections(None));
        self.out.requests.push(store::Request::Abandon);
        self.out.requests.push(store::Request::Pace {
            jobs: FOLLOWER_PACE,
            runners: false,
        });
    }

    /// Prepares the end of the process: resigns, and takes no more requests.
    pub fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.out.events.push(Event::new("stopping", now));
        self.flush_notes(now);
        let Some(epoch) = self.seat.retire() else {
            return;
        };
        let mut records = match &mut self.engine {
            Some(engine) => engine.take_records().unwrap_or_default(),
            None => Vec::new(),
        };
        records.push(self.leader_record(epoch, true));
        self.engine = None;
        self.claim = None;
        self.out.requests.push(store::Request::Write(records));
        self.out.events.push(Event::new("resigned", now));
    }
}
