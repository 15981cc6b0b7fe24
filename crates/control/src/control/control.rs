//! State of the control thread and its changes by each event. The module does no I/O.

use super::{
    Output,
    activity::Activity,
    calls::Calls,
    lead::Claim,
    membership::Membership, //
};
use crate::{
    port::Topic,
    store, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id, Record, Replica,
    record::Leader,
    replica::{
        self,
        Change,
        State, //
    },
};
use sassafrascrank_lead::{
    Election, Timing,
    election::{
        Observation,
        Writer, //
    },
};
use sassafrascrank_schedule::{
    Config,
    Engine,
    account::Gate,
    order::{
        Envelope,
        report::Report, //
    },
    runner, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Largest age of the last read of the jobs at which the entry accepts requests and answers from what it has read.
/// Callers may be told a number of pending jobs that is 2 s old when they get it.
const READ_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Start of the process in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Processor capacity in thousandths of a core.
    pub capacity: u32,
}

/// A maintenance wave as operators ask for it.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub(super) hosts: Vec<Arc<str>>,
    /// Time within which the wave has to be done.
    pub(super) duration: Duration,
    /// Largest number of hosts in maintenance at the same time.
    pub(super) cap: usize,
    /// When this process read the request.
    pub(super) since: Time,
}

/// State of the control thread.
pub struct Control {
    pub(super) identity: Identity,
    pub(super) replica: Replica,
    pub(super) election: Election,
    /// Claim of this entry, from its append until the lead is lost.
    pub(super) claim: Option<Claim>,
    /// Number of claims that this process has made.
    pub(super) claims: u64,
    /// Whether this entry reads the jobs, and the other entries that do.
    pub(super) membership: Membership,
    /// Scheduler, while this entry leads.
    pub(super) engine: Option<Engine>,
    pub(super) rules: sassafrascrank_schedule::Rules,
    /// Time for which the state of an ended job is kept.
    pub(super) retention: Duration,
    /// Bytes of jobs in memory above which no more are accepted.
    pub(super) job_limit: usize,
    pub(super) config: Option<Arc<Config>>,
    /// When the last read of the operators' records that reached the end of the topic began. A later configuration may
    /// be missing.
    pub(super) config_confirmed: Time,
    /// Age of that time up to which the entry decides on credentials; `None` without a limit.
    pub(super) credential_limit: Option<Duration>,
    pub(super) waves: BTreeMap<u64, Wave>,
    pub(super) calls: Calls,
    pub(super) gate: Gate,
    /// What this thread has done since its last log line about it.
    pub(super) activity: Activity,
    /// Whether all jobs have been read once.
    pub(super) jobs_read: bool,
    /// When the last read of the jobs that reached the end of the log began. A later job may be missing from it, however
    /// late its records were handled.
    pub(super) read_started: Time,
    /// When an append of a caller's record last failed.
    pub(super) append_failed_at: Option<Time>,
    /// Whether the last read of the jobs succeeded; true before the first one.
    pub(super) log_reachable: bool,
    /// When a record of a leader other than this entry's present claim was last read. Until then, leaders before the
    /// next claim may have given orders, this entry among them.
    pub(super) predecessor_observed: Time,
    /// Whether the leader may start tasks, as far as the log tells.
    pub(super) may_start: bool,
    /// Whether an append of the leader is in progress.
    pub(super) append_pending: bool,
    /// When the last append of the leader was requested.
    pub(super) last_append: Time,
    /// When the scheduler's notes on its decisions were last turned into log events.
    pub(super) notes_flushed: Time,
    /// Whether the entry reports that it is ready.
    pub(super) ready: bool,
    /// Whether the process shuts down.
    pub(super) stopping: bool,
    pub(super) out: Output,
}

impl Control {
    /// Returns the state of a process that has read nothing yet.
    pub fn new(
        identity: Identity,
        timing: Timing,
        rules: sassafrascrank_schedule::Rules,
        retention: Duration,
        now: Time,
    ) -> Self {
        let name = Id(identity.incarnation).0 ^ sassafrascrank_base::hash::text(&identity.name);
        let identity_hash = sassafrascrank_base::hash::mix(name);
        let election = Election::new(timing, identity_hash, identity.capacity, now);
        Self {
            identity,
            replica: Replica::default(),
            election,
            claim: None,
            claims: 0,
            membership: Membership::default(),
            engine: None,
            rules,
            retention,
            job_limit: usize::MAX,
            config: None,
            config_confirmed: Time::MIN,
            credential_limit: None,
            waves: BTreeMap::new(),
            calls: Calls::default(),
            gate: Gate::new(rules.account_window),
            activity: Activity::default(),
            jobs_read: false,
            read_started: Time::MIN,
            append_failed_at: None,
            log_reachable: true,
            predecessor_observed: Time::MIN,
            may_start: false,
            append_pending: false,
            last_append: Time::MIN,
            notes_flushed: Time::MIN,
            ready: false,
            stopping: false,
            out: Output::default(),
        }
    }

