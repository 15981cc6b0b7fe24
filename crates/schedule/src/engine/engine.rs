//! State of the leader.

use crate::{
    Config, Note, Order, Rules,
    fleet::{
        Fleet,
        host, //
    },
    note::Kind,
    queue::{
        Pool,
        Queue,
        key, //
    },
    runner::{
        self,
        Runner, //
    },
    work::{
        self,
        Run,
        Work,
        run, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Terms, //
};
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// What a new leader has to respect of the former one.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Epoch of the new leader.
    pub epoch: u64,
    /// Until then, runs of former leaders may go on at runners that don't answer.
    pub runs_until: Time,
    /// When former leaders last ordered hosts.
    pub hosts: HashMap<Arc<str>, Time>,
}

/// What happens once the log holds a state.
#[derive(Clone, Copy, Debug)]
pub(super) enum Effect {
    /// A run may start.
    Start(run::Key),
    /// Ends of a runner up to a number may be acknowledged.
    Acknowledge(runner::Key, u64),
    /// A job that has ended may be dropped.
    Drop(work::Key),
    /// A host may be ordered.
    Order(host::Key),
}

/// State of the leader.
#[derive(Debug)]
pub struct Engine {
    pub(super) rules: Rules,
    pub(super) epoch: u64,
    /// Until then, runs of the former leader may go on at runners that don't answer.
    pub(super) inherited_until: Time,
    pub(super) queues: SlotMap<key::Queue, Queue>,
    pub(super) queue_index: HashMap<Arc<str>, key::Queue>,
    pub(super) pools: SlotMap<key::Pool, Pool>,
    pub(super) pool_index: HashMap<Arc<str>, key::Pool>,
    pub(super) runners: SlotMap<runner::Key, Runner>,
    pub(super) runner_index: HashMap<Arc<str>, runner::Key>,
    pub(super) works: SlotMap<work::Key, Work>,
    pub(super) work_index: HashMap<Id, work::Key>,
    pub(super) runs: SlotMap<run::Key, Run>,
    /// Jobs whose latest state the log lacks.
    pub(super) dirty: Vec<work::Key>,
    /// What happens once the records taken next are stored.
    pub(super) effects: Vec<Effect>,
    /// What happens once the records on their way to the log are stored; `None` if there are none.
    pub(super) storing: Option<Vec<Effect>>,
    /// Runs whose state is stored, but that could not be ordered yet.
    pub(super) startable: Vec<run::Key>,
    pub(super) fleet: Fleet,
    /// Hosts whose order is stored, but that could not be ordered yet.
    pub(super) orderable: Vec<host::Key>,
    pub(super) orders: Vec<Order>,
    pub(super) notes: Vec<Note>,
    /// When the tiers of jobs were last renewed.
    pub(super) tiered: Time,
    /// When slow runners were last looked for.
    pub(super) relieved: Time,
    /// A runner knows a later leader.
    pub(super) deposed: bool,
}

impl Engine {
    /// Makes the engine of a new leader, without jobs and runners.
    pub fn new(rules: Rules, takeover: Takeover, config: &Config, now: Time) -> Self {
        let mut engine = Self {
            rules,
            epoch: takeover.epoch,
            inherited_until: takeover.runs_until,
            queues: SlotMap::with_key(),
            queue_index: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_index: HashMap::new(),
            runners: SlotMap::with_key(),
            runner_index: HashMap::new(),
            works: SlotMap::with_key(),
            work_index: HashMap::new(),
            runs: SlotMap::with_key(),
            dirty: Vec::new(),
            effects: Vec::new(),
            storing: None,
            startable: Vec::new(),
            fleet: Fleet::new(takeover.hosts),
            orderable: Vec::new(),
            orders: Vec::new(),
            notes: Vec::new(),
            tiered: now,
            relieved: now,
            deposed: false,
        };
        engine.configure(config);
        engine
    }

    /// Takes a version of the configuration. Queues that it lacks keep their last terms for jobs that they hold.
    pub fn configure(&mut self, config: &Config) {
        for queue in self.queues.values_mut() {
            queue.configured = false;
        }
        for pool in &config.pools {
            let key = self.intern_pool(&pool.name);
            let known = &mut self.pools[key];
            known.guarded = pool.guarded;
            known.standby = pool.standby;
        }
        for queue in &config.queues {
            let key = self.intern_queue(&queue.name, &queue.terms);
            let pool = self.intern_pool(&queue.terms.pool);
            let known = &mut self.queues[key];
            known.pool = pool;
            known.priority = queue.terms.priority;
            known.attempts = queue.terms.attempts;
            known.stretch = queue.terms.stretch;
            known.target = queue.terms.target;
            known.advised = queue.advised;
            known.configured = true;
        }
        self.rank_all();
    }

    /// Takes the orders that have to be carried out.
    pub fn take_orders(&mut self) -> Vec<Order> {
        core::mem::take(&mut self.orders)
    }

    /// Takes the notes on what was decided.
    pub fn take_notes(&mut self) -> Vec<Note> {
        core::mem::take(&mut self.notes)
    }

    /// Tells whether a runner knows a later leader, so that this one has to give up.
    pub fn is_superseded(&self) -> bool {
        self.deposed
    }

    /// Returns the number of jobs under way, of runs, and of tasks that wait for a runner.
    pub fn counts(&self) -> (usize, usize, usize) {
        let ready = self.pools.values().map(|pool| pool.ready.len()).sum();
        (self.works.len(), self.runs.len(), ready)
    }

    pub(super) fn intern_pool(&mut self, name: &Arc<str>) -> key::Pool {
        let pools = &mut self.pools;
        *self
            .pool_index
            .entry(Arc::clone(name))
            .or_insert_with(|| pools.insert(Pool::new(Arc::clone(name))))
    }

    pub(super) fn intern_queue(&mut self, name: &Arc<str>, terms: &Terms) -> key::Queue {
        if let Some(&key) = self.queue_index.get(name) {
            return key;
        }
        let pool = self.intern_pool(&terms.pool);
        let key = self.queues.insert(Queue {
            name: Arc::clone(name),
            pool,
            priority: terms.priority,
            attempts: terms.attempts,
            stretch: terms.stretch,
            target: terms.target,
            advised: false,
            ratio: 100,
            configured: false,
        });
        self.queue_index.insert(Arc::clone(name), key);
        key
    }

    pub(super) fn mark_dirty(&mut self, key: work::Key) {
        if let Some(work) = self.works.get_mut(key)
            && !work.dirty
        {
            work.dirty = true;
            self.dirty.push(key);
        }
    }

    pub(super) fn note(&mut self, note: Note) {
        self.notes.push(note);
    }

    /// Makes a note about a run.
    pub(super) fn note_run(&mut self, kind: Kind, reason: &'static str, run: &Run, now: Time) {
        let mut note = Note::new(kind, reason, now)
            .with_task(run.name, run.attempt)
            .with_age(now.since(run.planned));
        if let Some(runner) = self.runners.get(run.runner) {
            note = note.with_place(&runner.id);
        }
        self.notes.push(note);
    }
}
