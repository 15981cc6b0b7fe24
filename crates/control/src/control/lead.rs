//! Claims, the work of the leader, and the loss of the lead.

use super::{
    Control,
    output, //
};
use crate::store;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Record,
    Resource,
    record::Leader, //
};
use sassafrascrank_lead::election::{
    self,
    Observation,
    Writer, //
};
use sassafrascrank_schedule::{
    Engine, Order,
    engine::{
        Permission,
        Takeover, //
    },
    order::Envelope,
    runner::{
        self,
        Listed, //
    },
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Shortest time between two reads of the jobs by the leader. On average a new job waits for half of it.
const LEADER_READ_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest time between two reads of the jobs by other entries. A caller that asks for the state of a job that has not
/// ended, or cancels an unknown one, causes a read at once.
pub(crate) const FOLLOWER_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two appends of the leader. Decisions within it are appended together.
const APPEND_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two conversions of notes into log events. Notes within it share a log line if they are alike.
const NOTE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of ended jobs that are removed with one append.
const FORGET_LIMIT: usize = 50;

/// A claim of this entry.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) epoch: u64,
    /// When the append of the claim began, once the log has answered it.
    pub(super) stored: Option<Time>,
    /// Whether the last record of this leader says that it is behind the log.
    behind: bool,
    /// What is known of the leader before this claim.
    pub(super) predecessor: Predecessor,
    /// Until then, attempts that leaders before the predecessor started may go on.
    runs_until: Time,
    /// Number of the claim among those of this process. An epoch can be claimed again if the log has refused it.
    pub(super) number: u64,
    /// The service list, as far as it has been read for this claim.
    pub(super) runners: BTreeMap<Arc<str>, Listed>,
    /// Whether the whole service list has been read for this claim.
    pub(super) runners_read: bool,
}

impl Claim {
    /// Updates what is known of the leader before the claim by a record of it that was read only afterwards.
    pub(super) fn observe_predecessor(&mut self, record: &Record, observation: Observation) {
        let has_ended = observation.writer == Writer::EarlierIncarnation;
        self.predecessor = match observation.resigned || has_ended {
            true => Predecessor::Stopped,
            false => Predecessor::MaybeActive,
        };
        if let Record::Leader(leader) = record {
            self.runs_until = self.runs_until.max(leader.runs_until);
        }
    }

    /// Applies a change of the service list.
    pub(super) fn update_runner(&mut self, change: &runner::Change) {
        match change {
            runner::Change::Set(listed) => {
                self.runners.insert(Arc::clone(&listed.id), listed.clone());
            }
            runner::Change::Removed(id) => {
                self.runners.remove(id);
            }
        }
    }
}

/// What is known of the leader before a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Predecessor {
    /// There was none.
    None,
    /// It sends no more orders: it has resigned, or it was an earlier incarnation of this entry.
    Stopped,
    /// It may still send orders until its lease has ended.
    MaybeActive,
}

impl Control {
    /// Claims the lead if that is due, or begins to lead once everything needed has been read.
    pub(super) fn advance_leadership(&mut self, wall: Time, now: Time) {
        if self.jobs_read
            && self.config.is_some()
            && let Some(rank) = self.claim_rank(now)
        {
            match self.election.claim(rank, now) {
                election::Claim::Wait => {}
                election::Claim::Refresh => self.out.requests.push(store::Request::Refresh),
                election::Claim::Append(epoch) => self.claim(epoch, now),
            }
        }
        let runners_read = self.claim.as_ref().is_some_and(|claim| claim.runners_read);
        if self.engine.is_none() && runners_read && self.election.leading().is_some() {
            self.begin_leading(wall, now);
        }
    }

