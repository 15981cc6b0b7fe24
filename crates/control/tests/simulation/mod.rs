//! Entries, a log and runners in virtual time, with seeded faults.
//!
//! The entries run the product's own control state; the log and the runners are state machines of the crate `standin`.
//! Calls take time, get lost or are carried out late, and connections are cut. The faults end before the run does, so
//! that every accepted job has to be done at the end.

mod account;
mod contact;
mod entry;
mod event;
mod lead;
mod order;
mod verdict;

pub(crate) use account::Caps;
use contact::{
    Contact,
    LateStart, //
};
use entry::Entry;
use event::Event;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use sassafrascrank_schedule::{
    config::Config,
    runner::Listed, //
};
use sassafrascrank_standin::cluster::{
    Execution,
    Log,
    Worker, //
};
use std::{
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    sync::Arc,
};
pub(crate) use verdict::Verdict;

/// Largest number of attempts that a worker runs at the same time.
const WORKER_CAPACITY: usize = 4;
/// Virtual time at which the faults end.
const FAULTS_END: Duration = Duration::from_millis(9_000);
/// Virtual time between the last effect of a fault and the end of the run.
const RECOVERY: Duration = Duration::from_millis(23_000);
/// Longest time after the end of the other faults for which runners are cut off that have started again under their names.
const LATE_CUTS: Duration = Duration::from_millis(8_000);
/// Further time for the longer tasks of these runs. A job may have two steps of 10 s, and a task may fail once at its end.
const LONG_WORK: Duration = Duration::from_millis(30_000);
/// Time between two decisions of an entry.
const TICK: Duration = Duration::from_millis(25);
/// Name of the queue of all jobs.
const QUEUE: &str = "orders";
/// Time between two questions to an entry for the number of pending jobs.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of the caller that cancels the first job. The others follow in the order of the jobs.
const CANCEL_CALLER: u64 = 1_000;
/// Number of the caller that asks for the number of pending jobs.
const COUNT_CALLER: u64 = 10_000;
/// Time after its acceptance from which a job has to be counted as pending. The users' platform allows 3 s until a job
/// is visible, and 2 s for the age of the number.
const VISIBLE_LIMIT: Duration = Duration::from_millis(5_000);
/// Wall-clock time at the start of the run.
const START: Time = Time::from_millis(1_700_000_000_000);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Number of runners.
    pub(crate) workers: usize,
    /// Number of jobs.
    pub(crate) jobs: usize,
    /// Whether runners reject orders of former leaders.
    pub(crate) fences: bool,
    /// Whether a new leader waits for the leases of attempts at runners that it can't reach, and for starts that a later
    /// incarnation of these may carry out.
    pub(crate) waits_for_leases: bool,
    /// Share of orders that are carried out seconds late and without an answer.
    pub(crate) late_orders: f64,
    /// Share of reports on orders that arrive late, up to the time limits of the orders.
    pub(crate) late_reports: f64,
    /// Share of the leads of the largest entry that soon end with a planned stop, so that an earlier leader leads again.
    pub(crate) short_leads: f64,
    /// Number of times that an entry begins to handle its reads of the log late.
    pub(crate) late_reads: usize,
    /// Range of the delay of these reads, in milliseconds.
    pub(crate) read_delay_ms: (u64, u64),
    /// Number of times that the reads of the leader begin to fail although its appends succeed.
    pub(crate) failed_reads: usize,
    /// Range of the time after which the front thread passes an answer to its caller, in milliseconds; `None` if it does
    /// so at once.
    pub(crate) answer_delay_ms: Option<(u64, u64)>,
    /// Number of times that a runner starts again under its name and is cut off soon after. Tasks are longer then, so that
    /// they outlast the leases of runners.
    pub(crate) cut_restarts: usize,
    /// Number of times that a runner is cut off and starts again under its name behind the cut. Late orders wait at the runners
    /// then, so that a cut does not stop them.
    pub(crate) dark_restarts: usize,
    /// Number of times that the log drops its history.
    pub(crate) expiries: usize,
    /// Largest number of records that a read of the log returns at once.
    pub(crate) page_limit: usize,
    /// Caps of the account of every second job; `None` if there is no account.
    pub(crate) caps: Option<Caps>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 3,
            workers: 3,
            jobs: 6,
            fences: true,
            waits_for_leases: true,
            late_orders: 0.03,
            late_reports: 0.0,
            short_leads: 0.0,
            late_reads: 0,
            failed_reads: 0,
            read_delay_ms: (500, 6_500),
            answer_delay_ms: None,
            cut_restarts: 0,
            dark_restarts: 0,
            expiries: 0,
            page_limit: usize::MAX,
            caps: None,
        }
    }
}

