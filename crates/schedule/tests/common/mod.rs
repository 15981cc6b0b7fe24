//! An engine with runners and hosts that carry out its orders at once, in virtual time.

use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use sassafrascrank_schedule::{
    config::{
        self,
        Config,
        Rules, //
    },
    engine::{
        Engine,
        Succession, //
    },
    fleet::host,
    order::{
        Order, Target,
        report::{
            Answer,
            Ended,
            Failure,
            How,
            Report,
            Running,
            View, //
        },
    },
    runner::{
        Change,
        Listed, //
    },
};
use sassafrascrank_standin::cluster::{
    Hosts,
    Phase,
    Refused,
    Start,
    Worker, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::Write,
    sync::Arc,
};

/// Start of each test as a time of day.
pub const EPOCH: Time = Time::from_millis(1_700_000_000_000);
/// Time between two decisions.
const TICK: Duration = Duration::from_millis(20);
/// Tasks that a runner holds at once.
pub const ROOM: u64 = 4;

/// A runner with what the service list says of it.
pub struct Site {
    /// The runner.
    pub worker: Worker,
    /// Its entry in the service list.
    pub listed: Listed,
}

/// An engine with runners and hosts.
pub struct Rig {
    /// The engine.
    pub engine: Engine,
    /// Time since the start.
    pub now: Duration,
    /// Runners by identity.
    pub sites: BTreeMap<String, Site>,
    /// Runners that can't be reached.
    pub cut: BTreeSet<String>,
    /// Hosts.
    pub hosts: Hosts,
    /// Response time in milliseconds that runners show for their tasks.
    pub load: BTreeMap<String, u64>,
    /// How long each task works; `None` for tasks that last.
    pub work: fn(&Task) -> Option<Duration>,
    /// Tasks whose attempts fail.
    pub fails: fn(&Task, u32, &str) -> bool,
    /// The latest progress of each job, as the log would hold it.
    pub log: BTreeMap<Id, Arc<Progress>>,
    /// Waves whose state was published.
    pub announced: Vec<(u64, bool)>,
    lines: String,
    shown: u64,
}

impl Rig {
    /// Makes a rig with runners in one pool, `racks` of them to a rack.
    pub fn new(runners: usize, racks: usize) -> Self {
        Self::build(runners, racks, &[])
    }

    /// Makes a rig whose former leader ordered hosts so many milliseconds ago.
    pub fn with_ordered(runners: usize, hosts: &[(&str, u64)]) -> Self {
        Self::build(runners, 1, hosts)
    }

    fn build(runners: usize, racks: usize, ordered: &[(&str, u64)]) -> Self {
        let row = |(host, ago): &(&str, u64)| {
            let at = EPOCH - Duration::from_millis(*ago);
            (Arc::from(*host), at)
        };
        let succession = Succession {
            epoch: 7,
            runs_until: Time::MIN,
            hosts: ordered.iter().map(row).collect(),
        };
        let engine = Engine::new(Rules::default(), succession, &config(), EPOCH);
        let mut rig = Self {
            engine,
            now: Duration::ZERO,
            sites: BTreeMap::new(),
            cut: BTreeSet::new(),
            hosts: Hosts {
                move_time: Duration::from_millis(1_500),
                maintenance_time: Duration::from_millis(2_000),
                ..Hosts::default()
            },
            load: BTreeMap::new(),
            work: |_| Some(Duration::from_millis(300)),
            fails: |_, _, _| false,
            log: BTreeMap::new(),
            announced: Vec::new(),
            lines: String::new(),
            shown: 0,
        };
        for index in 0..runners {
            rig.add_runner(
                &format!("r{index}"),
                "pool",
                &format!("rack{}", index / racks),
            );
        }
        rig
    }

    /// Adds a runner on a host of its own.
    pub fn add_runner(&mut self, id: &str, pool: &str, rack: &str) {
        let born = 1 + self.sites.len() as u64;
        let listed = Listed {
            id: id.into(),
            born,
            host: format!("host-{id}").into(),
            pool: pool.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            labels: vec![Arc::from("kind"), Arc::from(rack)].into(),
            rack: rack.into(),
            capacity: Resource {
                cpu: 1_000 * ROOM,
                memory: 1_000 * ROOM,
                gpu: 0,
            },
            draining: None,
            clock: None,
        };
        let worker = Worker::new(id, born, 64, 1_000, self.now);
        self.hosts.add(&listed.host, pool);
        let site = Site { worker, listed };
        self.engine
            .list(Change::Set(site.listed.clone()), self.time());
        self.sites.insert(id.to_owned(), site);
    }