    /// Confirms the claim of this entry once its append was answered and its record was read. Either may come first. The
    /// log answers the append in the same way if another entry has claimed with the same epoch, so until the record is
    /// read nothing may be appended with that epoch.
    pub(super) fn confirm_claim(&mut self, now: Time) {
        let (Some(claim), Some(leader)) = (&self.claim, self.replica.leader()) else {
            return;
        };
        let is_read = leader.epoch == claim.epoch && self.writer_of(leader) == Writer::Own;
        if let Some(started) = claim.stored
            && is_read
        {
            self.election.claim_confirmed(claim.epoch, started);
            if self.stopping {
                self.resign(now);
            }
        }
    }

    fn claim(&mut self, epoch: u64, now: Time) {
        let predecessor = match self.replica.leader() {
            None => Predecessor::None,
            Some(leader) if leader.resigned || leader.holder == self.identity.name => {
                Predecessor::Stopped
            }
            Some(_) => Predecessor::MaybeActive,
        };
        let runs_until = self
            .replica
            .leader()
            .map_or(Time::MIN, |leader| leader.runs_until);
        self.claims += 1;
        self.claim = Some(Claim {
            epoch,
            stored: None,
            behind: false,
            predecessor,
            runs_until,
            number: self.claims,
            runners: BTreeMap::new(),
            runners_read: false,
        });
        let record = Record::Leader(self.leader_record(epoch));
        self.out
            .requests
            .push(store::Request::Lead { epoch, record });
        self.out.requests.push(store::Request::SetReads {
            jobs: self.membership.generation(),
            jobs_interval: LEADER_READ_INTERVAL,
            runners: Some(self.claims),
        });
        let silence = now.since(self.election.observed_at());
        let reason = match self.replica.leader() {
            None => "no-leader",
            Some(leader) if leader.resigned => "resigned",
            Some(leader) if leader.behind => "behind",
            Some(_) => "silent",
        };
        let event = Event::new("claim", now)
            .with("reason", Value::Code(reason))
            .with("epoch", Value::Count(epoch))
            .with("silence", Value::Duration(silence));
        self.out.events.push(event);
    }

    fn leader_record(&self, epoch: u64) -> Leader {
        Leader {
            epoch,
            holder: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            resigned: false,
            behind: self.claim.as_ref().is_some_and(|claim| claim.behind),
            runs_until: self.runs_until(),
            capacity: self.identity.capacity,
        }
    }

    /// Returns until when attempts that earlier leaders started may go on at runners that don't answer.
    fn runs_until(&self) -> Time {
        let Some(claim) = &self.claim else {
            return Time::MIN;
        };
        let ordered = match claim.predecessor {
            Predecessor::None => return claim.runs_until,
            Predecessor::Stopped => self.predecessor_observed,
            Predecessor::MaybeActive => self.predecessor_observed + self.rules.leader_lease,
        };
        claim.runs_until.max(self.rules.lease_expiry(ordered))
    }

    /// Begins to lead: builds the scheduler from what was read.
    fn begin_leading(&mut self, wall: Time, now: Time) {
        let (Some(claim), Some(config)) = (&self.claim, &self.config) else {
            return;
        };
        let takeover = Takeover {
            epoch: claim.epoch,
            runs_until: self.runs_until(),
            observed: match claim.predecessor {
                Predecessor::None => Time::MIN,
                _ => self.predecessor_observed,
            },
            hosts: self.replica.host_orders().clone(),
            leases: self.replica.leases().clone(),
        };
        let mut engine = Engine::new(self.rules, takeover, config, now);
        engine.restore_demand(self.replica.demand(), now);
        for listed in claim.runners.values() {
            engine.update_runner(runner::Change::Set(listed.clone()), now);
        }
        // The runners are not new. The event below has their number instead of a line for each.
        engine.take_notes();
        for (_, entry) in self.replica.jobs() {
            engine.restore_job(entry, wall, now);
        }
        for (&number, wave) in &self.waves {
            let progress = self.replica.waves().get(&number);
            let hosts = wave.hosts.clone();
            engine.add_wave(number, hosts, wave.duration, wave.cap, progress, wave.since);
        }
        let (jobs, runs, ready) = engine.counts();
        let event = Event::new("leading", now)
            .with("epoch", Value::Count(claim.epoch))
            .with("jobs", Value::Count(jobs as u64))
            .with("runs", Value::Count(runs as u64))
            .with("ready", Value::Count(ready as u64))
            .with("runners", Value::Count(claim.runners.len() as u64));
        self.out.events.push(event);
        self.engine = Some(engine);
        self.may_start = true;
        self.append_pending = false;
    }

