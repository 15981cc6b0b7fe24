//! A client account, and what runs for it.

use super::Bucket;
use crate::config;
use sassafrascrank_job::Resource;
use slotmap::Key as _;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a client account within this process.
    pub struct Key;
}

/// Place of an account in its arena, or of no account. It has half the size of a key, since every waiting task has one. It
/// stands for the same account while that has jobs.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Slot(u32);

impl Slot {
    /// Returns the position in a table of all accounts; 0 stands for no account.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

impl From<Option<Key>> for Slot {
    fn from(key: Option<Key>) -> Self {
        // The lower half of a key's number is its place, from 1; the upper half tells earlier accounts in that place apart.
        Self(key.map_or(0, |key| key.data().as_ffi() as u32))
    }
}

/// A client account, and what runs for it.
#[derive(Clone, Debug)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// Largest amount of each resource that its runs may need together; 0 stands for no limit.
    pub cap: Resource,
    /// Share of the account when all capacity is in use, and the number of jobs that it may submit a second, in thousandths
    /// of a job.
    pub weight: u32,
    /// Whether the present configuration has the account. Others have no cap, since their jobs were accepted earlier.
    pub configured: bool,
    /// Allowance for further jobs.
    pub bucket: Bucket,
    /// Least that a task of its jobs needs of each resource; `None` before the first job.
    pub least_need: Option<Resource>,
    /// What its runs need that are not known to have ended.
    pub used: Resource,
}

impl Account {
    /// Creates an account without runs that no configuration has.
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            cap: Resource::default(),
            weight: 0,
            configured: false,
            bucket: Bucket::default(),
            least_need: None,
            used: Resource::default(),
        }
    }

    /// Applies the present configuration of the account; `None` if it lacks the account.
    pub fn configure(&mut self, row: Option<&config::Account>) {
        self.configured = row.is_some();
        self.cap = row.map(|row| row.cap).unwrap_or_default();
        self.weight = row.map_or(0, |row| row.weight);
    }

    /// Tells whether any resource is limited.
    pub fn has_cap(&self) -> bool {
        self.cap != Resource::default()
    }

    /// Takes the need of a task of one of its jobs into account.
    pub fn record_need(&mut self, need: Resource) {
        let least = self.least_need.unwrap_or(need);
        self.least_need = Some(Resource {
            cpu: least.cpu.min(need.cpu),
            memory: least.memory.min(need.memory),
            gpu: least.gpu.min(need.gpu),
        });
    }

    /// Tells whether its cap admits none of its tasks beside runs that need `used`, whatever they need.
    pub fn is_exhausted_by(&self, used: Resource) -> bool {
        let least = self.least_need;
        least.is_some_and(|least| !self.admits_beside(used, least))
    }

    /// Tells whether runs that need `need` may start beside those that have not ended.
    pub fn admits(&self, need: Resource) -> bool {
        self.admits_beside(self.used, need)
    }

    /// Tells whether runs that need `need` may start if others need `used`.
    pub fn admits_beside(&self, used: Resource, need: Resource) -> bool {
        cap_admits(self.cap, used, need)
    }

    /// Tells whether a run that is counted already brings the account over its cap, because that was lowered.
    pub fn is_exceeded_by(&self, need: Resource) -> bool {
        let exceeds = |cap, used, need| cap != 0 && need != 0 && used > cap;
        exceeds(self.cap.cpu, self.used.cpu, need.cpu)
            || exceeds(self.cap.memory, self.used.memory, need.memory)
            || exceeds(self.cap.gpu, self.used.gpu, need.gpu)
    }
}

/// Tells whether a cap admits runs that need `need` beside others that need `used`. A resource that they do not need does not
/// count; 0 in the cap stands for no limit.
pub fn cap_admits(cap: Resource, used: Resource, need: Resource) -> bool {
    let fits = |cap, used: u64, need| cap == 0 || need == 0 || used.saturating_add(need) <= cap;
    fits(cap.cpu, used.cpu, need.cpu)
        && fits(cap.memory, used.memory, need.memory)
        && fits(cap.gpu, used.gpu, need.gpu)
}