    /// Sets the age of the last confirmation of the configuration up to which the entry decides on credentials.
    pub fn with_credential_limit(mut self, limit: Option<Duration>) -> Self {
        self.credential_limit = limit;
        self
    }

    /// Limits the bytes of jobs in memory. Without this there is no limit.
    pub fn with_job_limit(mut self, bytes: usize) -> Self {
        self.job_limit = bytes;
        self
    }

    /// Removes and returns the messages to the other threads.
    pub fn take_output(&mut self) -> Output {
        core::mem::take(&mut self.out)
    }

    /// Returns the state of a job as this entry knows it.
    pub fn state(&self, id: Id) -> Option<State> {
        self.replica.state(id)
    }

    /// Tells whether this entry leads.
    pub fn is_leader(&self) -> bool {
        self.engine.is_some()
    }

    /// Returns when the configuration in force was last confirmed to be the newest one; [`Time::MIN`] before the first
    /// time.
    pub fn config_confirmed_at(&self) -> Time {
        self.config_confirmed
    }

    /// Handles an event of the store thread.
    pub fn handle_event(&mut self, event: store::Event, now: Time) {
        match event {
            store::Event::Jobs {
                records,
                started,
                complete,
                last,
            } => {
                if !self.expects_jobs(complete) {
                    return;
                }
                self.activity.records_read += records.len() as u64;
                self.apply_records(records, complete, now);
                if last {
                    self.finish_read(started, now);
                }
            }
            store::Event::Operator {
                records,
                started,
                last,
            } => {
                for record in records {
                    self.handle_operator_record(record, now);
                }
                if last {
                    self.confirm_config(started);
                }
            }
            store::Event::Runners {
                claim,
                changes,
                complete,
            } => self.update_runners(claim, changes, complete, now),
            store::Event::Seats {
                records,
                started,
                last,
            } => self.handle_seats(records, started, last, now),
            store::Event::SeatWritten { stored } => self.membership.written(stored, now),
            store::Event::ReadFailed {
                topic,
                failures,
                took,
                reason,
            } => {
                let event = Event::new("read-failed", now)
                    .with("topic", Value::Code(topic.as_str()))
                    .with("failures", Value::Count(failures.into()))
                    .with("took", Value::Duration(took))
                    .with("detail", Value::Text(reason.into()));
                self.out.events.push(log_by_count(event, failures));
                self.handle_read_failure(topic, now);
            }
            store::Event::Accepted {
                token,
                stored,
                took,
            } => {
                self.membership.append_took(took, now);
                self.handle_accepted(token, stored, now);
            }
            store::Event::Written {
                epoch,
                started,
                result,
            } => self.handle_written(epoch, started, result, now),
            store::Event::Skipped { topic, reason } => {
                let event = Event::new("record-skipped", now)
                    .with("topic", Value::Code(topic.as_str()))
                    .with("detail", Value::Text(reason.into()));
                self.out.events.push(event);
            }
        }
    }

    /// Handles the report on an order. The engine drops reports on orders of an earlier lead.
    pub fn handle_report(&mut self, report: Envelope<Report>, now: Time) {
        self.activity.reports += 1;
        if let Some(engine) = &mut self.engine {
            engine.report(report, now);
        }
    }

    /// Handles what depends on time alone, and lets the scheduler decide. `wall` is the wall-clock time.
    pub fn tick(&mut self, wall: Time, now: Time) {
        self.advance_membership(now);
        self.advance_leadership(wall, now);
        self.run_engine(wall, now);
        self.calls.expire(now);
        self.gate.expire(now);
        self.update_readiness(now);
        self.report_activity(now);
    }

    fn apply_records(&mut self, records: Vec<(u64, Record)>, complete: bool, now: Time) {
        for (offset, record) in records {
            self.observe(&record, now);
            let change = self.replica.apply(offset, record, now);
            self.handle_change(change, now);
        }
        self.confirm_claim(now);
        if complete {
            self.jobs_read = true;
        }
    }

    /// Records that everything that the log held at `started` has been read.
    fn finish_read(&mut self, started: Time, now: Time) {
        self.read_started = started;
        self.election.record_read(true, started, now);
        self.set_reachable(true, self.read_started, now);
        self.answer_lookups(started);
    }

