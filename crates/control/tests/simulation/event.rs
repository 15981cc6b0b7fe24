//! Events of the simulation and their effects.

use super::{
    Simulation,
    TICK,
    contact::Contact,
    order::Delivery, //
};
use core::cmp::Ordering;
use rand::RngExt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    front::{
        Access,
        Answer,
        Query,
        Request, //
    },
    store,
};
use sassafrascrank_schedule::order::{
    Envelope,
    Order,
    report::Report, //
};

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// The timer of an entry expires.
    Tick(usize, u64),
    /// An entry reads the log.
    Read(usize, u64),
    /// An event of the simulated store thread arrives at an entry.
    Store(usize, u64, store::Event),
    /// The front thread of an entry passes an answer to its caller.
    Answer {
        /// The entry.
        entry: usize,
        /// Incarnation of the entry.
        incarnation: u64,
        /// The caller.
        caller: u64,
        /// The answer.
        answer: Answer,
    },
    /// The report on an order arrives at an entry.
    Report(usize, u64, Envelope<Report>),
    /// An order arrives at a runner.
    Order {
        /// Entry that sent the order.
        entry: usize,
        /// Incarnation of the entry.
        incarnation: u64,
        /// When the order was sent.
        sent: Duration,
        /// The order.
        order: Envelope<Order>,
        /// How it is delivered.
        delivery: Delivery,
    },
    /// An append of an entry arrives at the log.
    Append(usize, u64),
    /// A caller's record arrives at the log.
    Accept(usize, u64, u64),
    /// A caller submits a job, possibly again.
    Submit(usize),
    /// A caller cancels a job.
    Cancel(usize),
    /// A caller asks an entry for the number of pending jobs.
    Count(usize),
    /// The host of an entry is suspended.
    Pause { entry: usize, until: Duration },
    /// An entry is asked to stop.
    Stop(usize, u64),
    /// The process of an entry is killed, and starts again later.
    Restart { entry: usize },
    /// An entry can't reach the log.
    CutLog { entry: usize, until: Duration },
    /// The store thread of an entry handles reads that begin before `until` late; the next read begins afterwards.
    DelayReads {
        entry: usize,
        until: Duration,
        delay: Duration,
    },
    /// The log drops its history.
    Expire,
    /// An entry can't reach a runner.
    CutRunner {
        entry: usize,
        runner: usize,
        until: Duration,
    },
    /// No entry can reach a runner.
    CutRunnerFromAll { runner: usize, until: Duration },
    /// The leader can't reach the log, and no other entry can reach a runner that the leader still reaches.
    CutLeader { runner: usize, until: Duration },
    /// The reads of the leader fail, but not its appends, and no other entry can reach a runner.
    CutReads { runner: usize, until: Duration },
    /// A runner is killed and starts again, under another name if so.
    Crash { runner: usize, renamed: bool },
    /// An operator lowers the cap of the account.
    LowerCap,
    /// All entries read the service list.
    List,
    /// A killed process starts again.
    Boot(usize),
}

