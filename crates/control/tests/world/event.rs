//! What happens in the world, and what follows from it.

use super::{
    EPOCH,
    TICK,
    World, //
};
use core::cmp::Ordering;
use rand::RngExt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    front::{
        Query,
        Request, //
    },
    store,
};
use sassafrascrank_job::id;
use sassafrascrank_schedule::order::{
    Order,
    report::{
        Answer,
        EndReason,
        Ended,
        Failure,
        Report,
        Running,
        View, //
    },
};
use sassafrascrank_standin::cluster::{
    Refusal,
    Start, //
};

/// Time after which an order without an answer is given up.
const ORDER_TIMEOUT: u64 = 700;

/// What happens.
#[derive(Debug)]
pub(super) enum Event {
    /// An entry decides.
    Tick(usize, u64),
    /// An entry reads the log.
    Read(usize, u64),
    /// Something arrives at an entry from its log thread.
    Store(usize, u64, store::Event),
    /// The outcome of an order arrives at an entry.
    Report(usize, u64, Report),
    /// An order arrives at a runner; the flag says whether the answer gets lost.
    Order {
        /// Who ordered.
        entry: usize,
        /// Life of the entry.
        life: u64,
        /// When it was sent.
        sent: Duration,
        /// What was ordered.
        order: Order,
        /// No answer comes.
        silent: bool,
    },
    /// An append of an entry arrives at the log.
    Append(usize, u64),
    /// A caller's record arrives at the log.
    Accept(usize, u64, u64),
    /// A caller submits a job, or tries again.
    Submit(usize),
    /// A caller cancels a job.
    Cancel(usize),
    /// A host is suspended.
    Pause { entry: usize, until: Duration },
    /// A process is killed and starts again.
    Restart { entry: usize },
    /// An entry can't reach the log.
    CutLog { entry: usize, until: Duration },
    /// An entry can't reach a runner.
    CutSite {
        entry: usize,
        site: usize,
        until: Duration,
    },
    /// No entry can reach a runner.
    CutSiteFromAll { site: usize, until: Duration },
    /// The leader loses the log, and all others lose a runner that it still reaches.
    CutLeader { site: usize, until: Duration },
    /// A runner dies and starts again.
    Crash { site: usize },
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

impl World {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(entry, life) => self.tick(entry, life),
            Event::Read(entry, life) => self.read(entry, life),
            Event::Store(entry, life, event) => {
                let now = self.time();
                let deferred = self.deferred(entry, life);
                match deferred {
                    Some(Some(at)) => self.push(at, Event::Store(entry, life, event)),
                    Some(None) => {}
                    None => self.with(entry, |control| control.take_event(event, now)),
                }
            }
            Event::Report(entry, life, report) => {
                let now = self.time();
                match self.deferred(entry, life) {
                    Some(Some(at)) => self.push(at, Event::Report(entry, life, report)),
                    Some(None) => {}
                    None => self.with(entry, |control| control.take_report(report, now)),
                }
            }
            Event::Order {
                entry,
                life,
                sent,
                order,
                silent,
            } => self.carry_out(entry, life, sent, order, silent),
            Event::Append(entry, life) => self.append(entry, life),
            Event::Accept(entry, life, token) => self.accept(entry, life, token),
            Event::Submit(index) => self.submit(index),
            Event::Cancel(index) => self.cancel(index),
            Event::Pause { entry, until } => {
                self.entries[entry].paused = self.entries[entry].paused.max(until);
            }
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
                self.entries[entry].log_cut = self.entries[entry].log_cut.max(until);
            }
            Event::CutSite { entry, site, until } => self.cut(entry, site, until),
            Event::CutSiteFromAll { site, until } => {
                for entry in 0..self.entries.len() {
                    self.cut(entry, site, until);
                }
            }
            Event::CutLeader { site, until } => self.cut_leader(site, until),
            Event::Crash { site } => self.crash(site),
        }
    }

    fn cut(&mut self, entry: usize, site: usize, until: Duration) {
        let cut = &mut self.sites[site].cut[entry];
        *cut = (*cut).max(until);
    }

    fn cut_leader(&mut self, site: usize, until: Duration) {
        let leads = |entry: &super::Entry| {
            entry
                .control
                .as_ref()
                .is_some_and(|control| control.is_leader())
        };
        let Some(leader) = self.entries.iter().position(leads) else {
            return;
        };
        self.entries[leader].log_cut = self.entries[leader].log_cut.max(until);
        for entry in 0..self.entries.len() {
            if entry != leader {
                self.cut(entry, site, until);
            }
        }
    }

    fn crash(&mut self, site: usize) {
        let now = self.now;
        let fences = self.plan.fences;
        let site = &mut self.sites[site];
        site.worker.terminate(now);
        site.history.append(&mut site.worker.history);
        site.lives += 1;
        let id = format!("{}-{}", site.host, site.lives);
        let mut worker =
            sassafrascrank_standin::cluster::Worker::new(&id, site.lives, super::ROOM, 1_000, now);
        worker.set_fenced(fences);
        site.worker = worker;
        self.list_to_all();
    }

    /// Returns `None` if an entry takes events now, when it does so later, or `Some(None)` if that life is over.
    fn deferred(&self, entry: usize, life: u64) -> Option<Option<Duration>> {
        let entry = &self.entries[entry];
        if entry.life != life || entry.control.is_none() {
            return Some(None);
        }
        (entry.paused > self.now).then_some(Some(entry.paused))
    }

    fn tick(&mut self, index: usize, life: u64) {
        match self.deferred(index, life) {
            Some(Some(at)) => self.push(at, Event::Tick(index, life)),
            Some(None) => {}
            None => {
                let now = self.time();
                self.with(index, |control| control.tick(now, now));
                self.push(self.now + TICK, Event::Tick(index, life));
            }
        }
    }

    /// Sends an order on its way, or lets it be lost or late.
    pub(super) fn order(&mut self, entry: usize, order: Order) {
        let life = self.entries[entry].life;
        let sent = self.now;
        let faulty = self.faulty();
        let late = faulty && self.rng.random_bool(self.plan.late);
        let silent = late || (faulty && self.rng.random_bool(0.03));
        let order_event = |silent, order| Event::Order {
            entry,
            life,
            sent,
            order,
            silent,
        };
        if silent {
            let report = failure(&order, sent, Failure::Unknown);
            let at = self.now + Duration::from_millis(ORDER_TIMEOUT);
            self.push(at, Event::Report(entry, life, report));
        }
        let (from, to) = if late { (1_500, 6_000) } else { (1, 5) };
        self.push_after(from, to, order_event(silent, order));
    }

    fn carry_out(&mut self, entry: usize, life: u64, sent: Duration, order: Order, silent: bool) {
        let Some((id, _)) = target(&order) else {
            return;
        };
        let site = self.sites.iter().position(|site| *site.worker.id == *id);
        let report = match site {
            Some(site) if self.sites[site].cut[entry] > self.now => {
                let report = failure(&order, sent, Failure::Unknown);
                if !silent {
                    let at = sent + Duration::from_millis(ORDER_TIMEOUT);
                    self.push(at.max(self.now), Event::Report(entry, life, report));
                }
                return;
            }
            Some(site) => self.execute(site, &order, sent),
            None => failure(&order, sent, Failure::Replaced),
        };
        if !silent {
            self.push_after(1, 5, Event::Report(entry, life, report));
        }
    }

    fn execute(&mut self, site: usize, order: &Order, sent: Duration) -> Report {
        let now = self.now;
        let (work, fails) = match order {
            Order::Start(start) => self.work(&start.task, start.attempt),
            _ => (Duration::ZERO, false),
        };
        let worker = &mut self.sites[site].worker;
        let clock = Some(worker.clock(now));
        let sent = EPOCH + sent;
        let answer = |result| Answer {
            sent,
            clock,
            result,
        };
        match order {
            Order::Start(start) => {
                let known = worker.runs.len();
                let result = worker.start(
                    Start {
                        task: start.task.to_string(),
                        attempt: start.attempt,
                        until: start.until,
                        fence: start.target.fence,
                        duration: Some(work),
                        fails,
                    },
                    now,
                );
                if worker.runs.len() > known {
                    let count = self.starts.entry(start.task.to_string()).or_default();
                    *count += 1;
                }
                Report::Start {
                    run: start.run,
                    answer: answer(result.map_err(refusal)),
                }
            }
            Order::Stop(stop) => {
                let task = stop.task.to_string();
                let result = worker.stop(&task, stop.attempt, stop.target.fence, now);
                Report::Stop {
                    run: stop.run,
                    runner: stop.target.runner,
                    answer: answer(result.map_err(refusal)),
                }
            }
            Order::Poll(look) => {
                let held =
                    worker.renew_lease(look.until, look.target.fence, look.acknowledged, now);
                let result = held.map(|()| view(worker, now)).map_err(refusal);
                Report::Poll {
                    runner: look.target.runner,
                    acknowledged: look.acknowledged,
                    answer: Answer {
                        sent,
                        clock,
                        result,
                    },
                }
            }
            other => failure(other, now, Failure::Rejected),
        }
    }

    /// Returns how long an attempt works and whether it fails; equal in all runs of one seed.
    fn work(&self, task: &id::Task, attempt: u32) -> (Duration, bool) {
        let mixed = sassafrascrank_base::hash::text(&format!("{task}"));
        let fails = attempt == 1 && mixed.is_multiple_of(13);
        // Long tasks still run at a runner that is cut off when another leader takes over.
        let work = match mixed.is_multiple_of(3) {
            true => 2_000 + mixed % 3_000,
            false => 100 + mixed % 700,
        };
        (Duration::from_millis(work), fails)
    }

    fn submit(&mut self, index: usize) {
        if self.submissions[index].accepted {
            return;
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let reachable =
            self.entries[entry].control.is_some() && self.entries[entry].paused <= self.now;
        if reachable {
            let job = self.submissions[index].job.clone();
            let caller = index as u64;
            let request = Request {
                caller,
                query: Query::Submit(job),
            };
            let now = self.time();
            self.submissions[index].doubtful = true;
            self.with(entry, |control| control.take_call(request, now));
        }
        // Callers try again until they are told that the job is accepted.
        self.push_after(900, 1_600, Event::Submit(index));
    }

    fn cancel(&mut self, index: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        if !self.submissions[index].accepted || self.entries[entry].control.is_none() {
            return;
        }
        let request = Request {
            caller: 1_000 + index as u64,
            query: Query::Cancel(self.submissions[index].job.id),
        };
        let now = self.time();
        self.submissions[index].cancelled = true;
        self.with(entry, |control| control.take_call(request, now));
    }
}