    /// Returns what this entry may do as the leader.
    fn permission(&self, now: Time) -> Permission {
        match self.election.may_order(now) && !self.stopping {
            true if self.is_fresh(now) && self.may_use_caps(now) => Permission::Start,
            true if self.is_fresh(now) => Permission::StartUncapped,
            true => Permission::Keep,
            false => Permission::Observe,
        }
    }

    /// Tells whether the configuration was confirmed so recently that tasks of accounts with a cap may start, if there are such
    /// accounts.
    fn may_use_caps(&self, now: Time) -> bool {
        let config = self.config.iter();
        let mut accounts = config.flat_map(|config| config.iter_accounts());
        let is_recent = now <= self.config_confirmed_at() + self.rules.config_age_limit;
        is_recent || !accounts.any(|account| account.cap != Resource::default())
    }

    /// Logs when the leader stops starting tasks, and when it goes on.
    fn log_permission(&mut self, permission: Permission, now: Time) {
        let may_start = permission == Permission::Start;
        if self.may_start == may_start {
            return;
        }
        self.may_start = may_start;
        let event = match permission {
            Permission::Start => Event::new("starts-resumed", now),
            Permission::StartUncapped => {
                Event::new("starts-paused", now).with("reason", Value::Code("configuration-old"))
            }
            Permission::Keep => {
                Event::new("starts-paused", now).with("reason", Value::Code("reads-old"))
            }
            Permission::Observe => {
                Event::new("starts-paused", now).with("reason", Value::Code("lease-ended"))
            }
        };
        let event = self.with_ages(event, now);
        self.out.events.push(event);
    }

    /// Adds to an event the ages of what a leader relies on: its last read of the jobs, by its beginning, and its last
    /// confirmed append.
    fn with_ages(&self, event: Event, now: Time) -> Event {
        let event = event.with("age", Value::Duration(now.since(self.read_started)));
        match self.election.confirmed_at() {
            Time::MIN => event,
            at => event.with("unconfirmed", Value::Duration(now.since(at))),
        }
    }

    /// Lets the scheduler decide, and passes on its orders, notes and records.
    pub(super) fn run_engine(&mut self, wall: Time, now: Time) {
        if self.engine.is_none() {
            return;
        }
        let permission = self.permission(now);
        self.log_permission(permission, now);
        let Some(engine) = &mut self.engine else {
            return;
        };
        engine.tick(permission, wall, now);
        if engine.is_superseded() {
            self.lose_role("runner-fenced", now);
            return;
        }
        let orders = engine.take_orders();
        self.activity.orders += orders.len() as u64;
        for order in orders {
            match *order.content() {
                Order::Announce { wave, done } => self
                    .out
                    .requests
                    .push(store::Request::Announce { wave, done }),
                _ => self.out.orders.push(order),
            }
        }
        if now >= self.notes_flushed + NOTE_INTERVAL {
            self.flush_notes(now);
        }
        self.append_due_records(now);
    }

    /// Turns the scheduler's notes since the last time into log events.
    fn flush_notes(&mut self, now: Time) {
        self.notes_flushed = now;
        if let Some(engine) = &mut self.engine {
            self.out.events.extend(output::events(engine.take_notes()));
        }
    }

