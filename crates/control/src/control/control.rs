//! State of the thread, and what follows from each event. It does no I/O.

use super::{
    Output,
    calls::Calls,
    lead::Claim, //
};
use crate::{
    front,
    port::{
        Notice,
        Topic, //
    },
    store, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Book, Id, Record,
    book::{
        Change,
        State, //
    },
};
use sassafrascrank_lead::{
    Rules,
    Seat,
    seat::Heard, //
};
use sassafrascrank_schedule::{
    Config, Engine,
    order::report::Report,
    runner::{
        self,
        Listed, //
    },
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Age of the last read of the jobs up to which the entry takes requests.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Time after a failed append for which the entry takes no requests.
const APPEND_REST: Duration = Duration::from_millis(500);

/// Name and life of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Start of the process, microseconds since the Unix epoch.
    pub born: u64,
    /// Processor in thousandths of a core.
    pub capacity: u32,
}

/// A wave as operators ask for it.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub(super) hosts: Vec<Arc<str>>,
    pub(super) duration: Duration,
    pub(super) cap: usize,
}

/// State of the thread.
pub struct Control {
    pub(super) identity: Identity,
    pub(super) book: Book,
    pub(super) seat: Seat,
    pub(super) claim: Option<Claim>,
    pub(super) engine: Option<Engine>,
    pub(super) rules: sassafrascrank_schedule::Rules,
    /// Time for which the state of an ended job is kept.
    pub(super) retention: Duration,
    pub(super) config: Option<Arc<Config>>,
    pub(super) waves: BTreeMap<u64, Wave>,
    /// The service list, while it is read.
    pub(super) runners: BTreeMap<Arc<str>, Listed>,
    /// The whole service list was read.
    pub(super) runners_read: bool,
    pub(super) calls: Calls,
    /// All jobs were read.
    pub(super) jobs_read: bool,
    /// When the last read of the jobs ended that reached the end of the log.
    pub(super) read_at: Time,
    /// When an append of a caller's record last failed.
    pub(super) refused_at: Option<Time>,
    /// The last read of the jobs did not fail; true before the first one.
    pub(super) reachable: bool,
    /// When a record of a leader other than this claim was last read.
    pub(super) predecessor_heard: Time,
    /// An append of the leader is on its way.
    pub(super) writing: bool,
    /// When the last append of the leader was handed over.
    pub(super) wrote: Time,
    /// When the decisions of the scheduler were last passed on.
    pub(super) noted: Time,
    pub(super) ready: bool,
    /// The process ends.
    pub(super) stopping: bool,
    pub(super) out: Output,
}

impl Control {
    /// Makes the state of a process that has read nothing.
    pub fn new(
        identity: Identity,
        lead: Rules,
        rules: sassafrascrank_schedule::Rules,
        retention: Duration,
        now: Time,
    ) -> Self {
        let name = Id(identity.born).0 ^ sassafrascrank_base::hash::text(&identity.name);
        let place = sassafrascrank_base::hash::mix(name);
        let seat = Seat::new(lead, place, identity.capacity, now);
        Self {
            identity,
            book: Book::default(),
            seat,
            claim: None,
            engine: None,
            rules,
            retention,
            config: None,
            waves: BTreeMap::new(),
            runners: BTreeMap::new(),
            runners_read: false,
            calls: Calls::default(),
            jobs_read: false,
            read_at: Time::MIN,
            refused_at: None,
            reachable: true,
            predecessor_heard: Time::MIN,
            writing: false,
            wrote: Time::MIN,
            noted: Time::MIN,
            ready: false,
            stopping: false,
            out: Output::default(),
        }
    }

    /// Takes what has to be sent to the other threads.
    pub fn take_output(&mut self) -> Output {
        core::mem::take(&mut self.out)
    }

    /// Returns the state of a job as this entry knows it.
    pub fn state(&self, id: Id) -> Option<State> {
        self.book.state(id)
    }