fn target(order: &Order) -> Option<(&str, u64)> {
    let target = match order {
        Order::Start(start) => &start.target,
        Order::Stop(stop) => &stop.target,
        Order::Poll(look) => &look.target,
        Order::Pace(pace) => &pace.target,
        _ => return None,
    };
    Some((&target.id, target.fence))
}

fn failure(order: &Order, sent: Duration, failure: Failure) -> Report {
    let sent = EPOCH + sent;
    let clock = None;
    match order {
        Order::Start(start) => Report::Start {
            run: start.run,
            answer: Answer {
                sent,
                clock,
                result: Err(failure),
            },
        },
        Order::Stop(stop) => Report::Stop {
            run: stop.run,
            runner: stop.target.runner,
            answer: Answer {
                sent,
                clock,
                result: Err(failure),
            },
        },
        Order::Poll(look) => Report::Poll {
            runner: look.target.runner,
            acknowledged: look.acknowledged,
            answer: Answer {
                sent,
                clock,
                result: Err(failure),
            },
        },
        _ => Report::Hosts(None),
    }
}

fn refusal(refused: Refusal) -> Failure {
    match refused {
        Refusal::StaleFence => Failure::Fenced,
        Refusal::StaleAttempt => Failure::StaleAttempt,
        Refusal::LeaseExpired => Failure::LeaseExpired,
        Refusal::NoCapacity => Failure::NoCapacity,
    }
}

fn view(worker: &sassafrascrank_standin::cluster::Worker, now: Duration) -> View {
    let task = |name: &str| id::Task::try_from(name).expect("the worker keeps names as they are");
    let running = worker.runs.iter().map(|run| Running {
        task: task(&run.task),
        attempt: run.attempt,
        checkpoint: None,
        percent: run.percent(now),
        load: 0,
    });
    let ended = worker.ends.iter().map(|end| Ended {
        number: end.number,
        task: task(&end.task),
        attempt: end.attempt,
        reason: match end.outcome {
            "done" => EndReason::Done,
            "failed" => EndReason::Failed,
            "lapsed" => EndReason::LeaseExpired,
            _ => EndReason::Stopped,
        },
        checkpoint: None,
    });
    View {
        born: Some(worker.born),
        running: running.collect(),
        ended: ended.collect(),
        truncated: false,
    }
}
