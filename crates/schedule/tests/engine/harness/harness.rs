//! A test harness: an engine with simulated runners and hosts that execute its orders at once, in virtual time.

use super::{
    fault::Faults,
    fixture::{
        RUNNER_SLOTS,
        START_TIME,
        config,
        job, //
    },
};
use core::net::SocketAddr;
use sassafrascrank_base::{
    epoch,
    prelude::*, //
};
use sassafrascrank_job::{
    prelude::*,
    record, //
};
use sassafrascrank_schedule::{
    config::{
        Config,
        Rules, //
    },
    engine::{
        Engine,
        Permission,
        Takeover, //
    },
    fleet::host,
    note::{
        Kind,
        Note, //
    },
    order::{
        Envelope,
        Order,
        report::Report, //
    },
    runner::{
        Change,
        Listed, //
    },
};
use sassafrascrank_standin::cluster::{
    Hosts,
    Phase,
    Worker, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    fmt::Write,
    sync::Arc,
};

/// Identity of the entry that leads.
pub(super) const ENTRY: u64 = 7;
/// Epoch of the first leader.
const FIRST_EPOCH: u64 = epoch::next(None, ENTRY);
/// Time between two ticks of the engine.
pub(super) const TICK: Duration = Duration::from_millis(20);

/// A simulated runner and its entry in the service list.
pub(crate) struct TestRunner {
    /// The simulated runner.
    pub(crate) worker: Worker,
    /// Its entry in the service list.
    pub(crate) listed: Listed,
}

/// An engine with simulated runners and hosts.
pub(crate) struct Harness {
    /// The engine.
    pub(crate) engine: Engine,
    /// Configuration in force.
    pub(super) config: Config,
    /// What the leader may do.
    pub(crate) permission: Permission,
    /// Time since the start of the test.
    pub(crate) now: Duration,
    /// Runners by name.
    pub(crate) runners: BTreeMap<String, TestRunner>,
    /// Names of runners that can't be reached.
    pub(crate) unreachable: BTreeSet<String>,
    /// Whether polls get no answer. Other orders are answered.
    pub(crate) polls_unanswered: bool,
    /// Whether starts are carried out without an answer.
    pub(crate) starts_unanswered: bool,
    /// Factors by which tasks take longer on some runners.
    pub(crate) slowdown: BTreeMap<String, u32>,
    /// Whether runners report a constant progress.
    pub(crate) hide_progress: bool,
    /// Simulated hosts.
    pub(crate) hosts: Hosts,
    /// How long the tickets of the advice service are valid.
    pub(crate) ticket_lifetime: Duration,
    /// Tickets, each with the incarnation of the runner that it was given for, and its end.
    pub(super) tickets: Vec<(Arc<str>, u64, Duration)>,
    /// Latencies in milliseconds that runners report for tasks.
    pub(crate) load: BTreeMap<String, u64>,
    /// Shares in percent that were last ordered for tasks.
    pub(crate) shares: BTreeMap<String, u8>,
    /// Pairs of images that were found to interfere, or no longer do.
    pub(crate) contentions: Vec<String>,
    /// Duration of each task; `None` for a task that does not end.
    pub(crate) task_duration: fn(&Task) -> Option<Duration>,
    /// Whether an attempt of a task fails on a runner.
    pub(crate) fails: fn(&Task, u32, &str) -> bool,
    /// Latest progress of each job in the log.
    pub(crate) stored_progress: BTreeMap<Id, Arc<Progress>>,
    /// State that the log yields.
    pub(super) replica: Replica,
    /// Offset of the next record in the log.
    end: u64,
    pub(super) rules: Rules,
    pub(super) epoch: u64,
    /// Addresses to which connections were closed.
    pub(crate) closed: Vec<SocketAddr>,
    /// Reports on all orders.
    pub(crate) reports: Vec<Envelope<Report>>,
    /// The last order for the list of hosts.
    pub(super) list_order: Option<Envelope<Order>>,
    /// Number of next orders to hosts that are executed without an answer.
    pub(crate) unanswered_host_orders: usize,
    /// Published states of waves: number, and whether the wave is done.
    pub(crate) announced: Vec<(u64, bool)>,
    /// Reasons why jobs count as begun, each with the runner that has shown it.
    pub(crate) begun: Vec<String>,
    /// Calls that fail.
    pub(crate) faults: Faults,
    /// Largest amount of processor time that the runs of each account have needed at once.
    pub(super) peaks: BTreeMap<String, u64>,
    /// Account of each job, and what each of its tasks needs of the processor.
    pub(super) clients: BTreeMap<u64, (String, u64)>,
    lines: String,
    replacements: u64,
}