impl Scenario {
    /// Returns the virtual time at which the run ends. A read that begins at the end of the faults may be handled late,
    /// and until then a leader that waits for it starts no task.
    fn end(&self) -> Duration {
        let delay = match self.late_reads {
            0 => Duration::ZERO,
            _ => Duration::from_millis(self.read_delay_ms.1),
        };
        let cuts = match self.cut_restarts {
            0 => Duration::ZERO,
            _ => LATE_CUTS + LONG_WORK,
        };
        let capped = match self.caps {
            Some(caps) => caps.work(self.jobs),
            None => Duration::ZERO,
        };
        FAULTS_END + delay + cuts + capped + RECOVERY
    }
}

/// A runner, and until when each entry can't reach it.
struct Runner {
    worker: Worker,
    host: Arc<str>,
    incarnation: u64,
    contact: Contact,
    /// For each entry, when its connection to the runner is back.
    cut_until: Vec<Duration>,
    /// Attempts that earlier incarnations ran.
    history: Vec<Execution>,
}

/// A job, and the answers that its caller received.
struct Submission {
    job: Arc<Job>,
    /// When a caller was first told that the job is accepted.
    accepted: Option<Duration>,
    /// Some submission was neither accepted nor refused.
    outcome_unknown: bool,
    /// A cancel was sent, and not refused.
    cancelled: bool,
}

/// Entries, a log and runners in virtual time.
pub(crate) struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: Duration,
    log: Log,
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    submissions: Vec<Submission>,
    queue: BinaryHeap<event::Timed>,
    sequence: u64,
    /// Sequence of the event that is being handled.
    handled: u64,
    config: Arc<Config>,
    /// When the cap of the account was lowered.
    lowered_at: Option<Duration>,
    /// Number of starts that brought the account too far above its cap.
    exceeded: usize,
    /// Number of starts by task.
    starts: BTreeMap<String, u32>,
    late_starts: Vec<LateStart>,
    /// Number of answers with less than half of the jobs that were pending.
    undercounted: usize,
    /// Number of cancels of accepted jobs that were answered that there is no such job.
    denied: usize,
    /// Number of times that a leader gave up the lead because of a runner although no later leader had claimed.
    deposed: usize,
    /// Number of reports on orders of an earlier lead that were dropped.
    outdated: usize,
    /// Number of answers with a number of pending jobs.
    counted: usize,
}