    /// Returns the present time.
    pub fn time(&self) -> Time {
        EPOCH + self.now
    }

    /// Submits a job.
    pub fn submit(&mut self, id: u64, steps: Vec<Step>) -> Arc<Job> {
        let job = Arc::new(Job {
            submitted: self.time(),
            ..job(id, steps)
        });
        self.engine.add(Arc::clone(&job), self.time());
        job
    }

    /// Says in the service list that a runner leaves.
    pub fn drain(&mut self, id: &str) {
        let site = self.sites.get_mut(id).expect("the runner exists");
        site.listed.draining = Some(Duration::from_secs(2));
        let change = Change::Set(site.listed.clone());
        self.engine.list(change, EPOCH + self.now);
    }

    /// Lets time pass, with a decision every 20 ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            self.decide();
        }
    }

    /// Lets the engine decide, and stores and carries out what it wants.
    pub fn decide(&mut self) {
        for name in self.hosts.advance(self.now) {
            self.come_back(&name);
        }
        let now = self.time();
        self.engine.tick(true, now, now);
        if let Some(records) = self.engine.cut(now) {
            for record in records {
                if let Record::Progress(progress) = record {
                    self.log.insert(progress.id, progress);
                }
            }
            self.engine.stored(now);
            self.engine.tick(true, now, now);
        }
        for order in self.engine.take_orders() {
            self.carry_out(order);
        }
        self.engine.take_notes();
    }

    /// Returns what was ordered and what came of it, one line each.
    pub fn timeline(&self) -> &str {
        &self.lines
    }

    /// Returns the tasks that run at a runner.
    pub fn running(&self, id: &str) -> Vec<String> {
        let runs = self.sites[id].worker.runs.iter();
        let mut names: Vec<String> = runs.map(|run| run.task.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Returns the number of tasks that run anywhere.
    pub fn count(&self) -> usize {
        self.sites.values().map(|site| site.worker.runs.len()).sum()
    }

    /// Adds a line to the timeline.
    pub fn mark(&mut self, text: &str) {
        let _ = writeln!(self.lines, "{:>6} {text}", self.now.as_millis());
    }

    fn carry_out(&mut self, order: Order) {
        let sent = self.time();
        let now = self.now;
        let cut = self.cut.clone();
        let reached = |target: &Target| !cut.contains(&*target.id);
        let report = match order {
            Order::Start(start) => {
                let work = (self.work)(&start.task);
                let fails = (self.fails)(&start.task, start.attempt, &start.target.id);
                let order = Start {
                    task: start.task.to_string(),
                    attempt: start.attempt,
                    until: start.until,
                    fence: start.target.fence,
                    work,
                    fails,
                };
                let reach = reached(&start.target);
                let (clock, result) = self.ask(&start.target, reach, |worker| {
                    worker.start(order, now).map_err(failure)
                });
                let text = format!(
                    "start {}#{} at {} -> {}",
                    short(&start.task),
                    start.attempt,
                    start.target.id,
                    word(&result)
                );
                self.mark(&text);
                Report::Start {
                    run: start.run,
                    answer: Answer {
                        sent,
                        clock,
                        result,
                    },
                }
            }
            Order::Stop(stop) => {
                let task = stop.task.to_string();
                let reach = reached(&stop.target);
                let (clock, result) = self.ask(&stop.target, reach, |worker| {
                    let fence = stop.target.fence;
                    worker
                        .stop(&task, stop.attempt, fence, now)
                        .map_err(failure)
                });
                let text = format!(
                    "stop {}#{} at {} -> {}",
                    short(&stop.task),
                    stop.attempt,
                    stop.target.id,
                    word(&result)
                );
                self.mark(&text);
                Report::Stop {
                    run: stop.run,
                    runner: stop.target.runner,
                    answer: Answer {
                        sent,
                        clock,
                        result,
                    },
                }
            }
            Order::Look(look) => {
                let load = self.load.clone();
                let reach = reached(&look.target);
                let (clock, result) = self.ask(&look.target, reach, |worker| {
                    let fence = look.target.fence;
                    let held = worker.hold(look.until, fence, look.acknowledged, now);
                    held.map(|()| view(worker, &load, now)).map_err(failure)
                });
                Report::Look {
                    runner: look.target.runner,
                    acknowledged: look.acknowledged,
                    answer: Answer {
                        sent,
                        clock,
                        result,
                    },
                }
            }
            Order::Pace(pace) => {
                let text = format!(
                    "pace {}#{} at {} to {}",
                    short(&pace.task),
                    pace.attempt,
                    pace.target.id,
                    pace.percent
                );
                self.mark(&text);
                Report::Pace {
                    run: pace.run,
                    percent: pace.percent,
                    answer: Answer {
                        sent,
                        clock: None,
                        result: Ok(()),
                    },
                }
            }
            Order::Advise { step, runners, .. } => {
                self.mark(&format!("ask about {} runners", runners.len()));
                // Every second runner is approved.
                let rows = runners.into_iter().step_by(2);
                let rows = rows.map(|id| (Arc::clone(&id), Arc::from(format!("ticket-{id}"))));
                Report::Advice {
                    step,
                    approved: Some((rows.collect(), Duration::from_secs(3))),
                }
            }
            Order::Hosts => Report::Hosts(Some(self.list_hosts())),
            Order::Move {
                host, name, pool, ..
            } => {
                let moved = self.hosts.relocate(&name, &pool, ("leader", 7), now);
                self.mark(&format!("move {name} to {pool} -> {moved:?}"));
                self.touch(&name, Some(&pool));
                Report::Host {
                    host,
                    outcome: outcome(moved),
                }
            }
            Order::Maintain {
                host, name, wave, ..
            } => {
                let begun = self.hosts.maintain(&name, wave, ("leader", 7), now);
                self.mark(&format!("maintain {name} -> {begun:?}"));
                self.touch(&name, None);
                Report::Host {
                    host,
                    outcome: outcome(begun),
                }
            }
            Order::Announce { wave, done } => {
                self.announced.push((wave, done));
                return;
            }
        };
        self.engine.report(report, sent);
    }

    fn ask<T>(
        &mut self,
        target: &Target,
        reached: bool,
        act: impl FnOnce(&mut Worker) -> Result<T, Failure>,
    ) -> (Option<u64>, Result<T, Failure>) {
        if !reached {
            return (None, Err(Failure::Unknown));
        }
        match self.sites.get_mut(&*target.id) {
            Some(site) => {
                let result = act(&mut site.worker);
                (Some(site.worker.clock(self.now)), result)
            }
            None => (None, Err(Failure::Replaced)),
        }
    }

    /// Ends the runner of a host that was ordered.
    fn touch(&mut self, host: &str, pool: Option<&str>) {
        let site = self
            .sites
            .iter()
            .find(|(_, site)| *site.listed.host == *host);
        let Some(id) = site.map(|(id, _)| id.clone()) else {
            return;
        };
        let mut site = self.sites.remove(&id).expect("it was just found");
        for run in &site.worker.runs {
            let text = format!("killed {} at {id}", &run.task[17..]);
            let _ = writeln!(self.lines, "{:>6} {text}", self.now.as_millis());
        }
        site.worker.die(self.now);
        if let Some(pool) = pool {
            site.listed.pool = pool.into();
        }
        self.shown += 1;
        site.listed.born += 100;
        site.listed.id = format!("{id}+").into();
        self.sites.insert(format!("{id}+"), site);
        self.engine
            .list(Change::Removed(id.as_str().into()), EPOCH + self.now);
    }

    /// Lists the new runner of a host that has come back.
    fn come_back(&mut self, host: &str) {
        let now = self.now;
        let standby = self.hosts.hosts[host].pool == "standby";
        let time = self.time();
        if let Some(site) = self
            .sites
            .values_mut()
            .find(|site| *site.listed.host == *host)
            && !standby
        {
            let id = site.listed.id.to_string();
            site.worker = Worker::new(&id, site.listed.born, 64, 1_000, now);
            self.engine.list(Change::Set(site.listed.clone()), time);
        }
    }

    fn list_hosts(&self) -> Vec<host::Listed> {
        let row = |(name, value): (&String, &sassafrascrank_standin::cluster::Host)| {
            let site = self.sites.values().find(|site| *site.listed.host == **name);
            let up = value.phase == Phase::Up && value.pool != "standby";
            host::Listed {
                name: name.as_str().into(),
                pool: value.pool.as_str().into(),
                state: match value.phase {
                    Phase::Up => host::State::Up,
                    Phase::Moving(_) => host::State::Moving,
                    Phase::Maintenance(_) => host::State::Maintenance,
                },
                zone: "zone".into(),
                kind: "kind".into(),
                capacity: site.map(|site| site.listed.capacity).unwrap_or_default(),
                runner: site.filter(|_| up).map(|site| Arc::clone(&site.listed.id)),
            }
        };
        self.hosts.hosts.iter().map(row).collect()
    }
}

/// Returns the configuration of all tests: a pool, another one, and one whose hosts are switched off.
pub fn config() -> Config {
    let pool = |name: &str, standby| config::Pool {
        name: name.into(),
        guarded: false,
        standby,
    };
    let queue = |name: &str, pool: &str, priority, advised| config::Queue {
        name: name.into(),
        host: "h".into(),
        path: format!("/{name}/").into(),
        terms: Terms {
            priority,
            ..terms(pool)
        },
        advised,
    };
    Config {
        version: 1,
        queues: vec![
            queue("orders", "pool", 1, false),
            queue("urgent", "pool", 0, false),
            queue("advised", "pool", 1, true),
            queue("others", "other", 1, false),
        ],
        pools: vec![
            pool("pool", false),
            pool("other", false),
            pool("standby", true),
        ],
    }
}

/// Returns the terms of a queue of a pool.
pub fn terms(pool: &str) -> Terms {
    Terms {
        pool: pool.into(),
        priority: 1,
        attempts: 2,
        stretch: 1_600,
        target: Duration::from_millis(600),
    }
}

/// Returns a job of the queue `orders`.
pub fn job(id: u64, steps: Vec<Step>) -> Job {
    Job {
        id: Id(id),
        queue: "orders".into(),
        terms: terms("pool"),
        specification: "text".into(),
        steps: steps.into(),
        repeat: None,
        submitted: EPOCH,
    }
}

/// Returns a step of tasks that take one core each.
pub fn step(count: u16) -> Step {
    Step {
        count,
        need: Resource {
            cpu: 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate: Duration::from_millis(300),
        ..Step::default()
    }
}

fn short(task: &Task) -> String {
    let position = task.position;
    format!(
        "{:x}.{}.{}.{}",
        task.job.0, position.occurrence, position.step, position.index
    )
}

fn word<T>(result: &Result<T, Failure>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(failure) => failure.as_str(),
    }
}

fn failure(refused: Refused) -> Failure {
    match refused {
        Refused::Fence => Failure::Fenced,
        Refused::Old => Failure::Old,
        Refused::Late => Failure::Late,
        Refused::Room => Failure::Room,
    }
}

fn outcome(done: Option<bool>) -> host::Outcome {
    match done {
        Some(true) => host::Outcome::Done,
        Some(false) => host::Outcome::Busy,
        None => host::Outcome::Rejected,
    }
}

fn view(worker: &Worker, load: &BTreeMap<String, u64>, now: Duration) -> View {
    let task = |name: &str| Task::try_from(name).expect("the worker keeps names as they are");
    // A task that lasts is at work half a second after its start.
    let at_work = |began: Duration| now >= began + Duration::from_millis(500);
    let running = worker.runs.iter().map(|run| Running {
        task: task(&run.task),
        attempt: run.attempt,
        checkpoint: None,
        percent: if at_work(run.began) { 100 } else { 0 },
        load: load.get(&run.task).copied().unwrap_or_default(),
    });
    let ended = worker.ends.iter().map(|end| Ended {
        number: end.number,
        task: task(&end.task),
        attempt: end.attempt,
        how: match end.how {
            "done" => How::Done,
            "failed" => How::Failed,
            "lapsed" => How::Lapsed,
            _ => How::Stopped,
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
