//! The engine: state of the scheduler on the leader.

use super::{
    crash::Crash,
    late, //
};
use crate::{
    Config, Note, Order, Rules,
    account::{
        self,
        Account,
        Strays, //
    },
    contention,
    fleet::{
        Fleet,
        Rate,
        host, //
    },
    job::{
        self,
        ActiveJob,
        Run,
        TaskKey,
        run, //
    },
    note::Kind,
    order::Envelope,
    queue::{
        Pool,
        Queue,
        key, //
    },
    runner::{
        self,
        Former,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Policy,
    progress::Suspicion,
    record, //
};
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// What a new leader takes over from former leaders.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Epoch of the new leader.
    pub epoch: u64,
    /// Time until which runs of former leaders may be alive on runners that do not answer.
    pub runs_until: Time,
    /// When a former leader was last observed to write to the log. It orders a start only once the log has it.
    pub observed: Time,
    /// When former leaders last gave an order to each host.
    pub hosts: HashMap<Arc<str>, Time>,
    /// For runners that have started again under their names, the latest time at which a lease can end that they have granted
    /// to orders for earlier incarnations.
    pub leases: HashMap<Arc<str>, Time>,
}

/// What happens once the log has the records of a decision.
#[derive(Clone, Copy, Debug)]
pub(super) enum Effect {
    /// The run may start.
    Start(run::Key),
    /// The ends of a runner up to the number may be acknowledged.
    Acknowledge(runner::Key, u64),
    /// The job, which has ended, may be removed.
    Drop(job::Key),
    /// The order to the host may be given.
    Order(host::Key),
}

/// The engine: state of the scheduler on the leader.
#[derive(Debug)]
pub struct Engine {
    pub(super) rules: Rules,
    pub(super) epoch: u64,
    /// Time until which runs of former leaders may be alive on runners that do not answer.
    pub(super) former_runs_until: Time,
    /// When a former leader was last observed to write to the log.
    pub(super) former_observed: Time,
    pub(super) queues: SlotMap<key::Queue, Queue>,
    pub(super) queue_index: HashMap<Arc<str>, key::Queue>,
    pub(super) pools: SlotMap<key::Pool, Pool>,
    pub(super) pool_index: HashMap<Arc<str>, key::Pool>,
    pub(super) runners: SlotMap<runner::Key, Runner>,
    pub(super) runner_index: HashMap<Arc<str>, runner::Key>,
    /// Removed incarnations of runners by their names.
    pub(super) formers: HashMap<Arc<str>, Former>,
    /// Highest generation of an incarnation that was removed and forgotten. It may still be alive, so orders under its name
    /// have no lower one.
    pub(super) forgotten_generation: u16,
    /// Bounds of leases by the clocks of earlier incarnations that the log lacks.
    pub(super) unstored_leases: Vec<record::Lease>,
    pub(super) accounts: SlotMap<account::Key, Account>,
    pub(super) account_index: HashMap<Arc<str>, account::Key>,
    /// Keys of the accounts by their slots.
    pub(super) account_slots: Vec<account::Key>,
    /// Whether the present configuration has accounts.
    pub(super) has_accounts: bool,
    /// Whether any account has a cap.
    pub(super) has_caps: bool,
    /// Whether tasks of accounts with a cap may start.
    pub(super) starts_capped: bool,
    /// Submissions of jobs of former leaders, until the first tick.
    pub(super) submissions: Vec<(Time, Id, account::Key, Option<job::Key>)>,
    /// Runs that were given up and still count against their accounts.
    pub(super) strays: Strays,
    pub(super) jobs: SlotMap<job::Key, ActiveJob>,
    pub(super) job_index: HashMap<Id, job::Key>,
    pub(super) runs: SlotMap<run::Key, Run>,
    /// Starts that may still be carried out although their runs were given up.
    pub(super) late_starts: Vec<late::Start>,
    /// Number of such starts that were not kept since there were too many.
    pub(super) unkept_starts: u32,
    /// Suspected crashes; at most [`CRASH_LIMIT`] for each task.
    ///
    /// [`CRASH_LIMIT`]: super::crash::CRASH_LIMIT
    pub(super) suspicions: Vec<(TaskKey, Suspicion)>,
    /// Crashes of runners in the time of this leader, the latest ones.
    pub(super) crashes: Vec<Crash>,
    /// Tasks of which it is open whether they crash their runners, until their pauses end.
    pub(super) open_findings: Vec<TaskKey>,
    /// Jobs whose latest state the log lacks.
    pub(super) dirty: Vec<job::Key>,
    /// Effects of decisions whose records were not taken yet.
    pub(super) effects: Vec<Effect>,
    /// Effects of decisions whose records are being appended to the log; `None` if none are.
    pub(super) storing: Option<Vec<Effect>>,
    /// Runs that are in the log and whose start was not ordered yet.
    pub(super) startable: Vec<run::Key>,
    pub(super) fleet: Fleet,
    /// Hosts whose order is in the log and was not given yet.
    pub(super) orderable: Vec<host::Key>,
    pub(super) orders: Vec<Order>,
    pub(super) notes: Vec<Note>,
    /// When the tiers of jobs were last updated.
    pub(super) tiers_updated: Time,
    /// When the last tick was.
    pub(super) ticked_at: Time,
    /// When this process went on after it had stood still, until it has caught up.
    pub(super) resumed_at: Option<Time>,
    /// When slow runners were last searched for.
    pub(super) stragglers_checked: Time,
    /// Number of the last search among those that together cover all runners.
    pub(super) straggler_round: usize,
    /// Which images slow each other down. It changes within seconds, so a new leader learns it anew.
    pub(super) contention: contention::Table,
    /// When tasks to move away from others were last searched for.
    pub(super) separation_checked: Time,
    /// The runner at which that search has ended.
    pub(super) separation_end: runner::Key,
    /// Whether a runner or the host service rejected an order because of a later leader.
    pub(super) superseded: bool,
}