    /// Tells whether this entry leads.
    pub fn is_leader(&self) -> bool {
        self.engine.is_some()
    }

    /// Takes an event of the thread that talks to the log.
    pub fn take_event(&mut self, event: store::Event, now: Time) {
        match event {
            store::Event::Jobs {
                records,
                started,
                complete,
                last,
            } => {
                self.take_jobs(records, complete, now);
                if last {
                    self.take_end(started, now);
                }
            }
            store::Event::Operator(notices) => {
                for notice in notices {
                    self.take_notice(notice, now);
                }
            }
            store::Event::Runners { changes, complete } => {
                self.take_runners(changes, complete, now);
            }
            store::Event::ReadFailed { topic } => self.take_read_failure(topic, now),
            store::Event::Accepted { token, stored } => self.take_accepted(token, stored, now),
            store::Event::Written {
                epoch,
                started,
                result,
            } => self.take_written(epoch, started, result, now),
            store::Event::Skipped { topic, reason } => {
                let event = Event::new("record-skipped", now)
                    .with("topic", Value::Word(topic.as_str()))
                    .with("detail", Value::Text(reason.into()));
                self.out.events.push(event);
            }
        }
    }

    /// Takes what came of an order.
    pub fn take_report(&mut self, report: Report, now: Time) {
        if let Some(engine) = &mut self.engine {
            engine.report(report, now);
        }
    }

    /// Decides what time alone brings about. `wall` is the time of day.
    pub fn tick(&mut self, wall: Time, now: Time) {
        self.advance_leadership(wall, now);
        self.run_engine(wall, now);
        self.calls.expire(now);
        self.update_readiness(now);
    }

    fn take_jobs(&mut self, records: Vec<(u64, Record)>, complete: bool, now: Time) {
        for (offset, record) in records {
            self.hear(&record, now);
            let change = self.book.apply(offset, record, now);
            self.take_change(change, now);
        }
        if complete {
            self.jobs_read = true;
        }
    }

    /// Notes that everything was read that the log held at `started`.
    fn take_end(&mut self, started: Time, now: Time) {
        self.read_at = now;
        self.seat.read(true, started, now);
        self.set_reachable(true, now);
        self.answer_reads(started);
    }

    /// Notes a record by a leader.
    fn hear(&mut self, record: &Record, now: Time) {
        let heard = match record {
            Record::Leader(leader) => Heard {
                epoch: leader.epoch,
                capacity: leader.capacity,
                resigned: leader.resigned,
                own_past: leader.holder == self.identity.name && leader.born != self.identity.born,
            },
            Record::Progress(progress) => self.heard_epoch(progress.epoch),
            Record::Wave(wave) => self.heard_epoch(wave.epoch),
            Record::Ordered(ordered) => self.heard_epoch(ordered.epoch),
            Record::Turns(turns) => self.heard_epoch(turns.epoch),
            _ => return,
        };
        let own = self.claim.as_ref().map_or(0, |claim| claim.epoch);
        if own == 0 || heard.epoch < own {
            self.predecessor_heard = now;
        }
        if self.seat.hear(heard, now) {
            self.lose_role("higher-epoch", now);
        }
    }

    /// Returns what a record says that names only the epoch of its writer.
    fn heard_epoch(&self, epoch: u64) -> Heard {
        let leader = self.book.leader().filter(|leader| leader.epoch == epoch);
        Heard {
            epoch,
            capacity: leader.map_or(0, |leader| leader.capacity),
            resigned: leader.is_some_and(|leader| leader.resigned),
            own_past: leader.is_some_and(|leader| {
                leader.holder == self.identity.name && leader.born != self.identity.born
            }),
        }
    }

