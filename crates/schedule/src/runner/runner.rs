//! One life of a runner.

use super::Listed;
use crate::{
    Rules,
    job::run,
    lease::ClockSample,
    queue::key, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies one life of a runner within one process.
    pub struct Key;
}

/// One life of a runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Identity.
    pub id: Arc<str>,
    /// Start of this life.
    pub born: u64,
    /// Host on which it runs.
    pub host: Arc<str>,
    /// Pool that it belongs to.
    pub pool: key::Pool,
    /// Address of its interface; `None` if only the log names the runner.
    pub address: Option<SocketAddr>,
    /// All labels.
    pub labels: Box<[Arc<str>]>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// What it can run at once.
    pub capacity: Resource,
    /// What its runs take.
    pub used: Resource,
    /// Its runs that have not ended.
    pub runs: Vec<run::Key>,
    /// The service list shows it.
    pub listed: bool,
    /// When it leaves at the earliest, if it drains.
    pub leaves_at: Option<Time>,
    /// Its pool needs it for the tasks that ask for one of its labels or its rack.
    pub labels_scarce: bool,
    /// No work may start, since its host is about to be moved or maintained.
    pub closing: bool,
    /// Its clock.
    pub clock: Option<ClockSample>,
    /// Latest time at which anything there runs without another renewal.
    pub runs_until: Time,
    /// It has answered an order of this leader, so that orders of earlier ones have no effect.
    pub fenced: bool,
    /// When the look in flight was sent.
    pub poll_sent: Option<Time>,
    /// When the next look is due.
    pub poll_at: Time,
    /// When the last answered look was sent.
    pub last_poll: Time,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// Highest number of an end that was read.
    pub last_end: u64,
    /// Highest number of an end up to which all are durable.
    pub durable_end: u64,
    /// Highest number of an end that the runner knows to be durable.
    pub acknowledged: u64,
    /// Jobs in a row of which a task failed there.
    pub failures: u32,
    /// It gets no work until then.
    pub quarantined_until: Time,
    /// Times that it was put into quarantine in a row.
    pub quarantines: u32,
    /// When it last had a run.
    pub last_busy: Time,
}

impl Runner {
    /// Makes a runner that has not answered yet and may run orders of an earlier leader until `expiry`.
    pub fn new(listed: &Listed, pool: key::Pool, runs_until: Time, now: Time) -> Self {
        let clock = |clock_ms| ClockSample {
            clock_ms,
            received: now,
        };
        Self {
            id: Arc::clone(&listed.id),
            born: listed.born,
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
            ..Self::from_log(Arc::clone(&listed.id), listed.born, pool, runs_until, now)
        }
    }

    /// Makes a runner that only the log names.
    pub fn from_log(id: Arc<str>, born: u64, pool: key::Pool, runs_until: Time, now: Time) -> Self {
        let nothing: Arc<str> = "".into();
        Self {
            id,
            born,
            host: Arc::clone(&nothing),
            pool,
            address: None,
            labels: Box::default(),
            zone: Arc::clone(&nothing),
            rack: nothing,
            capacity: Resource::default(),
            used: Resource::default(),
            runs: Vec::new(),
            listed: false,
            leaves_at: None,
            labels_scarce: false,
            closing: false,
            clock: None,
            runs_until,
            fenced: false,
            poll_sent: None,
            poll_at: now,
            last_poll: Time::MIN,
            misses: 0,
            last_end: 0,
            durable_end: 0,
            acknowledged: 0,
            failures: 0,
            quarantined_until: Time::MIN,
            quarantines: 0,
            last_busy: now,
        }
    }

    /// Tells whether tasks may start there.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.listed
            && self.fenced
            && self.misses == 0
            && !self.closing
            && self.leaves_at.is_none()
            && self.clock.is_some()
            && now >= self.quarantined_until
    }

    /// Returns whether a task fits beside what runs there.
    pub fn fits(&self, need: Resource) -> bool {
        self.capacity.fits(self.used, need)
    }

    /// Tells whether it has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }

    /// Returns the end of a lease of `span` by its clock, and notes by when it has ended.
    pub fn renew_lease(&mut self, span: Duration, rules: &Rules, now: Time) -> Option<u64> {
        let clock = self.clock?;
        let until = clock.estimate_ms(now) + span.as_millis() as u64;
        self.runs_until = self
            .runs_until
            .max(clock.latest_expiry(until, rules.drift_permille) + rules.margin);
        Some(until)
    }
}