impl Simulation {
    /// Runs the schedule of a seed to its end, and checks the result.
    pub(crate) fn run(scenario: Scenario, seed: u64) -> Verdict {
        let mut simulation = Self::new(scenario, seed);
        simulation.schedule_faults();
        simulation.schedule_caps();
        let end = scenario.end();
        while let Some(timed) = simulation.queue.pop() {
            if timed.at > end {
                break;
            }
            simulation.now = timed.at;
            simulation.handled = timed.sequence;
            simulation.handle(timed.event);
        }
        simulation.now = end;
        Verdict::new(&mut simulation)
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            log: Log::default(),
            entries: Vec::new(),
            runners: Vec::new(),
            submissions: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            handled: 0,
            config: scenario.first_config(),
            lowered_at: None,
            exceeded: 0,
            starts: BTreeMap::new(),
            late_starts: Vec::new(),
            undercounted: 0,
            denied: 0,
            deposed: 0,
            outdated: 0,
            counted: 0,
        };
        for index in 0..scenario.entries {
            simulation.entries.push(Entry::new(index, scenario));
            simulation.boot(index);
            simulation.push(COUNT_INTERVAL, Event::Count(index));
        }
        for index in 0..scenario.workers {
            let rate = simulation.rng.random_range(980..=1_000);
            let id = format!("runner-{index}");
            let mut worker = Worker::new(&id, 1, WORKER_CAPACITY, rate, Duration::ZERO);
            worker.set_fenced(scenario.fences);
            simulation.runners.push(Runner {
                worker,
                host: format!("host-{index}").into(),
                incarnation: 1,
                contact: Contact::default(),
                cut_until: vec![Duration::ZERO; scenario.entries],
                history: Vec::new(),
            });
        }
        for index in 0..scenario.jobs {
            let at = simulation.millis(500, 8_000);
            simulation.add_job(index);
            simulation.push(at, Event::Submit(index));
            if simulation.rng.random_bool(0.15) {
                let at = at + simulation.millis(50, 1_500);
                simulation.push(at, Event::Cancel(index));
            }
        }
        simulation
    }

    fn add_job(&mut self, index: usize) {
        let steps = self.rng.random_range(1..=2);
        let shape = |after: Vec<u16>, rng: &mut StdRng| Step {
            count: rng.random_range(1..=3),
            need: Resource {
                cpu: account::TASK_CPU,
                memory: 1,
                gpu: 0,
            },
            estimate: Duration::from_millis(400),
            after: after.into(),
            ..Step::default()
        };
        let first = shape(Vec::new(), &mut self.rng);
        let mut all = vec![first];
        if steps == 2 {
            all.push(shape(vec![0], &mut self.rng));
        }
        let account = self.account(index);
        self.submissions.push(Submission {
            job: Arc::new(Job {
                id: Id(index as u64 + 1),
                queue: QUEUE.into(),
                policy: policy(),
                specification: "text".into(),
                steps: all.into(),
                repeat: None,
                account,
                submitted: START,
            }),
            accepted: None,
            outcome_unknown: false,
            cancelled: false,
        });
    }

    /// Schedules random cuts, pauses, restarts and crashes.
    fn schedule_faults(&mut self) {
        let count = self.rng.random_range(1..=5);
        for _ in 0..count {
            let at = self.millis(1_000, 7_000);
            let entry = self.rng.random_range(0..self.scenario.entries);
            let runner = self.rng.random_range(0..self.scenario.workers);
            let until = (at + self.millis(300, 5_000)).min(FAULTS_END);
            let fault = match self.rng.random_range(0..7) {
                0 => Event::Pause { entry, until },
                1 => Event::Restart { entry },
                2 => Event::CutLog { entry, until },
                3 => Event::CutRunner {
                    entry,
                    runner,
                    until,
                },
                4 => Event::CutRunnerFromAll { runner, until },
                5 => Event::Crash {
                    runner,
                    renamed: true,
                },
                _ => Event::CutLeader { runner, until },
            };
            self.push(at, fault);
        }
        let (from, to) = self.scenario.read_delay_ms;
        for _ in 0..self.scenario.late_reads {
            let at = self.millis(300, 6_000);
            let fault = Event::DelayReads {
                entry: self.rng.random_range(0..self.scenario.entries),
                until: (at + self.millis(300, 6_000)).min(FAULTS_END),
                delay: self.millis(from, to),
            };
            self.push(at, fault);
        }
        for _ in 0..self.scenario.failed_reads {
            let at = self.millis(300, 6_000);
            let fault = Event::CutReads {
                runner: self.rng.random_range(0..self.scenario.workers),
                until: (at + self.millis(300, 6_000)).min(FAULTS_END),
            };
            self.push(at, fault);
        }
        for _ in 0..self.scenario.cut_restarts {
            let at = self.millis(4_000, 8_500);
            let runner = self.rng.random_range(0..self.scenario.workers);
            let crash = Event::Crash {
                runner,
                renamed: false,
            };
            self.push(at, crash);
            let cut = at + self.millis(20, 3_000);
            let until = (cut + self.millis(1_000, 9_000)).min(FAULTS_END + LATE_CUTS);
            self.push(cut, Event::CutRunnerFromAll { runner, until });
        }
        for _ in 0..self.scenario.dark_restarts {
            let cut = self.millis(1_000, 6_500);
            let lasts = self.millis(800, 5_500);
            let crash = cut + self.millis(0, lasts.as_millis() as u64);
            let until = (cut + lasts).min(FAULTS_END);
            let runner = self.rng.random_range(0..self.scenario.workers);
            self.push(cut, Event::CutRunnerFromAll { runner, until });
            let crashed = Event::Crash {
                runner,
                renamed: false,
            };
            self.push(crash, crashed);
        }
        for _ in 0..self.scenario.expiries {
            let at = self.millis(500, 9_000);
            self.push(at, Event::Expire);
        }
    }

    fn time(&self) -> Time {
        START + self.now
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.queue.push(event::Timed {
            at,
            sequence,
            event,
        });
    }

    /// Postpones the event that is being handled. Among events at the same time it keeps its place, as in a ring.
    fn postpone(&mut self, at: Duration, event: Event) {
        self.queue.push(event::Timed {
            at,
            sequence: self.handled,
            event,
        });
    }

    fn push_after(&mut self, from: u64, to: u64, event: Event) {
        let delay = self.millis(from, to);
        self.push(self.now + delay, event);
    }

    /// Returns the service list.
    fn listing(&self) -> Vec<Listed> {
        let listed = |runner: &Runner| Listed {
            id: runner.worker.id.as_str().into(),
            incarnation: runner.worker.born,
            host: Arc::clone(&runner.host),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            labels: Box::default(),
            rack: "rack".into(),
            capacity: Resource {
                cpu: 1_000 * WORKER_CAPACITY as u64,
                memory: 1_000,
                gpu: 0,
            },
            draining: None,
            clock: None,
        };
        self.runners.iter().map(listed).collect()
    }

    fn faulty(&self) -> bool {
        self.now < FAULTS_END
    }
}

fn policy() -> Policy {
    Policy {
        pool: "pool".into(),
        priority: 0,
        attempts: 3,
        stretch: 2_000,
        target: Duration::from_millis(600),
    }
}