impl Harness {
    /// Creates a harness with runners in one pool, `racks` of them in each rack.
    pub(crate) fn new(runners: usize, racks: usize) -> Self {
        Self::build(runners, racks, Rules::default(), &[])
    }

    /// Creates a harness whose former leader gave orders to hosts, each the given number of milliseconds ago.
    pub(crate) fn with_former_orders(runners: usize, hosts: &[(&str, u64)]) -> Self {
        Self::build(runners, 1, Rules::default(), hosts)
    }

    /// Like [`with_former_orders`](Self::with_former_orders), with the given rules.
    pub(crate) fn with_rules(runners: usize, rules: Rules, hosts: &[(&str, u64)]) -> Self {
        Self::build(runners, 1, rules, hosts)
    }

    fn build(runners: usize, racks: usize, rules: Rules, ordered: &[(&str, u64)]) -> Self {
        let row = |(host, ago): &(&str, u64)| {
            let at = START_TIME - Duration::from_millis(*ago);
            (Arc::from(*host), at)
        };
        let takeover = Takeover {
            epoch: FIRST_EPOCH,
            runs_until: Time::MIN,
            observed: Time::MIN,
            hosts: ordered.iter().map(row).collect(),
            leases: HashMap::new(),
        };
        let engine = Engine::new(rules, takeover, &config(), START_TIME);
        let mut harness = Self {
            engine,
            config: config(),
            permission: Permission::Start,
            now: Duration::ZERO,
            runners: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            polls_unanswered: false,
            starts_unanswered: false,
            slowdown: BTreeMap::new(),
            hide_progress: false,
            hosts: Hosts {
                move_time: Duration::from_millis(1_500),
                maintenance_time: Duration::from_millis(2_000),
                ..Hosts::default()
            },
            ticket_lifetime: Duration::from_secs(3),
            tickets: Vec::new(),
            load: BTreeMap::new(),
            shares: BTreeMap::new(),
            contentions: Vec::new(),
            task_duration: |_| Some(Duration::from_millis(300)),
            fails: |_, _, _| false,
            stored_progress: BTreeMap::new(),
            replica: Replica::default(),
            end: 0,
            rules,
            epoch: FIRST_EPOCH,
            closed: Vec::new(),
            reports: Vec::new(),
            list_order: None,
            unanswered_host_orders: 0,
            announced: Vec::new(),
            begun: Vec::new(),
            faults: Faults::default(),
            peaks: BTreeMap::new(),
            clients: BTreeMap::new(),
            lines: String::new(),
            replacements: 0,
        };
        for index in 0..runners {
            harness.add_runner(
                &format!("r{index}"),
                "pool",
                &format!("rack{}", index / racks),
            );
        }
        harness
    }

    /// Adds a runner on a new host.
    pub(crate) fn add_runner(&mut self, id: &str, pool: &str, rack: &str) {
        let incarnation = self.time().as_millis();
        let listed = Listed {
            id: id.into(),
            incarnation,
            host: format!("host-{id}").into(),
            pool: pool.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            labels: vec![Arc::from("kind"), Arc::from(rack)].into(),
            rack: rack.into(),
            capacity: Resource {
                cpu: 1_000 * RUNNER_SLOTS,
                memory: 1_000 * RUNNER_SLOTS,
                gpu: 0,
            },
            draining: None,
            clock: None,
        };
        let worker = self.worker(id, incarnation);
        self.hosts.add(&listed.host, pool);
        let runner = TestRunner { worker, listed };
        self.engine
            .update_runner(Change::Set(runner.listed.clone()), self.time());
        self.runners.insert(id.to_owned(), runner);
    }

