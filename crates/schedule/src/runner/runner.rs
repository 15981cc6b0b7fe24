//! One life of a runner.

use super::Listed;
use crate::{
    Rules,
    lease::Clock,
    queue::key,
    work::run, //
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
    pub leaves: Option<Time>,
    /// Its pool needs it for the tasks that ask for one of its labels or its rack.
    pub scarce: bool,
    /// No work may start, since its host is about to be moved or maintained.
    pub closing: bool,
    /// Its clock.
    pub clock: Option<Clock>,
    /// Latest time at which anything there runs without another renewal.
    pub expiry: Time,
    /// It has answered an order of this leader, so that orders of earlier ones have no effect.
    pub fenced: bool,
    /// When the look in flight was sent.
    pub looking: Option<Time>,
    /// When the next look is due.
    pub look_at: Time,
    /// When the last answered look was sent.
    pub looked: Time,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// Highest number of an end that was read.
    pub read: u64,
    /// Highest number of an end up to which all are durable.
    pub durable: u64,
    /// Highest number of an end that the runner knows to be durable.
    pub acknowledged: u64,
    /// Jobs in a row of which a task failed there.
    pub failures: u32,
    /// It gets no work until then.
    pub quarantine: Time,
    /// Times that it was put into quarantine in a row.
    pub quarantines: u32,
    /// When it last had a run.
    pub busy_at: Time,
}

impl Runner {
    /// Makes a runner that has not answered yet and may run orders of an earlier leader until `expiry`.
    pub fn new(listed: &Listed, pool: key::Pool, expiry: Time, now: Time) -> Self {
        let clock = |millis| Clock { millis, at: now };
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
            leaves: listed.draining.map(|left| now + left),
            clock: listed.clock.map(clock),
            ..Self::ghost(Arc::clone(&listed.id), listed.born, pool, expiry, now)
        }
    }

    /// Makes a runner that only the log names.
    pub fn ghost(id: Arc<str>, born: u64, pool: key::Pool, expiry: Time, now: Time) -> Self {
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
            leaves: None,
            scarce: false,
            closing: false,
            clock: None,
            expiry,
            fenced: false,
            looking: None,
            look_at: now,
            looked: Time::MIN,
            misses: 0,
            read: 0,
            durable: 0,
            acknowledged: 0,
            failures: 0,
            quarantine: Time::MIN,
            quarantines: 0,
            busy_at: now,
        }
    }

    /// Tells whether tasks may start there.
    pub fn is_open(&self, now: Time) -> bool {
        self.listed
            && self.fenced
            && self.misses == 0
            && !self.closing
            && self.leaves.is_none()
            && self.clock.is_some()
            && now >= self.quarantine
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
    pub fn renew(&mut self, span: Duration, rules: &Rules, now: Time) -> Option<u64> {
        let clock = self.clock?;
        let until = clock.read(now) + span.as_millis() as u64;
        self.expiry = self
            .expiry
            .max(clock.end(until, rules.drift) + rules.margin);
        Some(until)
    }
}
