//! Entries, a log and runners in virtual time, with seeded faults.
//!
//! The entries run the decisions of the product; the log and the runners are the plain state machines of `standin`.
//! Calls take time, get lost, are carried out late, and links are cut. The faults end before the run does, so that
//! every job has to be done at the end.

mod entry;
mod event;
mod verdict;

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
    config::{
        self,
        Config, //
    },
    runner::Listed,
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

/// Runs of one task that a worker can hold.
const ROOM: usize = 4;
/// Faults end here.
const FAULTS_END: Duration = Duration::from_millis(9_000);
/// The run ends here.
const END: Duration = Duration::from_millis(32_000);
/// Time between two decisions of an entry.
const TICK: Duration = Duration::from_millis(25);
/// Start of the run as a time of day.
const EPOCH: Time = Time::from_millis(1_700_000_000_000);

/// What a run consists of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Entries.
    pub(crate) entries: usize,
    /// Runners.
    pub(crate) workers: usize,
    /// Jobs.
    pub(crate) jobs: usize,
    /// Runners reject orders of earlier leaders.
    pub(crate) fences: bool,
    /// A new leader waits for the leases of runs that it can't see.
    pub(crate) waits: bool,
    /// Share of orders that are carried out seconds later, without an answer.
    pub(crate) late: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            workers: 3,
            jobs: 6,
            fences: true,
            waits: true,
            late: 0.03,
        }
    }
}

/// A runner, and which entries can't reach it until when.
struct Site {
    worker: Worker,
    host: Arc<str>,
    lives: u64,
    cut: Vec<Duration>,
    /// Runs of earlier lives.
    history: Vec<Execution>,
}

/// A job and what its caller was told.
struct Submission {
    job: Arc<Job>,
    accepted: bool,
    /// Some attempt was neither accepted nor refused.
    doubtful: bool,
    cancelled: bool,
}

/// Entries, a log and runners in virtual time.
pub(crate) struct World {
    plan: Plan,
    rng: StdRng,
    now: Duration,
    log: Log,
    entries: Vec<Entry>,
    sites: Vec<Site>,
    submissions: Vec<Submission>,
    queue: BinaryHeap<event::Timed>,
    sequence: u64,
    config: Arc<Config>,
    /// Starts by task, to find those of jobs that were refused.
    starts: BTreeMap<String, u32>,
}

impl World {
    /// Runs one schedule to its end and judges it.
    pub(crate) fn run(plan: Plan, seed: u64) -> Verdict {
        let mut world = Self::new(plan, seed);
        world.schedule_faults();
        while let Some(timed) = world.queue.pop() {
            if timed.at > END {
                break;
            }
            world.now = timed.at;
            world.handle(timed.event);
        }
        world.now = END;
        Verdict::new(&mut world)
    }

    fn new(plan: Plan, seed: u64) -> Self {
        let config = Config {
            version: 1,
            queues: vec![config::Queue {
                name: "orders".into(),
                host: "h".into(),
                path: "/orders/".into(),
                terms: terms(),
                advised: false,
            }],
            pools: vec![config::Pool {
                name: "pool".into(),
                guarded: false,
                standby: false,
            }],
        };
        let mut world = Self {
            plan,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            log: Log::default(),
            entries: Vec::new(),
            sites: Vec::new(),
            submissions: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            config: Arc::new(config),
            starts: BTreeMap::new(),
        };
        for index in 0..plan.entries {
            world.entries.push(Entry::new(index, plan));
            world.boot(index);
        }
        for index in 0..plan.workers {
            let rate = world.rng.random_range(980..=1_000);
            let id = format!("runner-{index}");
            let mut worker = Worker::new(&id, 1, ROOM, rate, Duration::ZERO);
            worker.set_fenced(plan.fences);
            world.sites.push(Site {
                worker,
                host: format!("host-{index}").into(),
                lives: 1,
                cut: vec![Duration::ZERO; plan.entries],
                history: Vec::new(),
            });
        }
        for index in 0..plan.jobs {
            let at = world.millis(500, 8_000);
            world.add_job(index);
            world.push(at, Event::Submit(index));
            if world.rng.random_bool(0.15) {
                let at = at + world.millis(50, 1_500);
                world.push(at, Event::Cancel(index));
            }
        }
        world
    }

    fn add_job(&mut self, index: usize) {
        let steps = self.rng.random_range(1..=2);
        let shape = |after: Vec<u16>, rng: &mut StdRng| Step {
            count: rng.random_range(1..=3),
            need: Resource {
                cpu: 1_000,
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
        self.submissions.push(Submission {
            job: Arc::new(Job {
                id: Id(index as u64 + 1),
                queue: "orders".into(),
                policy: terms(),
                specification: "text".into(),
                steps: all.into(),
                repeat: None,
                submitted: EPOCH,
            }),
            accepted: false,
            doubtful: false,
            cancelled: false,
        });
    }

    /// Draws cuts, pauses, restarts and crashes.
    fn schedule_faults(&mut self) {
        let count = self.rng.random_range(1..=5);
        for _ in 0..count {
            let at = self.millis(1_000, 7_000);
            let entry = self.rng.random_range(0..self.plan.entries);
            let site = self.rng.random_range(0..self.plan.workers);
            let until = (at + self.millis(300, 5_000)).min(FAULTS_END);
            let fault = match self.rng.random_range(0..7) {
                0 => Event::Pause { entry, until },
                1 => Event::Restart { entry },
                2 => Event::CutLog { entry, until },
                3 => Event::CutSite { entry, site, until },
                4 => Event::CutSiteFromAll { site, until },
                5 => Event::Crash { site },
                _ => Event::CutLeader { site, until },
            };
            self.push(at, fault);
        }
    }

    fn time(&self) -> Time {
        EPOCH + self.now
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

    fn push_after(&mut self, from: u64, to: u64, event: Event) {
        let delay = self.millis(from, to);
        self.push(self.now + delay, event);
    }

    /// Returns the service list.
    fn listing(&self) -> Vec<Listed> {
        let listed = |site: &Site| Listed {
            id: site.worker.id.as_str().into(),
            born: site.worker.born,
            host: Arc::clone(&site.host),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            labels: Box::default(),
            rack: "rack".into(),
            capacity: Resource {
                cpu: 1_000 * ROOM as u64,
                memory: 1_000,
                gpu: 0,
            },
            draining: None,
            clock: None,
        };
        self.sites.iter().map(listed).collect()
    }

    fn faulty(&self) -> bool {
        self.now < FAULTS_END
    }
}

fn terms() -> Policy {
    Policy {
        pool: "pool".into(),
        priority: 0,
        attempts: 3,
        stretch: 2_000,
        target: Duration::from_millis(600),
    }
}