/// An event at its time; the heap returns the earliest one first.
#[derive(Debug)]
pub(super) struct Timed {
    pub(super) at: Duration,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl Simulation {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(entry, incarnation) => self.tick(entry, incarnation),
            Event::Read(entry, incarnation) => self.read(entry, incarnation),
            Event::Store(entry, incarnation, event) => {
                let now = self.time();
                let deferred = self.deferred(entry, incarnation);
                match deferred {
                    Some(Some(at)) => self.postpone(at, Event::Store(entry, incarnation, event)),
                    Some(None) => {}
                    None => self.with(entry, |control| control.handle_event(event, now)),
                }
            }
            Event::Answer {
                entry,
                incarnation,
                caller,
                answer,
            } => self.pass_on(entry, incarnation, caller, answer),
            Event::Report(entry, incarnation, report) => {
                let now = self.time();
                match self.deferred(entry, incarnation) {
                    Some(Some(at)) => self.postpone(at, Event::Report(entry, incarnation, report)),
                    Some(None) => {}
                    None => self.with(entry, |control| control.handle_report(report, now)),
                }
            }
            Event::Order {
                entry,
                incarnation,
                sent,
                order,
                delivery,
            } => self.carry_out(entry, incarnation, sent, order, delivery),
            Event::Append(entry, incarnation) => self.append(entry, incarnation),
            Event::Accept(entry, incarnation, token) => self.accept(entry, incarnation, token),
            Event::Submit(index) => self.submit(index),
            Event::Cancel(index) => self.cancel(index),
            Event::Count(entry) => self.count(entry),
            Event::Pause { entry, until } => {
                self.entries[entry].paused_until = self.entries[entry].paused_until.max(until);
            }
            Event::Stop(entry, incarnation) => self.stop(entry, incarnation),
            Event::Restart { entry } => {
                self.entries[entry].control = None;
                self.push_after(50, 1_500, Event::Boot(entry));
            }
            Event::Boot(entry) => {
                if self.entries[entry].control.is_none() {
                    self.boot(entry);
                }
            }
            Event::CutLog { entry, until } => {
                self.entries[entry].log_cut_until = self.entries[entry].log_cut_until.max(until);
            }
            Event::DelayReads {
                entry,
                until,
                delay,
            } => self.entries[entry].read_delay = (until, delay),
            Event::Expire => self.log.expire(super::entry::TOPIC),
            Event::CutRunner {
                entry,
                runner,
                until,
            } => self.cut(entry, runner, until),
            Event::CutRunnerFromAll { runner, until } => {
                for entry in 0..self.entries.len() {
                    self.cut(entry, runner, until);
                }
            }
            Event::CutLeader { runner, until } => self.cut_leader(runner, until),
            Event::CutReads { runner, until } => self.cut_reads(runner, until),
            Event::Crash { runner, renamed } => self.crash(runner, renamed),
            Event::LowerCap => self.lower_cap(),
            Event::List => self.list_to_all(),
        }
    }

    /// Passes an answer to its caller, as the front thread does.
    fn pass_on(&mut self, entry: usize, incarnation: u64, caller: u64, answer: Answer) {
        let event = |answer| Event::Answer {
            entry,
            incarnation,
            caller,
            answer,
        };
        match self.deferred(entry, incarnation) {
            Some(Some(at)) => self.postpone(at, event(answer)),
            Some(None) => {}
            None => self.replied(caller, answer),
        }
    }

    fn cut(&mut self, entry: usize, runner: usize, until: Duration) {
        let cut = &mut self.runners[runner].cut_until[entry];
        *cut = (*cut).max(until);
    }

    fn cut_leader(&mut self, runner: usize, until: Duration) {
        if let Some(leader) = self.cut_others(runner, until) {
            let cut = &mut self.entries[leader].log_cut_until;
            *cut = (*cut).max(until);
        }
    }

    fn cut_reads(&mut self, runner: usize, until: Duration) {
        if let Some(leader) = self.cut_others(runner, until) {
            let cut = &mut self.entries[leader].reads_cut_until;
            *cut = (*cut).max(until);
        }
    }

    /// Cuts all entries but the leader from a runner. Returns the leader.
    fn cut_others(&mut self, runner: usize, until: Duration) -> Option<usize> {
        let leader = (0..self.entries.len()).find(|&entry| self.leads(entry))?;
        for entry in 0..self.entries.len() {
            if entry != leader {
                self.cut(entry, runner, until);
            }
        }
        Some(leader)
    }

    fn crash(&mut self, runner: usize, renamed: bool) {
        let now = self.now;
        let fences = self.scenario.fences;
        let runner = &mut self.runners[runner];
        runner.worker.terminate(now);
        runner.history.append(&mut runner.worker.history);
        runner.incarnation += 1;
        let id = match renamed {
            true => format!("{}-{}", runner.host, runner.incarnation),
            false => runner.worker.id.clone(),
        };
        let mut worker = sassafrascrank_standin::cluster::Worker::new(
            &id,
            runner.incarnation,
            super::WORKER_CAPACITY,
            1_000,
            now,
        );
        worker.set_fenced(fences);
        runner.worker = worker;
        runner.contact = Contact::new(renamed, runner.contact.answered(), now);
        match renamed {
            true => self.list_to_all(),
            // Until then, orders for the earlier incarnation reach the later one.
            false => self.push_after(10, 1_500, Event::List),
        }
    }

    /// Returns `None` if the entry handles events now, `Some(Some(time))` if it is paused until `time`, and
    /// `Some(None)` if the incarnation has ended.
    pub(super) fn deferred(&self, entry: usize, incarnation: u64) -> Option<Option<Duration>> {
        let entry = &self.entries[entry];
        if entry.incarnation != incarnation || entry.control.is_none() {
            return Some(None);
        }
        (entry.paused_until > self.now).then_some(Some(entry.paused_until))
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        match self.deferred(index, incarnation) {
            Some(Some(at)) => self.postpone(at, Event::Tick(index, incarnation)),
            Some(None) => {}
            None => {
                let now = self.time();
                let led = self.leads(index);
                self.with(index, |control| control.tick(now, now));
                if !led && self.leads(index) {
                    self.limit_lead(index, incarnation);
                }
                self.push(self.now + TICK, Event::Tick(index, incarnation));
            }
        }
    }

    fn submit(&mut self, index: usize) {
        if self.submissions[index].accepted.is_some() {
            return;
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let reachable =
            self.entries[entry].control.is_some() && self.entries[entry].paused_until <= self.now;
        if reachable {
            let job = self.submissions[index].job.clone();
            let caller = index as u64;
            let request = Request {
                access: self.access(index),
                caller,
                query: Query::Submit(job),
            };
            let now = self.time();
            self.submissions[index].outcome_unknown = true;
            self.with(entry, |control| control.handle_call(request, now));
        }
        // Callers try again until they are told that the job is accepted.
        self.push_after(900, 1_600, Event::Submit(index));
    }

    fn cancel(&mut self, index: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        if self.submissions[index].accepted.is_none() || self.entries[entry].control.is_none() {
            return;
        }
        let request = Request {
            access: self.access(index),
            caller: super::CANCEL_CALLER + index as u64,
            query: Query::Cancel(self.submissions[index].job.id),
        };
        let now = self.time();
        self.submissions[index].cancelled = true;
        self.with(entry, |control| control.handle_call(request, now));
    }

    fn count(&mut self, entry: usize) {
        self.push(self.now + super::COUNT_INTERVAL, Event::Count(entry));
        if self.entries[entry].paused_until > self.now {
            return;
        }
        let request = Request {
            access: Access::default(),
            caller: super::COUNT_CALLER,
            query: Query::Pending(super::QUEUE.into()),
        };
        let now = self.time();
        self.with(entry, |control| control.handle_call(request, now));
    }
}