    /// Passes what a record says about its leader on to the election.
    fn observe(&mut self, record: &Record, now: Time) {
        let observation = match record {
            Record::Leader(leader) => Observation {
                epoch: leader.epoch,
                capacity: leader.capacity,
                resigned: leader.resigned,
                behind: leader.behind,
                writer: self.writer_of(leader),
            },
            Record::Progress(progress) => self.observation_of(progress.epoch),
            Record::Wave(wave) => self.observation_of(wave.epoch),
            Record::HostOrder(order) => self.observation_of(order.epoch),
            Record::Lease(lease) => self.observation_of(lease.epoch),
            Record::Demand(demand) => self.observation_of(demand.epoch),
            _ => return,
        };
        let own_epoch = self.claim.as_ref().map_or(0, |claim| claim.epoch);
        if observation.epoch != own_epoch || observation.writer != Writer::Own {
            // After a higher epoch this entry is a former leader too, whose last orders may still take effect.
            self.predecessor_observed = now;
            if let Some(claim) = &mut self.claim {
                claim.observe_predecessor(record, observation);
            }
        }
        if self.election.observe(observation, now) {
            let reason = match observation.epoch == own_epoch {
                true => "same-epoch",
                false => "higher-epoch",
            };
            self.lose_role(reason, now);
        }
    }

    /// Tells which process wrote a record of a leader.
    pub(super) fn writer_of(&self, leader: &Leader) -> Writer {
        match leader.holder == self.identity.name {
            true if leader.incarnation == self.identity.incarnation => Writer::Own,
            true => Writer::EarlierIncarnation,
            false => Writer::Other,
        }
    }

    /// Returns what is known of the writer of a record that names only its epoch.
    fn observation_of(&self, epoch: u64) -> Observation {
        let leader = self.replica.leader().filter(|leader| leader.epoch == epoch);
        Observation {
            epoch,
            capacity: leader.map_or(0, |leader| leader.capacity),
            resigned: leader.is_some_and(|leader| leader.resigned),
            behind: leader.is_some_and(|leader| leader.behind),
            writer: leader.map_or(Writer::Unknown, |leader| self.writer_of(leader)),
        }
    }

    fn handle_change(&mut self, change: Change, now: Time) {
        if let Change::Added(key) = change {
            self.count_job(key, now);
        }
        let Some(engine) = &mut self.engine else {
            return;
        };
        match change {
            Change::Added(key) => {
                if let Some(entry) = self.replica.get(key)
                    && let Some(job) = &entry.job
                    && entry.outcome().is_none()
                {
                    engine.add(Arc::clone(job), now);
                }
            }
            Change::Cancelled(key) => {
                if let Some(entry) = self.replica.get(key) {
                    engine.cancel(entry.id, now);
                }
            }
            _ => {}
        }
    }

    /// Counts a job that was read against the allowance of its account.
    fn count_job(&mut self, key: replica::Key, now: Time) {
        let Some(entry) = self.replica.get(key) else {
            return;
        };
        self.gate.settle(entry.id);
        let account = entry.account.as_ref();
        if let Some(config) = &self.config
            && let Some(account) = account.and_then(|name| config.account(name))
        {
            self.gate.record_job(account, entry.submitted.min(now));
        }
    }

    /// Applies changes of the service list that were read for the claim of a number.
    fn update_runners(
        &mut self,
        number: u64,
        mut changes: Vec<runner::Change>,
        complete: bool,
        now: Time,
    ) {
        // Runners may have restarted since a list for a lost claim was read, and be used by other leaders.
        let is_current = |claim: &&mut Claim| claim.number == number;
        let Some(claim) = self.claim.as_mut().filter(is_current) else {
            return;
        };
        if complete {
            let is_listed = |id: &Arc<str>| {
                let sets = |change: &runner::Change| match change {
                    runner::Change::Set(listed) => listed.id == *id,
                    runner::Change::Removed(_) => false,
                };
                changes.iter().any(sets)
            };
            let unlisted = claim.runners.keys().filter(|id| !is_listed(id)).cloned();
            let removed: Vec<_> = unlisted.map(runner::Change::Removed).collect();
            changes.splice(0..0, removed);
            claim.runners_read = true;
        }
        for change in changes {
            claim.update_runner(&change);
            if let Some(engine) = &mut self.engine {
                engine.update_runner(change, now);
            }
        }
    }

    fn handle_read_failure(&mut self, topic: Topic, now: Time) {
        match topic {
            Topic::Jobs => {
                self.election.record_read(false, now, now);
                self.set_reachable(false, self.read_started, now);
            }
            Topic::Seats => self.handle_seats_failure(now),
            Topic::Operator | Topic::Runners => {}
        }
    }

    /// Tells whether the last read of the jobs is recent enough to answer callers.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.jobs_read && now <= self.fresh_until()
    }

    /// Returns until when the last read of the jobs is recent enough.
    pub(super) fn fresh_until(&self) -> Time {
        self.read_started + READ_AGE_LIMIT
    }
}

/// Leaves the log line of an event out unless its count in a row is a power of two, which keeps the number of lines small
/// in a long outage.
fn log_by_count(event: Event, count: u32) -> Event {
    match count.is_power_of_two() {
        true => event,
        false => event.metrics_only(),
    }
}
