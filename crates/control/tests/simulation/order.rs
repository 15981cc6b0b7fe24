//! Orders of the entries to the runners, and their answers.

use super::{
    START,
    Simulation,
    event::Event, //
};
use rand::RngExt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::id;
use sassafrascrank_schedule::order::{
    Envelope, Order,
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

/// Time after which an order without an answer has failed, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;
/// Time after which a poll without an answer has failed, in addition to the time for which the runner may hold it.
const POLL_TIMEOUT_MS: u64 = 600;
/// Longest time that an order takes to arrive, or its answer, if neither is late, in milliseconds.
const CALL_MS: u64 = 5;

/// How an order is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Delivery {
    /// Its answer arrives, unless the runner is cut off.
    Answered,
    /// Its answer is lost.
    Unanswered,
    /// It waits at the runner, or at the next incarnation of it, and gets no answer. A cut does not stop it.
    Waiting,
}

impl Simulation {
    /// Sends an order, which may be late or lose its answer.
    pub(super) fn order(&mut self, entry: usize, order: Envelope<Order>) {
        self.note_order(entry);
        let incarnation = self.entries[entry].incarnation;
        let sent = self.now;
        let faulty = self.faulty();
        let late = faulty && self.rng.random_bool(self.scenario.late_orders);
        let silent = late || (faulty && self.rng.random_bool(0.03));
        let delivery = match silent {
            _ if late && self.scenario.dark_restarts > 0 => Delivery::Waiting,
            true => Delivery::Unanswered,
            false => Delivery::Answered,
        };
        let order_event = |order| Event::Order {
            entry,
            incarnation,
            sent,
            order,
            delivery,
        };
        if silent {
            let report = failure(order.content(), sent, Failure::Unknown);
            let report = order.reply(report);
            let at = self.now + Duration::from_millis(ORDER_TIMEOUT_MS);
            self.push(at, Event::Report(entry, incarnation, report));
        }
        let (from, to) = if late { (1_500, 6_000) } else { (1, 5) };
        self.push_after(from, to, order_event(order));
    }

    pub(super) fn carry_out(
        &mut self,
        entry: usize,
        incarnation: u64,
        sent: Duration,
        order: Envelope<Order>,
        delivery: Delivery,
    ) {
        let silent = delivery != Delivery::Answered;
        let cut = |runner: &usize| self.runners[*runner].cut_until[entry] > self.now;
        let Some((id, _)) = target(order.content()) else {
            return;
        };
        let runner = self
            .runners
            .iter()
            .position(|runner| *runner.worker.id == *id);
        let report = match runner {
            Some(runner) if delivery != Delivery::Waiting && cut(&runner) => {
                let report = failure(order.content(), sent, Failure::Unknown);
                if !silent {
                    let report = order.reply(report);
                    let at = sent + Duration::from_millis(ORDER_TIMEOUT_MS);
                    self.push(at.max(self.now), Event::Report(entry, incarnation, report));
                }
                return;
            }
            Some(runner) => {
                self.note_start(runner, order.content(), sent);
                let report = self.execute(runner, order.content(), sent);
                if !silent
                    && matches!(&report, Report::Poll { answer, .. } if answer.result.is_ok())
                {
                    self.note_answer(runner, entry, incarnation);
                }
                report
            }
            None => failure(order.content(), sent, Failure::Replaced),
        };
        if silent {
            return;
        }
        let limit = time_limit_ms(order.content()) - CALL_MS;
        let (from, to) = match self.happens(self.scenario.late_reports) {
            true => (CALL_MS, limit),
            false => (1, CALL_MS),
        };
        let report = Event::Report(entry, incarnation, order.reply(report));
        self.push_after(from, to, report);
    }

    fn execute(&mut self, runner: usize, order: &Order, sent: Duration) -> Report {
        let now = self.now;
        let (work, fails) = match order {
            Order::Start(start) => self.work(&start.task, start.attempt),
            _ => (Duration::ZERO, false),
        };
        let worker = &mut self.runners[runner].worker;
        let clock = Some(worker.clock(now));
        let ordered = sent;
        let sent = START + sent;
        let answer = |result| Answer {
            fault: None,
            sent,
            clock,
            result,
        };
        match order {
            Order::Start(start) => {
                let known = worker.runs.len();
                let started = worker.start(
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
                    self.check_cap(&start.task, ordered);
                }
                Report::Start {
                    run: start.run,
                    runner: start.target.runner,
                    answer: answer(started.map_err(refusal)),
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
            Order::Poll(poll) => {
                let held =
                    worker.renew_lease(poll.until, poll.target.fence, poll.acknowledged, now);
                let result = held.map(|()| view(worker, now)).map_err(refusal);
                Report::Poll {
                    runner: poll.target.runner,
                    acknowledged: poll.acknowledged,
                    answer: Answer {
                        fault: None,
                        sent,
                        clock,
                        result,
                    },
                }
            }
            other => failure(other, now, Failure::Rejected),
        }
    }

    /// Returns how long an attempt works and whether it fails. It is the same in all runs.
    fn work(&self, task: &id::Task, attempt: u32) -> (Duration, bool) {
        let mixed = sassafrascrank_base::hash::text(&format!("{task}"));
        let fails = attempt == 1 && mixed.is_multiple_of(13);
        // Some tasks are long enough to still run at a runner that is cut off while another leader takes over.
        let work = match mixed.is_multiple_of(3) {
            true if self.scenario.cut_restarts > 0 => 6_000 + mixed % 4_000,
            true => 2_000 + mixed % 3_000,
            false => 100 + mixed % 700,
        };
        (Duration::from_millis(work), fails)
    }
}

/// Returns the time within which the answer to an order has to arrive, in milliseconds.
fn time_limit_ms(order: &Order) -> u64 {
    match order {
        Order::Poll(poll) => POLL_TIMEOUT_MS + poll.wait.as_millis() as u64,
        _ => ORDER_TIMEOUT_MS,
    }
}

fn target(order: &Order) -> Option<(&str, u64)> {
    let target = match order {
        Order::Start(start) => &start.target,
        Order::Stop(stop) => &stop.target,
        Order::Poll(poll) => &poll.target,
        Order::Pace(pace) => &pace.target,
        _ => return None,
    };
    Some((&target.id, target.fence))
}

fn failure(order: &Order, sent: Duration, failure: Failure) -> Report {
    let sent = START + sent;
    let clock = None;
    match order {
        Order::Start(start) => Report::Start {
            run: start.run,
            runner: start.target.runner,
            answer: Answer {
                fault: None,
                sent,
                clock,
                result: Err(failure),
            },
        },
        Order::Stop(stop) => Report::Stop {
            run: stop.run,
            runner: stop.target.runner,
            answer: Answer {
                fault: None,
                sent,
                clock,
                result: Err(failure),
            },
        },
        Order::Poll(poll) => Report::Poll {
            runner: poll.target.runner,
            acknowledged: poll.acknowledged,
            answer: Answer {
                fault: None,
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
        incarnation: Some(worker.born),
        running: running.collect(),
        ended: ended.collect(),
        truncated: false,
    }
}