    /// Sets the number of accelerators of each runner.
    pub(crate) fn set_accelerators(&mut self, count: u64) {
        let now = self.time();
        for runner in self.runners.values_mut() {
            runner.listed.capacity.gpu = count;
            self.engine
                .update_runner(Change::Set(runner.listed.clone()), now);
        }
    }

    /// Returns the progress of a wave in the log.
    pub(crate) fn stored_wave(&self, number: u64) -> Option<record::Wave> {
        self.replica.waves().get(&number).cloned()
    }

    /// Sets the time that a run takes to stop.
    pub(crate) fn set_stop_time(&mut self, time: Duration) {
        for runner in self.runners.values_mut() {
            runner.worker.stop_time = time;
        }
    }

    /// Returns the number of runs that are being stopped.
    pub(crate) fn stopping(&self) -> usize {
        let runs = self.runners.values().flat_map(|runner| &runner.worker.runs);
        runs.filter(|run| run.stops_at.is_some()).count()
    }

    /// Returns the present time of day.
    pub(crate) fn time(&self) -> Time {
        START_TIME + self.now
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: u64, steps: Vec<Step>) -> Arc<Job> {
        self.submit_job(Job {
            account: None,
            submitted: self.time(),
            ..job(id, steps)
        })
    }

    /// Submits a job with settings of its own.
    pub(crate) fn submit_job(&mut self, job: Job) -> Arc<Job> {
        let job = Arc::new(job);
        self.engine.add(Arc::clone(&job), self.time());
        self.append(Record::Job(Arc::clone(&job)));
        job
    }

    /// Appends a record to the log.
    pub(super) fn append(&mut self, record: Record) {
        self.replica.apply(self.end, record, self.time());
        self.end += 1;
    }

    /// Stores that a former leader has just given an order to a host.
    pub(crate) fn store_host_order(&mut self, host: &str) {
        self.append(Record::HostOrder(record::HostOrder {
            epoch: self.epoch,
            host: host.into(),
            at: self.time(),
        }));
    }

    /// Returns the number of pending jobs that the log yields.
    pub(crate) fn pending(&self) -> u64 {
        self.replica.count("orders").pending
    }

    /// Returns the service list.
    pub(crate) fn service_list(&self) -> Vec<Listed> {
        let listed = self.runners.values().map(|runner| runner.listed.clone());
        listed.collect()
    }

    /// Lets the engine read the service list.
    pub(crate) fn list_runners(&mut self) {
        let now = self.time();
        for listed in self.service_list() {
            self.engine.update_runner(Change::Set(listed), now);
        }
    }

    /// Marks a runner as draining in the service list.
    pub(crate) fn drain(&mut self, id: &str) {
        let runner = self.runners.get_mut(id).expect("the runner exists");
        runner.listed.draining = Some(Duration::from_secs(2));
        let change = Change::Set(runner.listed.clone());
        self.engine.update_runner(change, START_TIME + self.now);
    }