impl Engine {
    /// Creates the engine of a new leader, without jobs and runners.
    pub fn new(rules: Rules, takeover: Takeover, config: &Config, now: Time) -> Self {
        let formers = takeover.leases.into_iter();
        let formers = formers
            .filter(|(_, lease_until)| *lease_until > now)
            .map(|(id, lease_until)| (id, Former::of_former_leader(lease_until, now)));
        let mut engine = Self {
            rules,
            epoch: takeover.epoch,
            former_runs_until: takeover.runs_until,
            former_observed: takeover.observed,
            queues: SlotMap::with_key(),
            queue_index: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_index: HashMap::new(),
            runners: SlotMap::with_key(),
            runner_index: HashMap::new(),
            formers: formers.collect(),
            forgotten_generation: 0,
            unstored_leases: Vec::new(),
            accounts: SlotMap::with_key(),
            account_index: HashMap::new(),
            account_slots: Vec::new(),
            has_accounts: false,
            has_caps: false,
            starts_capped: true,
            submissions: Vec::new(),
            strays: Strays::default(),
            jobs: SlotMap::with_key(),
            job_index: HashMap::new(),
            runs: SlotMap::with_key(),
            late_starts: Vec::new(),
            unkept_starts: 0,
            suspicions: Vec::new(),
            crashes: Vec::new(),
            open_findings: Vec::new(),
            dirty: Vec::new(),
            effects: Vec::new(),
            storing: None,
            startable: Vec::new(),
            fleet: Fleet::new(takeover.hosts, Rate::new(rules.host_orders_per_second, now)),
            orderable: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
            tiers_updated: now,
            ticked_at: now,
            resumed_at: None,
            stragglers_checked: now,
            straggler_round: 0,
            contention: contention::Table::default(),
            separation_checked: now,
            separation_end: runner::Key::default(),
            superseded: false,
        };
        engine.configure(config);
        engine
    }