    /// Appends the records of new decisions, or a heartbeat if there are none and it is due. A heartbeat also tells the
    /// other entries at once when this one can't read the log in time, and when it can again. It does not resign, since
    /// perhaps none of them reads the log, and the leases of running tasks have to be renewed.
    fn append_due_records(&mut self, now: Time) {
        if self.append_pending || now < self.last_append + APPEND_INTERVAL {
            return;
        }
        let Some(epoch) = self.election.leading() else {
            return;
        };
        let records = self
            .engine
            .as_mut()
            .and_then(|engine| engine.take_records());
        let is_changed = self.update_behind(now);
        let records = match records {
            Some(mut records) => {
                if is_changed {
                    records.push(Record::Leader(self.leader_record(epoch)));
                }
                records
            }
            None if is_changed || self.election.is_heartbeat_due(now) => {
                let expired = self.replica.expired(now - self.retention, FORGET_LIMIT);
                let mut records = vec![Record::Leader(self.leader_record(epoch))];
                records.extend(expired.into_iter().map(Record::Forget));
                records
            }
            None => return,
        };
        self.append_pending = true;
        self.last_append = now;
        self.activity.records_appended += records.len() as u64;
        self.out.requests.push(store::Request::Write(records));
    }

    /// Updates whether this leader is behind the log. Returns whether that has changed.
    fn update_behind(&mut self, now: Time) -> bool {
        let behind = !self.is_fresh(now);
        let Some(claim) = &mut self.claim else {
            return false;
        };
        core::mem::replace(&mut claim.behind, behind) != behind
    }

    /// Handles the result of an append of the leader.
    pub(super) fn handle_written(
        &mut self,
        epoch: u64,
        started: Time,
        result: store::Written,
        now: Time,
    ) {
        if self.claim.as_ref().is_none_or(|claim| claim.epoch != epoch) {
            return;
        }
        if result == store::Written::Fenced {
            self.lose_role("log-fenced", now);
            return;
        }
        self.activity.count_append(now.since(started));
        let event = Event::new("append", now).with("took", Value::Duration(now.since(started)));
        self.out.events.push(event.metrics_only());
        if let Some(claim) = &mut self.claim
            && claim.stored.is_none()
        {
            claim.stored = Some(started);
            self.confirm_claim(now);
            return;
        }
        self.append_pending = false;
        self.election.append_confirmed(started);
        if let Some(engine) = &mut self.engine {
            engine.records_stored(now);
        }
    }

    /// Gives up the lead or the claim.
    pub(super) fn lose_role(&mut self, reason: &'static str, now: Time) {
        let role = match self.engine {
            Some(_) => "leader",
            None => "candidate",
        };
        let epoch = self.claim.as_ref().map_or(0, |claim| claim.epoch);
        let event = Event::new("role-lost", now)
            .with("reason", Value::Code(reason))
            .with("role", Value::Code(role))
            .with("epoch", Value::Count(epoch));
        let event = self.with_ages(event, now);
        self.out.events.push(event);
        self.flush_notes(now);
        self.election.step_down(now);
        self.become_follower();
    }

    fn become_follower(&mut self) {
        let lost = self.claim.take().map(|claim| Envelope::last(claim.epoch));
        self.out.orders.extend(lost);
        self.engine = None;
        self.append_pending = false;
        self.out.requests.push(store::Request::Abandon);
        self.set_follower_reads();
    }

    /// Prepares the shutdown: resigns if this entry leads, or else as soon as its claim is confirmed, and reports that it
    /// is not ready.
    pub fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.out.events.push(Event::new("stopping", now));
        self.flush_notes(now);
        self.resign(now);
    }

    fn resign(&mut self, now: Time) {
        let Some(epoch) = self.election.retire() else {
            return;
        };
        let mut records = match &mut self.engine {
            Some(engine) => engine.take_records().unwrap_or_default(),
            None => Vec::new(),
        };
        records.push(Record::Leader(Leader {
            resigned: true,
            ..self.leader_record(epoch)
        }));
        self.engine = None;
        self.claim = None;
        self.out.requests.push(store::Request::Write(records));
        let event = Event::new("resigned", now).with("epoch", Value::Count(epoch));
        let event = self.with_ages(event, now);
        self.out.events.push(event);
    }
}
