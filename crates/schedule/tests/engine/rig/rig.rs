//! An engine with runners and hosts that carry out its orders at once, in virtual time.

use super::fixture::{
    EPOCH,
    ROOM,
    config,
    job, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    prelude::*,
    record, //
};
use sassafrascrank_schedule::{
    config::Rules,
    engine::{
        Engine,
        Takeover, //
    },
    fleet::host,
    order::report::Report,
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
        BTreeSet, //
    },
    fmt::Write,
    sync::Arc,
};

/// Epoch of the first leader.
const EPOCH_OF_FIRST: u64 = 7;
/// Time between two decisions.
const TICK: Duration = Duration::from_millis(20);

/// A runner with what the service list says of it.
pub(crate) struct Site {
    /// The runner.
    pub(crate) worker: Worker,
    /// Its entry in the service list.
    pub(crate) listed: Listed,
}

/// An engine with runners and hosts.
pub(crate) struct Rig {
    /// The engine.
    pub(crate) engine: Engine,
    /// Time since the start.
    pub(crate) now: Duration,
    /// Runners by identity.
    pub(crate) sites: BTreeMap<String, Site>,
    /// Runners that can't be reached.
    pub(crate) cut: BTreeSet<String>,
    /// Runners on which tasks take this many times as long.
    pub(crate) slow: BTreeMap<String, u32>,
    /// Runners show no progress.
    pub(crate) frozen: bool,
    /// Hosts.
    pub(crate) hosts: Hosts,
    /// Response time in milliseconds that runners show for their tasks.
    pub(crate) load: BTreeMap<String, u64>,
    /// How long each task works; `None` for tasks that last.
    pub(crate) work: fn(&Task) -> Option<Duration>,
    /// Tasks whose attempts fail.
    pub(crate) fails: fn(&Task, u32, &str) -> bool,
    /// The latest progress of each job, as the log would hold it.
    pub(crate) log: BTreeMap<Id, Arc<Progress>>,
    /// The fold of the log.
    book: Book,
    rules: Rules,
    epoch: u64,
    /// Addresses of runners to which connections were closed.
    pub(crate) closed: Vec<SocketAddr>,
    /// Answers to orders to hosts.
    pub(crate) answers: Vec<Report>,
    /// Orders to hosts that will be carried out without an answer.
    pub(crate) mute_hosts: usize,
    /// Waves whose state was published.
    pub(crate) announced: Vec<(u64, bool)>,
    lines: String,
    shown: u64,
}

impl Rig {
    /// Makes a rig with runners in one pool, `racks` of them to a rack.
    pub(crate) fn new(runners: usize, racks: usize) -> Self {
        Self::build(runners, racks, Rules::default(), &[])
    }

    /// Makes a rig whose former leader ordered hosts so many milliseconds ago.
    pub(crate) fn with_ordered(runners: usize, hosts: &[(&str, u64)]) -> Self {
        Self::build(runners, 1, Rules::default(), hosts)
    }

    /// Makes a rig with its own rules, whose former leader ordered hosts so many milliseconds ago.
    pub(crate) fn with_rules(runners: usize, rules: Rules, hosts: &[(&str, u64)]) -> Self {
        Self::build(runners, 1, rules, hosts)
    }

