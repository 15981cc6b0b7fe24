//! Start of tasks by a new leader whose earlier leaders may still have runs at a runner that it can't reach.

mod fixture;

use fixture::{
    ESTIMATE,
    START,
    job,
    leader,
    listed,
    planned,
    policy, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    control::{
        Control,
        Identity, //
    },
    port::OperatorRecord,
    store::{
        Event,
        Request,
        Written, //
    },
};
use sassafrascrank_job::{
    Record,
    id::Task, //
};
use sassafrascrank_schedule::{
    Config, Order, config,
    order::report::{
        Answer,
        Report,
        Running,
        View, //
    },
    runner::Change,
};
use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::Arc, //
};

/// Time between two reads of the log, after each of which the entry decides.
const TICK: Duration = Duration::from_millis(10);
/// Time within which the entry leads and orders what is due.
const LIMIT: Duration = Duration::from_secs(60);
/// Epoch of the other entry in the first round of claims. The entry under test has a higher one in the same round.
const FIRST_EPOCH: u64 = 1 << 16;
const RUNNERS: [&str; 2] = ["r0", "r1"];

/// An attempt at a runner.
struct Run {
    task: Task,
    attempt: u32,
    began: Time,
}

impl Run {
    /// Returns the progress in percent. It is steady, since tasks without progress start again elsewhere.
    fn percent(&self, now: Time) -> u8 {
        let spent = now.since(self.began).as_millis() * 100 / ESTIMATE.as_millis();
        spent.min(100) as u8
    }
}

/// An entry with a log that stores its appends at once, and with runners whose tasks don't end.
struct Harness {
    control: Control,
    now: Time,
    /// Offset of the next record.
    end: u64,
    /// Epoch of the last claim of the entry, 0 before the first one.
    epoch: u64,
    /// Number of that claim.
    claim: u64,
    /// Records that the entry has appended and not read yet.
    unread: Vec<Record>,
    /// Attempts at each runner.
    runs: BTreeMap<String, Vec<Run>>,
    /// Runners that get no orders and send no answers.
    unreachable: Vec<&'static str>,
    /// Starts of tasks: time and runner.
    starts: Vec<(Time, String)>,
    /// Whether reads of the log get no answer. Appends do.
    reads_unanswered: bool,
}

impl Harness {
    /// Creates an entry that has read an empty log.
    fn new() -> Self {
        let identity = Identity {
            name: "entry".into(),
            incarnation: 1,
            capacity: 1_000,
        };
        let retention = Duration::from_secs(300);
        let rules = Default::default();
        let control = Control::new(identity, Default::default(), rules, retention, START);
        let mut harness = Self {
            control,
            now: START,
            end: 0,
            epoch: 0,
            claim: 0,
            unread: Vec::new(),
            runs: BTreeMap::new(),
            unreachable: Vec::new(),
            starts: Vec::new(),
            reads_unanswered: false,
        };
        let config = Config {
            version: 1,
            queues: vec![config::Queue {
                name: "queue".into(),
                host: "host".into(),
                path: "/queue/".into(),
                policy: policy(),
                advised: false,
                anonymous: false,
            }],
            pools: vec![config::Pool {
                name: "pool".into(),
                guarded: false,
                standby: false,
            }],
            accounts: None,
        };
        let config = OperatorRecord::Config(Arc::new(config));
        let operator = Event::Operator {
            records: vec![config],
            started: START,
            last: true,
        };
        harness.control.handle_event(operator, START);
        harness.read(true);
        harness
    }

    /// Lets records of another entry follow those that this entry has appended.
    fn append(&mut self, records: impl IntoIterator<Item = Record>) {
        self.unread.extend(records);
    }

    /// Lets the entry read all records.
    fn read(&mut self, complete: bool) {
        let records = core::mem::take(&mut self.unread);
        let first = self.end;
        self.end += records.len() as u64;
        let event = Event::Jobs {
            records: (first..).zip(records).collect(),
            started: self.now,
            complete,
            last: true,
        };
        self.control.handle_event(event, self.now);
        self.carry_out();
    }