    fn take_change(&mut self, change: Change, now: Time) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        match change {
            Change::Added(key) => {
                if let Some(entry) = self.book.get(key)
                    && let Some(job) = &entry.job
                    && entry.outcome().is_none()
                {
                    engine.add(Arc::clone(job), now);
                }
            }
            Change::Cancelled(key) => {
                if let Some(entry) = self.book.get(key) {
                    engine.cancel(entry.id, now);
                }
            }
            _ => {}
        }
    }

    fn take_notice(&mut self, notice: Notice, now: Time) {
        match notice {
            Notice::Config(config) => {
                let known = self.config.as_ref().map_or(0, |config| config.version);
                if config.version <= known {
                    return;
                }
                let event = Event::new("config", now)
                    .with("version", Value::Count(config.version))
                    .with("queues", Value::Count(config.queues.len() as u64));
                self.out.events.push(event);
                if self.config.is_none() {
                    // All entries learn of the first configuration at once; they don't all claim.
                    self.seat.wait_from(now);
                }
                if let Some(engine) = &mut self.engine {
                    engine.configure(&config);
                }
                self.out
                    .notices
                    .push(front::Notice::Config(Arc::clone(&config)));
                self.config = Some(config);
            }
            Notice::Wave {
                number,
                hosts,
                duration,
                cap,
            } => {
                let wave = Wave {
                    hosts,
                    duration,
                    cap,
                };
                if let Some(engine) = &mut self.engine {
                    let progress = self.book.waves().get(&number);
                    engine.add_wave(number, wave.hosts.clone(), duration, cap, progress, now);
                }
                self.waves.insert(number, wave);
            }
        }
    }

    fn take_runners(&mut self, changes: Vec<runner::Change>, complete: bool, now: Time) {
        if complete {
            let named = |id: &Arc<str>| {
                let names = |change: &runner::Change| match change {
                    runner::Change::Set(listed) => listed.id == *id,
                    runner::Change::Removed(_) => false,
                };
                changes.iter().any(names)
            };
            let gone: Vec<Arc<str>> = self
                .runners
                .keys()
                .filter(|id| !named(id))
                .cloned()
                .collect();
            for id in gone {
                self.list(runner::Change::Removed(id), now);
            }
            self.runners_read = true;
        }
        for change in changes {
            self.list(change, now);
        }
    }

    fn list(&mut self, change: runner::Change, now: Time) {
        match &change {
            runner::Change::Set(listed) => {
                self.runners.insert(Arc::clone(&listed.id), listed.clone());
            }
            runner::Change::Removed(id) => {
                self.runners.remove(id);
            }
        }
        if let Some(engine) = &mut self.engine {
            engine.update_runner(change, now);
        }
    }

    fn take_read_failure(&mut self, topic: Topic, now: Time) {
        if topic == Topic::Jobs {
            self.seat.read(false, now, now);
            self.set_reachable(false, now);
        }
    }

    fn set_reachable(&mut self, reachable: bool, now: Time) {
        if self.reachable != reachable {
            self.reachable = reachable;
            let name = if reachable {
                "log-regained"
            } else {
                "log-lost"
            };
            let age = now.since(self.read_at);
            self.out
                .events
                .push(Event::new(name, now).with("age", Value::Span(age)));
        }
    }

    /// Tells whether the book is recent enough to answer callers.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.jobs_read && now.since(self.read_at) <= READ_LIMIT
    }

    /// Tells whether submissions and cancels can be stored, as far as is known. A process that has just started takes
    /// them before it has read the jobs, which takes a small one more than a second.
    fn can_store(&self, now: Time) -> bool {
        self.reachable && (self.is_fresh(now) || !self.jobs_read)
    }

    fn update_readiness(&mut self, now: Time) {
        let rest = |at: Time| now.since(at) < APPEND_REST;
        let ready = self.config.is_some()
            && self.can_store(now)
            && !self.refused_at.is_some_and(rest)
            && !self.stopping;
        if ready != self.ready {
            self.ready = ready;
            self.out.notices.push(front::Notice::Ready(ready));
            let name = if ready { "ready" } else { "not-ready" };
            self.out.events.push(Event::new(name, now));
        }
    }
}