    /// Applies a version of the configuration. Queues that it lacks keep their last policy for the jobs that they have.
    pub fn configure(&mut self, config: &Config) {
        for queue in self.queues.values_mut() {
            queue.configured = false;
        }
        for pool in &config.pools {
            let key = self.intern_pool(&pool.name);
            let known = &mut self.pools[key];
            known.guarded = pool.guarded;
            known.standby = pool.standby;
            known.named = true;
        }
        for queue in &config.queues {
            let key = self.intern_queue(&queue.name, &queue.policy);
            let pool = self.intern_pool(&queue.policy.pool);
            self.pools[pool].named = true;
            let known = &mut self.queues[key];
            known.pool = pool;
            known.priority = queue.policy.priority;
            known.attempts = queue.policy.attempts;
            known.stretch = queue.policy.stretch;
            known.target = queue.policy.target;
            known.advised = queue.advised;
            known.configured = true;
        }
        self.configure_accounts(config);
        self.rank_all();
    }

    /// Takes the orders that the caller has to carry out.
    pub fn take_orders(&mut self) -> Vec<Envelope<Order>> {
        let orders = core::mem::take(&mut self.orders);
        let enclose = |order| Envelope::new(self.epoch, order);
        orders.into_iter().map(enclose).collect()
    }

    /// Takes the notes on decisions and events.
    pub fn take_notes(&mut self) -> Vec<Note> {
        core::mem::take(&mut self.notes)
    }

    /// Returns whether an order was rejected because of a later leader, so that this one has to resign.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the number of active jobs, of runs, and of waiting tasks.
    pub fn counts(&self) -> (usize, usize, usize) {
        let ready = self.pools.values().map(|pool| pool.ready.len()).sum();
        (self.jobs.len(), self.runs.len(), ready)
    }

    pub(super) fn intern_pool(&mut self, name: &Arc<str>) -> key::Pool {
        let pools = &mut self.pools;
        *self
            .pool_index
            .entry(Arc::clone(name))
            .or_insert_with(|| pools.insert(Pool::new(Arc::clone(name))))
    }

    pub(super) fn intern_queue(&mut self, name: &Arc<str>, policy: &Policy) -> key::Queue {
        if let Some(&key) = self.queue_index.get(name) {
            return key;
        }
        let pool = self.intern_pool(&policy.pool);
        self.pools[pool].named = true;
        let key = self.queues.insert(Queue {
            name: Arc::clone(name),
            pool,
            priority: policy.priority,
            attempts: policy.attempts,
            stretch: policy.stretch,
            target: policy.target,
            advised: false,
            ratio_percent: 100,
            configured: false,
        });
        self.queue_index.insert(Arc::clone(name), key);
        key
    }

    /// Returns the state of a task of an active job.
    pub(super) fn task_mut(&mut self, task: TaskKey) -> Option<&mut job::Task> {
        let active = self.jobs.get_mut(task.job_key)?;
        active.task_mut(task.occurrence, task.step, task.index)
    }

    pub(super) fn mark_dirty(&mut self, key: job::Key) {
        if let Some(active) = self.jobs.get_mut(key)
            && !active.dirty
        {
            active.dirty = true;
            self.dirty.push(key);
        }
    }

    pub(super) fn note(&mut self, note: Note) {
        self.notes.push(note);
    }

    /// Adds a note about a run.
    pub(super) fn note_run(&mut self, kind: Kind, reason: &'static str, run: &Run, now: Time) {
        let mut note = Note::new(kind, reason, now)
            .with_task(run.task_id, run.attempt)
            .with_age(now.since(run.planned));
        if let Some(runner) = self.runners.get(run.runner) {
            note = note.with_place(&runner.id);
        }
        self.notes.push(note);
    }
}