    /// Carries out the requests and orders of the entry.
    fn carry_out(&mut self) {
        let output = self.control.take_output();
        for request in output.requests {
            self.request(request);
        }
        for order in output.orders {
            if let Some(report) = self.execute(order.content()) {
                self.control.handle_report(order.reply(report), self.now);
            }
        }
    }

    fn request(&mut self, request: Request) {
        let event = match request {
            Request::Lead { epoch, record } => {
                self.epoch = epoch;
                self.unread.push(record);
                self.stored()
            }
            Request::Write(records) => {
                self.unread.extend(records);
                self.stored()
            }
            Request::SetReads {
                runners: Some(claim),
                ..
            } => {
                self.claim = claim;
                Event::Runners {
                    claim,
                    changes: RUNNERS.map(|id| Change::Set(listed(id, 1_000))).into(),
                    complete: true,
                }
            }
            _ => return,
        };
        self.control.handle_event(event, self.now);
    }

    fn stored(&self) -> Event {
        Event::Written {
            epoch: self.epoch,
            started: self.now,
            result: Written::Stored,
        }
    }

    /// Executes an order unless its runner can't be reached.
    fn execute(&mut self, order: &Order) -> Option<Report> {
        let target = match order {
            Order::Start(start) => &start.target,
            Order::Stop(stop) => &stop.target,
            Order::Poll(poll) => &poll.target,
            _ => return None,
        };
        if self.unreachable.contains(&&*target.id) {
            return None;
        }
        let runs = self.runs.entry(target.id.to_string()).or_default();
        match order {
            Order::Start(start) => {
                runs.push(Run {
                    task: start.task,
                    attempt: start.attempt,
                    began: self.now,
                });
                self.starts.push((self.now, target.id.to_string()));
                Some(Report::Start {
                    run: start.run,
                    runner: start.target.runner,
                    answer: self.answer(()),
                })
            }
            Order::Stop(stop) => {
                runs.retain(|run| (run.task, run.attempt) != (stop.task, stop.attempt));
                Some(Report::Stop {
                    run: stop.run,
                    runner: target.runner,
                    answer: self.answer(()),
                })
            }
            Order::Poll(poll) => {
                let running = runs.iter().map(|run| Running {
                    task: run.task,
                    attempt: run.attempt,
                    checkpoint: None,
                    percent: run.percent(self.now),
                    load: 0,
                });
                let view = View {
                    incarnation: Some(100),
                    running: running.collect(),
                    ..View::default()
                };
                Some(Report::Poll {
                    runner: target.runner,
                    acknowledged: poll.acknowledged,
                    answer: self.answer(view),
                })
            }
            _ => None,
        }
    }

    fn answer<T>(&self, result: T) -> Answer<T> {
        Answer {
            fault: None,
            sent: self.now,
            clock: Some(1_000 + self.now.since(START).as_millis() as u64),
            result: Ok(result),
        }
    }

    /// Lets time pass until a condition holds, with a read and a decision in each tick. Returns the time that it took in
    /// milliseconds.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> u128 {
        let began = self.now;
        while !condition(self) {
            assert!(self.now < began + LIMIT, "the condition is not reached");
            self.now = self.now + TICK;
            if !self.reads_unanswered {
                self.read(false);
            }
            self.control.tick(self.now, self.now);
            self.carry_out();
        }
        self.now.since(began).as_millis()
    }

    fn leads(&self) -> bool {
        self.control.is_leader()
    }

    /// Returns the runner of the last start.
    fn last_start(&self) -> &str {
        let last = self.starts.last();
        last.map_or("none", |(_, runner)| runner)
    }
}

