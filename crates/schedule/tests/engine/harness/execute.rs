//! Execution of orders by simulated runners, hosts and the advice service.

use super::Harness;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::id::Task;
use sassafrascrank_schedule::{
    fleet::host,
    job::StepKey,
    order::{
        self, Envelope, Order, Target,
        report::{
            Answer,
            Approval,
            EndReason,
            Ended,
            Failure,
            Report,
            Running,
            View, //
        },
    },
};
use sassafrascrank_standin::cluster::{
    Phase,
    Refusal,
    Start,
    Worker, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

impl Harness {
    /// Executes an order and reports its result to the engine.
    pub(super) fn execute(&mut self, order: Envelope<Order>) {
        if let Some((report, after)) = self.faults.fail(&order, self.time()) {
            self.deliver(order.reply(report), after);
            return;
        }
        let report = match order.content() {
            Order::Start(start) => self.start(start),
            Order::Stop(stop) => self.stop(stop),
            Order::Poll(poll) => self.poll(poll),
            Order::Pace(pace) => self.pace(pace),
            Order::Advise { step, runners, .. } => self.advise(*step, runners),
            Order::ListHosts => {
                self.list_order = Some(order.clone());
                Report::Hosts(Some(self.list_hosts()))
            }
            Order::Host(order) => self.order_host(order),
            Order::CloseConnections(address) => {
                self.closed.extend(*address);
                return;
            }
            Order::Announce { wave, done } => {
                self.announced.push((*wave, *done));
                return;
            }
        };
        let held = self.faults.hold(order.content());
        self.deliver(order.reply(report), held);
    }

    /// Reports a list of hosts once more, as another answer to the last order for it.
    pub(crate) fn report_hosts(&mut self, hosts: Vec<host::Listed>) {
        let now = self.time();
        let order = self.list_order.as_ref().expect("hosts were listed before");
        self.engine
            .report(order.reply(Report::Hosts(Some(hosts))), now);
    }

    fn order_host(&mut self, order: &order::Host) -> Report {
        let now = self.now;
        let name = &order.name;
        let by = ("leader", order.fence);
        let away = self.hosts.hosts[&**name].phase != Phase::Up;
        let (text, done, pool) = match &order.action {
            order::Action::Move(pool) => (
                format!("move {name} to {pool}"),
                self.hosts.relocate(name, pool, by, now),
                Some(&**pool),
            ),
            order::Action::Maintain(wave) => (
                format!("maintain {name}"),
                self.hosts.maintain(name, *wave, by, now),
                None,
            ),
        };
        // A host that is not up answers that it is busy, even to a repeat of the order that took it down.
        let done = if away { Some(false) } else { done };
        let unanswered = self.unanswered_host_orders > 0 && done == Some(true);
        let text = match unanswered {
            true => format!("{text} -> no answer"),
            false => format!("{text} -> {done:?}"),
        };
        self.add_line(&text);
        if done == Some(true) {
            self.replace_runner(name, pool);
        }
        let outcome = match unanswered {
            true => host::Outcome::Unknown,
            false => outcome(done),
        };
        self.unanswered_host_orders = self
            .unanswered_host_orders
            .saturating_sub(usize::from(unanswered));
        Report::Host {
            host: order.host,
            number: order.number,
            outcome,
        }
    }

    pub(super) fn start(&mut self, start: &order::Start) -> Report {
        let now = self.now;
        // A run begins at its full share.
        self.shares.remove(&start.task.to_string());
        let slowdown = self.slowdown.get(&*start.target.id).copied().unwrap_or(1);
        let order = Start {
            task: start.task.to_string(),
            attempt: start.attempt,
            until: start.until,
            fence: start.target.fence,
            duration: (self.task_duration)(&start.task).map(|duration| duration * slowdown),
            fails: (self.fails)(&start.task, start.attempt, &start.target.id),
        };
        let accepted = self.accepts_ticket(start);
        let mut answer = self.send(&start.target, |worker| match accepted {
            true => worker.start(order, now).map_err(failure),
            false => Err(Failure::InvalidTicket),
        });
        if self.starts_unanswered {
            answer.clock = None;
            answer.result = Err(Failure::Unknown);
        }
        self.add_run_line("start", &start.task, start.attempt, &start.target, &answer);
        Report::Start {
            run: start.run,
            runner: start.target.runner,
            answer,
        }
    }

    fn stop(&mut self, stop: &order::Stop) -> Report {
        let now = self.now;
        let task = stop.task.to_string();
        let answer = self.send(&stop.target, |worker| {
            let fence = stop.target.fence;
            worker
                .stop(&task, stop.attempt, fence, now)
                .map_err(failure)
        });
        self.add_run_line("stop", &stop.task, stop.attempt, &stop.target, &answer);
        Report::Stop {
            run: stop.run,
            runner: stop.target.runner,
            answer,
        }
    }

    pub(super) fn poll(&mut self, poll: &order::Poll) -> Report {
        let now = self.now;
        let load = self.load.clone();
        let hide_progress = self.hide_progress;
        let mut answer = self.send(&poll.target, |worker| {
            let fence = poll.target.fence;
            let held = worker.renew_lease(poll.until, fence, poll.acknowledged, now);
            held.map(|()| view(worker, &load, hide_progress, now))
                .map_err(failure)
        });
        if self.polls_unanswered {
            answer.clock = None;
            answer.result = Err(Failure::Unknown);
        }
        Report::Poll {
            runner: poll.target.runner,
            acknowledged: poll.acknowledged,
            answer,
        }
    }

    fn pace(&mut self, pace: &order::Pace) -> Report {
        let text = format!(
            "pace {}#{} at {} to {}",
            short(&pace.task),
            pace.attempt,
            pace.target.id,
            pace.percent
        );
        self.add_line(&text);
        self.shares.insert(pace.task.to_string(), pace.percent);
        Report::Pace {
            run: pace.run,
            percent: pace.percent,
            answer: Answer {
                fault: None,
                sent: self.time(),
                clock: None,
                result: Ok(()),
            },
        }
    }

    /// Approves every second runner.
    fn advise(&mut self, step: StepKey, runners: &[Arc<str>]) -> Report {
        self.add_line(&format!("ask about {} runners", runners.len()));
        let rows = runners.iter().step_by(2);
        let tickets: Vec<_> = rows
            .map(|id| (Arc::clone(id), self.issue_ticket(id)))
            .collect();
        Report::Advice {
            step,
            approved: Some(Approval {
                tickets,
                valid: self.ticket_lifetime,
            }),
        }
    }

    fn issue_ticket(&mut self, id: &str) -> Arc<str> {
        let ticket: Arc<str> = format!("ticket-{}", self.tickets.len()).into();
        let incarnation = self.runners[id].listed.incarnation;
        let end = self.now + self.ticket_lifetime;
        self.tickets.push((Arc::clone(&ticket), incarnation, end));
        ticket
    }

    /// Tells whether a runner accepts the ticket of a start. A run that is there is not refused for it.
    fn accepts_ticket(&self, start: &order::Start) -> bool {
        let (Some(ticket), Some(runner)) = (&start.ticket, self.runners.get(&*start.target.id))
        else {
            return true;
        };
        let task = start.task.to_string();
        let present = (&task, start.attempt);
        let mut runs = runner.worker.runs.iter();
        let is_there = runs.any(|run| (&run.task, run.attempt) == present);
        let mut tickets = self.tickets.iter();
        let born = runner.listed.incarnation;
        is_there
            || tickets.any(|(known, incarnation, end)| {
                known == ticket && *incarnation == born && self.now < *end
            })
    }

    fn send<T>(
        &mut self,
        target: &Target,
        act: impl FnOnce(&mut Worker) -> Result<T, Failure>,
    ) -> Answer<T> {
        let sent = self.time();
        let (clock, result) = match self.runners.get_mut(&*target.id) {
            _ if self.unreachable.contains(&*target.id) => (None, Err(Failure::Unknown)),
            Some(runner) if runner.listed.address != target.address => {
                (None, Err(Failure::Unknown))
            }
            Some(runner) => {
                let result = act(&mut runner.worker);
                (Some(runner.worker.clock(self.now)), result)
            }
            None => (None, Err(Failure::Replaced)),
        };
        Answer {
            fault: None,
            sent,
            clock,
            result,
        }
    }

    fn add_run_line(
        &mut self,
        verb: &str,
        task: &Task,
        attempt: u32,
        target: &Target,
        answer: &Answer<()>,
    ) {
        let word = match &answer.result {
            Ok(()) => "ok",
            Err(failure) => failure.as_str(),
        };
        let id = &target.id;
        self.add_line(&format!(
            "{verb} {}#{attempt} at {id} -> {word}",
            short(task)
        ));
    }
}

fn short(task: &Task) -> String {
    let position = task.position;
    format!(
        "{:x}.{}.{}.{}",
        task.job.0, position.occurrence, position.step, position.index
    )
}

fn failure(refused: Refusal) -> Failure {
    match refused {
        Refusal::StaleFence => Failure::Fenced,
        Refusal::StaleAttempt => Failure::StaleAttempt,
        Refusal::LeaseExpired => Failure::LeaseExpired,
        Refusal::NoCapacity => Failure::NoCapacity,
    }
}

fn outcome(done: Option<bool>) -> host::Outcome {
    match done {
        Some(true) => host::Outcome::Done,
        Some(false) => host::Outcome::Busy,
        None => host::Outcome::Rejected,
    }
}

fn view(worker: &Worker, load: &BTreeMap<String, u64>, hide_progress: bool, now: Duration) -> View {
    let task = |name: &str| Task::try_from(name).expect("the worker keeps names as they are");
    let running = worker.runs.iter().map(|run| Running {
        task: task(&run.task),
        attempt: run.attempt,
        checkpoint: None,
        percent: if hide_progress { 50 } else { run.percent(now) },
        load: load.get(&run.task).copied().unwrap_or_default(),
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
