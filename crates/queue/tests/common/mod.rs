//! Discrete-event simulation of slots and arrivals in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod baseline;
pub(crate) mod load;
pub(crate) mod table;

use load::Job;
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::{
    Class,
    Grant,
    Queue,
    Request, //
};
use slotmap::SlotMap;
use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

/// Queueing discipline under simulation; jobs are identified by their index.
pub(crate) trait Discipline {
    fn push(&mut self, now: Time, id: usize, job: &Job) -> bool;
    fn pop(&mut self, now: Time) -> Option<usize>;
    fn finish(&mut self, now: Time, id: usize, actual: Duration);
    fn expire(&mut self, now: Time, expired: &mut Vec<usize>);
    fn next_expiry(&self) -> Option<Time>;
    fn is_empty(&self) -> bool;
}

/// The queue under test.
pub(crate) struct Fair {
    pub(crate) queue: Queue,
    customers: Vec<customer::Key>,
    tickets: SlotMap<ticket::Key, usize>,
    running: Vec<Option<Grant>>,
    slots: u32,
}

impl Fair {
    pub(crate) fn new(slots: u32, capacity: usize, shares: &[u32], classes: &[Class]) -> Self {
        let mut queue = Queue::new(capacity);
        let mut keys = SlotMap::<customer::Key, ()>::with_key();
        let customers = shares.iter().map(|&share| {
            let key = keys.insert(());
            queue.set_customer(Time::MIN, key, share, classes);
            key
        });
        Self {
            customers: customers.collect(),
            queue,
            tickets: SlotMap::with_key(),
            running: Vec::new(),
            slots,
        }
    }
}

impl Discipline for Fair {
    fn push(&mut self, now: Time, id: usize, job: &Job) -> bool {
        let ticket = self.tickets.insert(id);
        let request = Request {
            ticket,
            customer: self.customers[job.customer],
            class: class::Index(job.class),
            deadline: job.deadline,
            cost: job.cost,
        };
        let accepted = self.queue.push(now, request, self.slots).is_ok();
        if !accepted {
            self.tickets.remove(ticket);
        }
        accepted
    }

    fn pop(&mut self, now: Time) -> Option<usize> {
        let grant = self.queue.pop(now, |_| true)?;
        let id = self.tickets[grant.ticket];
        self.running.resize(self.running.len().max(id + 1), None);
        assert!(self.running[id].replace(grant).is_none(), "granted twice");
        Some(id)
    }

    fn finish(&mut self, now: Time, id: usize, actual: Duration) {
        let grant = self.running[id].expect("only granted jobs finish");
        self.queue.finish(now, &grant, actual);
        self.tickets.remove(grant.ticket);
    }

    fn expire(&mut self, now: Time, expired: &mut Vec<usize>) {
        let mut removed = Vec::new();
        self.queue.expire(now, &mut removed);
        expired.extend(removed.iter().map(|(ticket, refusal)| {
            assert_eq!(refusal.outcome, Outcome::NotRun);
            self.tickets.remove(*ticket).expect("known ticket")
        }));
    }

    fn next_expiry(&self) -> Option<Time> {
        self.queue.next_expiry()
    }

    fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Whether and when a job was started or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Started(Time),
    Refused(Time),
}

/// Result of one run.
pub(crate) struct Run {
    pub(crate) ends: Vec<Option<End>>,
    /// Used part of the slots while a job waits, between 0 and 1.
    pub(crate) utilisation: f64,
}

/// State of a simulation; `used` and `offered` are in microseconds of slot time.
struct Loop<'a> {
    jobs: &'a [Job],
    slots: usize,
    ends: Vec<Option<End>>,
    running: BinaryHeap<Reverse<(Time, usize)>>,
    now: Time,
    used: u128,
    offered: u128,
}

/// Runs all jobs through `discipline` on `slots` slots until none waits or runs.
pub(crate) fn run(discipline: &mut impl Discipline, slots: usize, jobs: &[Job]) -> Run {
    let mut state = Loop {
        jobs,
        slots,
        ends: vec![None; jobs.len()],
        running: BinaryHeap::new(),
        now: Time::MIN,
        used: 0,
        offered: 0,
    };
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map(|job| job.arrival);
        let completion = state.running.peek().map(|Reverse((at, _))| *at);
        let expiry = discipline.next_expiry();
        let times = [arrival, completion, expiry].into_iter().flatten();
        let Some(at) = times.min() else { break };
        state.advance(at, !discipline.is_empty());
        if expiry.is_some_and(|expiry| expiry <= state.now) {
            state.expire(discipline);
        } else if completion == Some(at) {
            state.complete(discipline);
        } else {
            if !discipline.push(state.now, next, &jobs[next]) {
                state.end(next, End::Refused(state.now));
            }
            next += 1;
        }
        state.fill(discipline);
    }
    assert!(discipline.is_empty(), "nothing runs, yet requests wait");
    Run {
        ends: state.ends,
        utilisation: state.used as f64 / state.offered.max(1) as f64,
    }
}

impl Loop<'_> {
    fn advance(&mut self, at: Time, waiting: bool) {
        let span = at.since(self.now).as_micros();
        if waiting {
            self.used += span * self.running.len() as u128;
            self.offered += span * self.slots as u128;
        }
        self.now = self.now.max(at);
    }

    fn end(&mut self, id: usize, end: End) {
        assert!(self.ends[id].replace(end).is_none(), "job {id} ended twice");
    }

    fn expire(&mut self, discipline: &mut impl Discipline) {
        let mut expired = Vec::new();
        discipline.expire(self.now, &mut expired);
        for id in expired {
            self.end(id, End::Refused(self.now));
        }
    }

    fn complete(&mut self, discipline: &mut impl Discipline) {
        let Some(Reverse((_, id))) = self.running.pop() else {
            return;
        };
        discipline.finish(self.now, id, self.jobs[id].actual);
    }

    fn fill(&mut self, discipline: &mut impl Discipline) {
        while self.running.len() < self.slots {
            let Some(id) = discipline.pop(self.now) else {
                break;
            };
            self.end(id, End::Started(self.now));
            self.running
                .push(Reverse((self.now + self.jobs[id].actual, id)));
        }
    }
}