/// Guards against an entry that leads again, after it has read a claim with a higher epoch, and starts a task again that
/// it has started itself. The task may run at an unreachable runner until the lease ends that the entry last renewed.
#[test]
fn entry_that_leads_again_waits_for_the_leases_of_its_earlier_orders() {
    let mut harness = Harness::new();
    harness.append([job(1)]);
    harness.run_until(|harness| !harness.starts.is_empty());
    let mut report = format!("starts the task at {}\n", harness.last_start());
    let until = harness.now + Duration::from_secs(5);
    harness.run_until(|harness| harness.now >= until);
    // All own records are read before the claim, so that it is the last record of another leader than the next claim.
    harness.read(false);
    let runner = harness.last_start().to_owned();
    harness.unreachable = RUNNERS.into_iter().filter(|id| *id == runner).collect();
    harness.append([leader(harness.epoch + FIRST_EPOCH, true, Time::MIN)]);
    harness.read(false);
    writeln!(report, "leads after a higher claim: {}", harness.leads()).unwrap();
    let again = harness.run_until(Harness::leads);
    writeln!(report, "leads again {again} ms after the claim").unwrap();
    let wait = harness.run_until(|harness| harness.starts.len() > 1);
    writeln!(
        report,
        "starts the task at {} {} ms after the claim",
        harness.last_start(),
        again + wait
    )
    .unwrap();
    insta::assert_snapshot!(report);
}

/// Guards against an entry that starts a task again that another leader has started, because it has read the records of
/// that leader only after its own claim. The task may run at an unreachable runner until its lease has ended, which a
/// leader that has not resigned may still renew, and until the time that the other leader has written for the runs of
/// leaders before it. A later incarnation of the runner may carry out a start that got no answer.
#[test]
fn entry_waits_for_the_leases_of_a_leader_that_it_reads_of_after_its_claim() {
    let later = START + Duration::from_secs(15);
    let cases = [
        ("leader", true, false, Time::MIN),
        ("resigned leader", true, true, Time::MIN),
        ("resigned leader after another one", true, true, later),
        ("resigned leader, start in doubt", false, true, Time::MIN),
    ];
    let mut report = String::new();
    for (name, answered, resigned, runs_until) in cases {
        let mut harness = Harness::new();
        harness.unreachable = vec!["r0"];
        let claim = harness.run_until(|harness| harness.epoch > 0);
        let own = core::mem::take(&mut harness.unread);
        harness.append([
            job(1),
            planned(1, FIRST_EPOCH, "r0", answered),
            leader(FIRST_EPOCH, resigned, runs_until),
        ]);
        harness.append(own);
        let wait = harness.run_until(|harness| !harness.starts.is_empty());
        writeln!(
            report,
            "{name}: claims after {claim} ms, starts the task at {} {wait} ms later",
            harness.last_start()
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}

/// Guards against a leader that starts tasks of jobs which were cancelled seconds before, because its reads of the log are
/// far behind while its appends still succeed.
#[test]
fn leader_that_is_behind_the_log_starts_no_task() {
    let mut harness = Harness::new();
    harness.append([job(1), job(2), job(3)]);
    harness.run_until(|harness| harness.starts.len() == 2);
    harness.reads_unanswered = true;
    let behind = harness.now + Duration::from_secs(3);
    harness.run_until(|harness| harness.now >= behind);
    // There is room for the third task now.
    let larger = Event::Runners {
        claim: harness.claim,
        changes: vec![Change::Set(listed("r0", 2_000))],
        complete: false,
    };
    harness.control.handle_event(larger, harness.now);
    let later = harness.now + Duration::from_secs(5);
    harness.run_until(|harness| harness.now >= later);
    let mut report = format!("leads: {}\n", harness.leads());
    writeln!(report, "starts while behind: {}", harness.starts.len() - 2).unwrap();
    harness.reads_unanswered = false;
    let wait = harness.run_until(|harness| harness.starts.len() > 2);
    writeln!(report, "starts {wait} ms after reads succeed again").unwrap();
    insta::assert_snapshot!(report);
}
