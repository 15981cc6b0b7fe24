//! One incarnation of a runner: one run of its process.

use super::Listed;
use crate::{
    Rules,
    contention,
    job::{
        Run,
        TaskKey,
        run, //
    },
    lease::ClockSample,
    queue::key, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

slotmap::new_key_type! {
    /// Identifies an incarnation of a runner within this process.
    pub struct Key;
}

/// Number of polls without an answer after which a runner that the service list lacks is no longer asked.
const CONTACT_ATTEMPTS: u32 = 3;

/// One incarnation of a runner: one run of its process.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Unique name.
    pub id: Arc<str>,
    /// Start of this incarnation, in Unix milliseconds.
    pub incarnation: u64,
    /// Number of earlier incarnations of this name that this leader has known, or a higher one; see [`Former`](super::Former).
    pub generation: u16,
    /// Whether it may carry out orders for an earlier incarnation that ask for a lease. It rejects them once it has answered.
    pub accepts_earlier_orders: bool,
    /// Host on which it runs.
    pub host: Arc<str>,
    /// Pool that the runner belongs to.
    pub pool: key::Pool,
    /// Address for orders; `None` if the runner is known from the log only.
    pub address: Option<SocketAddr>,
    /// When this address has replaced another one; [`Time::MIN`] if none.
    pub address_changed_at: Time,
    /// All labels.
    pub labels: Box<[Arc<str>]>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// What it can run at once.
    pub capacity: Resource,
    /// Resources that its runs take.
    pub used: Resource,
    /// Runs that have not ended.
    pub runs: Vec<run::Key>,
    /// Number of these runs whose tasks may have crashed other runners.
    pub suspects: usize,
    /// Number of long-running tasks among them.
    pub long_running: usize,
    /// Number of tasks among them that have a target for their latency.
    pub serving: usize,
    /// Number of tasks among them that use the capacity that others leave.
    pub background: usize,
    /// Images of its runs, with the number of runs of each.
    pub images: Vec<(contention::Key, u16)>,
    /// When it last listed an end, so that latencies of the time before are those of other neighbours.
    pub ended_at: Time,
    /// Whether the service list has the runner.
    pub listed: bool,
    /// Earliest time at which the runner leaves; `None` unless it drains.
    pub leaves_at: Option<Time>,
    /// Whether its pool has few hosts with one of its labels or in its rack, so that other tasks should avoid it.
    pub labels_scarce: bool,
    /// Whether no task may start, because its host is about to be moved or maintained.
    pub closing: bool,
    /// Latest sample of its clock.
    pub clock: Option<ClockSample>,
    /// Latest time at which a run can still be alive if no lease is renewed, by the leases that this incarnation was asked
    /// for.
    pub runs_until: Time,
    /// Whether this incarnation or an earlier one was asked for a lease, by this leader or a former one.
    pub leased: bool,
    /// When this leader last asked it for a lease.
    pub lease_ordered_at: Time,
    /// Latest time at which a lease can end that was asked for by the clock of an earlier incarnation; in the past if there
    /// is none.
    pub earlier_lease_until: Time,
    /// Whether it has answered an order of this leader, so that it rejects orders of earlier leaders.
    pub fenced: bool,
    /// When the poll in flight was sent.
    pub poll_sent: Option<Time>,
    /// Earliest end of the lease that the poll in flight asks for, if it does.
    pub renewal: Option<Time>,
    /// Earliest end of the lease by the last answered poll that renewed it.
    pub renewed_until: Time,
    /// When the next poll is due.
    pub poll_at: Time,
    /// When the last answered poll was sent.
    pub last_poll: Time,
    /// When the last request was sent that the runner has carried out.
    pub alive_at: Time,
    /// Number of requests in a row without an answer.
    pub misses: u32,
    /// When the first of these requests failed.
    pub lost_at: Time,
    /// Whether all runners of its rack have stopped answering at about the same time.
    pub rack_failed: bool,
    /// Highest number of an end that was handled.
    pub last_end: u64,
    /// All ends up to this number are in the log.
    pub durable_end: u64,
    /// All ends up to this number were acknowledged to the runner.
    pub acknowledged: u64,
    /// Tasks that failed there since the last one that was done, unless they fail on other runners too. The latest ones.
    pub failed: VecDeque<TaskKey>,
    /// No task starts there before this time.
    pub quarantined_until: Time,
    /// Number of quarantines in a row.
    pub quarantines: u32,
    /// When a run was last planned there.
    pub last_busy: Time,
}

impl Runner {
    /// Creates a runner that has not answered yet. Runs of an earlier leader may be alive there until `runs_until`.
    pub fn new(listed: &Listed, pool: key::Pool, runs_until: Time, now: Time) -> Self {
        let clock = |clock_ms| ClockSample {
            clock_ms,
            received: now,
        };
        Self {
            id: Arc::clone(&listed.id),
            incarnation: listed.incarnation,
            host: Arc::clone(&listed.host),
            pool,
            address: Some(listed.address),
            labels: listed.labels.clone(),
            zone: Arc::clone(&listed.zone),
            rack: Arc::clone(&listed.rack),
            capacity: listed.capacity,
            listed: true,
            leaves_at: listed.draining.map(|left| now + left),
            clock: listed.clock.map(clock),
            ..Self::from_log(
                Arc::clone(&listed.id),
                listed.incarnation,
                pool,
                runs_until,
                now,
            )
        }
    }