    /// Runs the engine for the given number of milliseconds, with a tick every 20 ms.
    pub(crate) fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            self.decide();
        }
    }

    /// Runs a tick of the engine, stores its records and executes its orders.
    pub(crate) fn decide(&mut self) {
        for name in self.hosts.advance(self.now) {
            self.start_runner(&name);
        }
        let now = self.time();
        for report in self.faults.due(self.now) {
            self.deliver(report, Duration::ZERO);
        }
        self.engine.tick(self.permission, now, now);
        if let Some(records) = self.engine.take_records() {
            for record in records {
                self.append(record.clone());
                if let Record::Progress(progress) = record {
                    self.stored_progress.insert(progress.id, progress);
                }
            }
            self.engine.records_stored(now);
            self.engine.tick(self.permission, now, now);
        }
        for order in self.engine.take_orders() {
            self.execute(order);
        }
        self.record_peaks();
        let notes = self.engine.take_notes();
        for note in &notes {
            self.faults.keep(note, self.now);
        }
        let time = self.now.as_millis();
        let changes = notes.iter().filter_map(|note| {
            let change = note.contention.as_ref()?;
            let (affected, beside) = (&change.affected, &change.beside);
            Some(format!("{time} {} {affected} beside {beside}", note.reason))
        });
        self.contentions.extend(changes);
        let begun = notes.into_iter().filter(|note| note.kind == Kind::JobBegun);
        let line = |note: Note| {
            let place = note.place.as_deref().unwrap_or_default();
            format!("{} {place}", note.reason)
        };
        self.begun.extend(begun.map(line));
    }

    /// Returns the orders and their results, one line for each, after the time in milliseconds.
    pub(crate) fn timeline(&self) -> &str {
        &self.lines
    }

    /// Returns the tasks that run on a runner, sorted.
    pub(crate) fn running(&self, id: &str) -> Vec<String> {
        let runs = self.runners[id].worker.runs.iter();
        let mut names: Vec<String> = runs.map(|run| run.task.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Returns the number of pairs of runs of the same task that overlapped in time.
    pub(crate) fn overlaps(&self) -> usize {
        let ended = self
            .runners
            .values()
            .flat_map(|runner| &runner.worker.history);
        let mut runs: Vec<_> = ended.map(|run| (&run.task, run.began, run.ended)).collect();
        let live = self.runners.values().flat_map(|runner| &runner.worker.runs);
        runs.extend(live.map(|run| (&run.task, run.began, Duration::MAX)));
        runs.sort_unstable();
        let overlap = |pair: &&[(&String, Duration, Duration)]| {
            pair[0].0 == pair[1].0 && pair[1].1 < pair[0].2
        };
        runs.windows(2).filter(overlap).count()
    }

    /// Returns the number of runs on all runners.
    pub(crate) fn running_count(&self) -> usize {
        self.runners
            .values()
            .map(|runner| runner.worker.runs.len())
            .sum()
    }

    /// Adds a line to the timeline.
    pub(crate) fn add_line(&mut self, text: &str) {
        let _ = writeln!(self.lines, "{:>6} {text}", self.now.as_millis());
    }

    /// Ends the runner of a host that was ordered to move or to begin its maintenance, and prepares the next one.
    pub(super) fn replace_runner(&mut self, host: &str, pool: Option<&str>) {
        let runner = self
            .runners
            .iter()
            .find(|(_, runner)| *runner.listed.host == *host);
        let Some(id) = runner.map(|(id, _)| id.clone()) else {
            return;
        };
        let incarnation = self.later_incarnation(&id, self.hosts.move_time);
        let mut runner = self.runners.remove(&id).expect("it was just found");
        for run in &runner.worker.runs {
            let text = format!("killed {} at {id}", &run.task[17..]);
            let _ = writeln!(self.lines, "{:>6} {text}", self.now.as_millis());
        }
        runner.worker.terminate(self.now);
        if let Some(pool) = pool {
            runner.listed.pool = pool.into();
        }
        self.replacements += 1;
        runner.listed.incarnation = incarnation;
        runner.listed.id = format!("{id}+").into();
        self.runners.insert(format!("{id}+"), runner);
        self.engine
            .update_runner(Change::Removed(id.as_str().into()), START_TIME + self.now);
    }

    /// Starts the new runner of a host that is up again and adds it to the service list.
    fn start_runner(&mut self, host: &str) {
        let now = self.now;
        let standby = self.hosts.hosts[host].pool == "standby";
        let time = self.time();
        if let Some(runner) = self
            .runners
            .values_mut()
            .find(|runner| *runner.listed.host == *host)
            && !standby
        {
            let id = runner.listed.id.to_string();
            runner.worker = Worker::new(&id, runner.listed.incarnation, 64, 1_000, now);
            self.engine
                .update_runner(Change::Set(runner.listed.clone()), time);
        }
    }

    pub(crate) fn list_hosts(&self) -> Vec<host::Listed> {
        let row = |(name, value): (&String, &sassafrascrank_standin::cluster::Host)| {
            let runner = self
                .runners
                .values()
                .find(|runner| *runner.listed.host == **name);
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
                labels: runner
                    .map(|runner| runner.listed.labels.clone())
                    .unwrap_or_default(),
                capacity: runner
                    .map(|runner| runner.listed.capacity)
                    .unwrap_or_default(),
                runner: runner
                    .filter(|_| up)
                    .map(|runner| Arc::clone(&runner.listed.id)),
            }
        };
        self.hosts.hosts.iter().map(row).collect()
    }
}