    fn build(runners: usize, racks: usize, rules: Rules, ordered: &[(&str, u64)]) -> Self {
        let row = |(host, ago): &(&str, u64)| {
            let at = EPOCH - Duration::from_millis(*ago);
            (Arc::from(*host), at)
        };
        let takeover = Takeover {
            epoch: EPOCH_OF_FIRST,
            runs_until: Time::MIN,
            hosts: ordered.iter().map(row).collect(),
        };
        let engine = Engine::new(rules, takeover, &config(), EPOCH);
        let mut rig = Self {
            engine,
            now: Duration::ZERO,
            sites: BTreeMap::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            frozen: false,
            hosts: Hosts {
                move_time: Duration::from_millis(1_500),
                maintenance_time: Duration::from_millis(2_000),
                ..Hosts::default()
            },
            load: BTreeMap::new(),
            work: |_| Some(Duration::from_millis(300)),
            fails: |_, _, _| false,
            log: BTreeMap::new(),
            book: Book::default(),
            rules,
            epoch: EPOCH_OF_FIRST,
            closed: Vec::new(),
            answers: Vec::new(),
            mute_hosts: 0,
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
    pub(crate) fn add_runner(&mut self, id: &str, pool: &str, rack: &str) {
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
            .update_runner(Change::Set(site.listed.clone()), self.time());
        self.sites.insert(id.to_owned(), site);
    }

    /// Gives each host that many accelerators.
    pub(crate) fn set_accelerators(&mut self, count: u64) {
        let now = self.time();
        for site in self.sites.values_mut() {
            site.listed.capacity.gpu = count;
            self.engine
                .update_runner(Change::Set(site.listed.clone()), now);
        }
    }

    /// Returns what the log holds of a wave.
    pub(crate) fn stored_wave(&self, number: u64) -> Option<record::Wave> {
        self.book.waves().get(&number).cloned()
    }

    /// Lets each stop take that long.
    pub(crate) fn set_stop_time(&mut self, time: Duration) {
        for site in self.sites.values_mut() {
            site.worker.stop_time = time;
        }
    }

    /// Returns the number of runs that are being stopped.
    pub(crate) fn stopping(&self) -> usize {
        let runs = self.sites.values().flat_map(|site| &site.worker.runs);
        runs.filter(|run| run.stops.is_some()).count()
    }

    /// Returns the present time.
    pub(crate) fn time(&self) -> Time {
        EPOCH + self.now
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: u64, steps: Vec<Step>) -> Arc<Job> {
        let job = Arc::new(Job {
            submitted: self.time(),
            ..job(id, steps)
        });
        self.engine.add(Arc::clone(&job), self.time());
        let record = Record::Job(Arc::clone(&job));
        self.book.apply(0, record, self.time());
        job
    }

    /// Puts a new leader in the place of the present one. It knows what the log holds.
    pub(crate) fn take_over(&mut self) {
        let now = self.time();
        self.epoch += 1;
        let takeover = Takeover {
            epoch: self.epoch,
            runs_until: self.rules.lease_expiry(now + self.rules.tenure),
            hosts: self.book.ordered().clone(),
        };
        let mut engine = Engine::new(self.rules, takeover, &config(), now);
        for site in self.sites.values() {
            engine.update_runner(Change::Set(site.listed.clone()), now);
        }
        for (_, entry) in self.book.jobs() {
            engine.restore_job(entry, now, now);
        }
        self.engine = engine;
        self.mark("another leader");
    }

    /// Says in the service list that a runner leaves.
    pub(crate) fn drain(&mut self, id: &str) {
        let site = self.sites.get_mut(id).expect("the runner exists");
        site.listed.draining = Some(Duration::from_secs(2));
        let change = Change::Set(site.listed.clone());
        self.engine.update_runner(change, EPOCH + self.now);
    }

    /// Lets time pass, with a decision every 20 ms.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            self.decide();
        }
    }

    /// Lets the engine decide, and stores and carries out what it wants.
    pub(crate) fn decide(&mut self) {
        for name in self.hosts.advance(self.now) {
            self.come_back(&name);
        }
        let now = self.time();
        self.engine.tick(true, now, now);
        if let Some(records) = self.engine.take_records() {
            for record in records {
                self.book.apply(0, record.clone(), now);
                if let Record::Progress(progress) = record {
                    self.log.insert(progress.id, progress);
                }
            }
            self.engine.records_stored(now);
            self.engine.tick(true, now, now);
        }
        for order in self.engine.take_orders() {
            self.carry_out(order);
        }
        self.engine.take_notes();
    }

    /// Returns what was ordered and what came of it, one line each.
    pub(crate) fn timeline(&self) -> &str {
        &self.lines
    }

    /// Returns the tasks that run at a runner.
    pub(crate) fn running(&self, id: &str) -> Vec<String> {
        let runs = self.sites[id].worker.runs.iter();
        let mut names: Vec<String> = runs.map(|run| run.task.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Returns the pairs of runs of the same task that overlapped.
    pub(crate) fn overlaps(&self) -> usize {
        let ended = self.sites.values().flat_map(|site| &site.worker.history);
        let mut runs: Vec<_> = ended.map(|run| (&run.task, run.began, run.ended)).collect();
        let live = self.sites.values().flat_map(|site| &site.worker.runs);
        runs.extend(live.map(|run| (&run.task, run.began, Duration::MAX)));
        runs.sort_unstable();
        let overlap = |pair: &&[(&String, Duration, Duration)]| {
            pair[0].0 == pair[1].0 && pair[1].1 < pair[0].2
        };
        runs.windows(2).filter(overlap).count()
    }

    /// Returns the number of tasks that run anywhere.
    pub(crate) fn count(&self) -> usize {
        self.sites.values().map(|site| site.worker.runs.len()).sum()
    }

    /// Adds a line to the timeline.
    pub(crate) fn mark(&mut self, text: &str) {
        let _ = writeln!(self.lines, "{:>6} {text}", self.now.as_millis());
    }

    /// Ends the runner of a host that was ordered.
    pub(super) fn touch(&mut self, host: &str, pool: Option<&str>) {
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
            .update_runner(Change::Removed(id.as_str().into()), EPOCH + self.now);
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
            self.engine
                .update_runner(Change::Set(site.listed.clone()), time);
        }
    }

    pub(super) fn list_hosts(&self) -> Vec<host::Listed> {
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
                labels: site
                    .map(|site| site.listed.labels.clone())
                    .unwrap_or_default(),
                capacity: site.map(|site| site.listed.capacity).unwrap_or_default(),
                runner: site.filter(|_| up).map(|site| Arc::clone(&site.listed.id)),
            }
        };
        self.hosts.hosts.iter().map(row).collect()
    }
}