    /// Creates a runner that is known from the log only.
    pub fn from_log(
        id: Arc<str>,
        incarnation: u64,
        pool: key::Pool,
        runs_until: Time,
        now: Time,
    ) -> Self {
        let nothing: Arc<str> = "".into();
        Self {
            id,
            incarnation,
            generation: 0,
            accepts_earlier_orders: false,
            host: Arc::clone(&nothing),
            pool,
            address: None,
            address_changed_at: Time::MIN,
            labels: Box::default(),
            zone: Arc::clone(&nothing),
            rack: nothing,
            capacity: Resource::default(),
            used: Resource::default(),
            runs: Vec::new(),
            suspects: 0,
            long_running: 0,
            serving: 0,
            background: 0,
            images: Vec::new(),
            ended_at: Time::MIN,
            listed: false,
            leaves_at: None,
            labels_scarce: false,
            closing: false,
            clock: None,
            runs_until,
            leased: false,
            lease_ordered_at: Time::MIN,
            earlier_lease_until: Time::MIN,
            fenced: false,
            poll_sent: None,
            renewal: None,
            renewed_until: Time::MIN,
            poll_at: now,
            last_poll: Time::MIN,
            alive_at: Time::MIN,
            misses: 0,
            lost_at: Time::MIN,
            rack_failed: false,
            last_end: 0,
            durable_end: 0,
            acknowledged: 0,
            failed: VecDeque::new(),
            quarantined_until: Time::MIN,
            quarantines: 0,
            last_busy: now,
        }
    }

    /// Returns whether tasks may start there.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.listed
            && self.fenced
            && self.misses == 0
            && !self.closing
            && self.leaves_at.is_none()
            && self.clock.is_some()
            && now >= self.quarantined_until
    }

    /// Returns whether it has to be asked for an answer, so that it rejects orders for earlier incarnations.
    pub fn is_contact_due(&self) -> bool {
        self.accepts_earlier_orders && self.address.is_some() && self.misses < CONTACT_ATTEMPTS
    }

    /// Adds a run, and takes its resources.
    pub fn add_run(&mut self, key: run::Key, run: &Run) {
        self.used += run.need;
        self.runs.push(key);
        for (count, counted) in self.counts(run) {
            *count += usize::from(counted);
        }
        if let Some(image) = run.influence.image {
            match self.images.iter_mut().find(|(known, _)| *known == image) {
                Some((_, count)) => *count += 1,
                None => self.images.push((image, 1)),
            }
        }
    }

    /// Removes a run, and returns its resources.
    pub fn remove_run(&mut self, key: run::Key, run: &Run) {
        self.used -= run.need;
        self.runs.retain(|&other| other != key);
        for (count, counted) in self.counts(run) {
            *count -= usize::from(counted);
        }
        if let Some(image) = run.influence.image
            && let Some(place) = self.images.iter().position(|&(known, _)| known == image)
        {
            self.images[place].1 -= 1;
            if self.images[place].1 == 0 {
                self.images.swap_remove(place);
            }
        }
    }

    /// Returns the numbers of runs of each property, and whether the run has it.
    fn counts(&mut self, run: &Run) -> [(&mut usize, bool); 4] {
        [
            (&mut self.suspects, run.crashes > 0),
            (&mut self.long_running, run.traits.long_running),
            (&mut self.serving, run.traits.serving),
            (&mut self.background, run.traits.background),
        ]
    }

    /// Returns whether a task fits into the free capacity.
    pub fn fits(&self, need: Resource) -> bool {
        self.capacity.fits(self.used, need)
    }

    /// Returns whether it has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }

    /// Returns the end of a lease of `span` in milliseconds of the runner's clock, or `None` if that clock is unknown,
    /// and updates [`runs_until`](Self::runs_until).
    pub fn renew_lease(&mut self, span: Duration, rules: &Rules, now: Time) -> Option<u64> {
        let until = self.clock?.estimate_ms(now) + span.as_millis() as u64;
        self.leased = true;
        self.lease_ordered_at = now;
        self.runs_until = self.runs_until.max(self.latest_expiry(until, rules)?);
        Some(until)
    }

    /// Returns the latest time at which a run can still be alive if no lease is renewed, whatever clock it was asked for by.
    pub fn last_run_end(&self) -> Time {
        self.runs_until.max(self.earlier_lease_until)
    }

    /// Returns the latest time at which `until` milliseconds of the runner's clock are reached, with a margin, or `None`
    /// if that clock is unknown.
    pub fn latest_expiry(&self, until: u64, rules: &Rules) -> Option<Time> {
        let clock = self.clock?;
        Some(clock.latest_expiry(until, rules.drift_permille) + rules.margin)
    }
}
