//! Serialised records: a text key and a MessagePack value.
//!
//! The keys of a job's records are `j`, `c` and `p`, for submission, cancellation and progress, followed by the job's
//! identity. The key of a wave is `w`, its number, `/` and the name of a host; the name is empty in the record that
//! ends the wave. The key of an order is `h` and the name of the host, that of a lease `r` and the name of the runner. The
//! leader and its forecast of demand have fixed keys.
//!
//! Structs are stored as arrays of their fields, so the order of the fields is part of the format.

use super::{
    Record,
    leader::{
        WireDemand,
        WireHostOrder,
        WireLeader,
        WireLease,
        WireWave, //
    },
};
use crate::{
    Id, Job, Policy, Progress, Repeat, Resource, Step,
    id::Position,
    progress::{
        self,
        Assignment,
        Outcome,
        Suspicion, //
    },
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// A record can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The key has an unknown form.
    #[error("record key {0:?} is unknown: ignore the record, or upgrade this entry")]
    Key(String),
    /// The value can't be decoded.
    #[error("record {key:?} can't be decoded ({reason}): ignore it, or upgrade this entry")]
    Value {
        /// Key of the record.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

const LEADER_KEY: &str = "leader";
const DEMAND_KEY: &str = "turns";

#[derive(serde::Deserialize, serde::Serialize)]
struct WireStep {
    count: u16,
    need: Resource,
    /// Milliseconds.
    estimate: u64,
    after: Vec<u16>,
    /// Bits, of which [`CHECKPOINTS`] is the first.
    flags: u8,
    label: Option<Box<str>>,
    rack: Option<Box<str>>,
    spread: Option<u16>,
    image: Option<Box<str>>,
    /// Milliseconds.
    target: Option<u64>,
    may_miss: Option<u16>,
}

/// Bits of [`WireStep::flags`].
const CHECKPOINTS: u8 = 1;
const GANG: u8 = 1 << 1;
const COUPLED: u8 = 1 << 2;
const SPECULATIVE: u8 = 1 << 3;
const LONG_RUNNING: u8 = 1 << 4;
const USES_SPARE_CPU: u8 = 1 << 5;

#[derive(serde::Deserialize, serde::Serialize)]
struct WireJob {
    queue: String,
    /// Pool, priority, attempts, stretch in thousandths, target in milliseconds.
    terms: (String, u8, u16, u32, u64),
    specification: String,
    steps: Vec<WireStep>,
    /// Number of occurrences, first one in milliseconds since the Unix epoch, period in milliseconds.
    repeat: Option<(u32, u64, u64)>,
    /// Microseconds since the Unix epoch.
    submitted: u64,
    /// Left out if there is none, so that entries of versions without it can read the record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    account: Option<String>,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct WireTask {
    /// Occurrence, step, index.
    position: (u32, u16, u16),
    done: bool,
    failures: u16,
    attempt: u32,
    /// Runner, its incarnation, its host, attempt. A suspicion has the attempt [`SUSPICION`]. An assignment that is settled
    /// has a second row with that attempt and without the host. A start that the task waits for has the attempt [`LATE_START`].
    assignments: Vec<(String, u64, String, u32)>,
    checkpoint: Option<String>,
    /// Left out if it is 0, so that entries of versions without it can read the record.
    #[serde(default, skip_serializing_if = "is_zero")]
    crashes: u8,
}

/// Stands for the attempt in the row of a suspicion, since attempts count from 1. Entries of versions without suspicions
/// take the row for a run that may be alive, and wait for it no longer than for any other.
const SUSPICION: u32 = 0;
/// Stands for the attempt in the row of a start that the task waits for. Entries of versions without such rows take the row for a
/// run that may be alive, and wait for it no longer than for any other.
const LATE_START: u32 = u32::MAX;

fn is_zero(number: &u8) -> bool {
    *number == 0
}

#[derive(serde::Deserialize, serde::Serialize)]
struct WireProgress {
    epoch: u64,
    outcome: Option<Outcome>,
    begun: bool,
    finished: u32,
    tasks: Vec<WireTask>,
}

/// Returns the key and the value of a record.
pub fn encode(record: &Record) -> (String, Vec<u8>) {
    match record {
        Record::Job(job) => (format!("j{}", job.id), pack(&WireJob::from(job.as_ref()))),
        Record::Cancel(id) => (format!("c{id}"), pack(&true)),
        Record::Progress(progress) => (
            format!("p{}", progress.id),
            pack(&WireProgress::from(progress.as_ref())),
        ),
        Record::Leader(leader) => (LEADER_KEY.to_owned(), pack(&WireLeader::from(leader))),
        Record::Wave(wave) => {
            let host = wave.begun.first().map_or("", |host| &**host);
            (
                format!("w{}/{host}", wave.number),
                pack(&WireWave::from(wave)),
            )
        }
        Record::HostOrder(order) => (
            format!("h{}", order.host),
            pack(&WireHostOrder::from(order)),
        ),
        Record::Lease(lease) => (format!("r{}", lease.runner), pack(&WireLease::from(lease))),
        Record::Demand(demand) => (DEMAND_KEY.to_owned(), pack(&WireDemand::from(demand))),
        Record::Forget(id) => (format!("j{id}"), Vec::new()),
    }
}

/// Decodes a record from its key and its value. Returns `None` for a removal that needs no action: that of a job is read
/// from the removal of its submission.
///
/// # Errors
///
/// Fails if the key is unknown or the value does not fit the key.
pub fn decode(key: &str, value: &[u8]) -> Result<Option<Record>, Error> {
    if key == LEADER_KEY {
        let leader = unpack::<WireLeader>(key, value)?.into();
        return Ok(Some(Record::Leader(leader)));
    }
    if key == DEMAND_KEY {
        let demand = unpack::<WireDemand>(key, value)?.into();
        return Ok(Some(Record::Demand(demand)));
    }
    let unknown = || Error::Key(key.chars().take(40).collect());
    let (kind, name) = key.split_at_checked(1).ok_or_else(unknown)?;
    if kind == "w" {
        let number = name.split('/').next().unwrap_or_default();
        let number = number.parse().map_err(|_| unknown())?;
        let wire: WireWave = unpack(key, value)?;
        return Ok(Some(Record::Wave(wire.with_number(number))));
    }
    if kind == "h" {
        let wire: WireHostOrder = unpack(key, value)?;
        return Ok(Some(Record::HostOrder(wire.with_host(name))));
    }
    if kind == "r" {
        let wire: WireLease = unpack(key, value)?;
        return Ok(Some(Record::Lease(wire.with_runner(name))));
    }
    let id = Id::try_from(name).map_err(|_| unknown())?;
    Ok(Some(match kind {
        "j" if value.is_empty() => Record::Forget(id),
        "c" | "p" if value.is_empty() => return Ok(None),
        "j" => {
            let job = unpack::<WireJob>(key, value)?.with_id(id);
            Record::Job(Arc::new(job))
        }
        "c" => Record::Cancel(id),
        "p" => {
            let progress = unpack::<WireProgress>(key, value)?.with_id(id);
            Record::Progress(Arc::new(progress))
        }
        _ => return Err(unknown()),
    }))
}

/// Returns the keys of all records that the log may hold of a job.
pub fn keys(id: Id) -> [String; 3] {
    [format!("j{id}"), format!("c{id}"), format!("p{id}")]
}

fn pack<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that MessagePack cannot represent, and none of these is one.
    rmp_serde::to_vec(value).unwrap_or_default()
}

fn unpack<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(value).map_err(|error| Error::Value {
        key: key.chars().take(40).collect(),
        reason: error.to_string(),
    })
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl From<&Step> for WireStep {
    fn from(step: &Step) -> Self {
        let bit = |set: bool, bit: u8| if set { bit } else { 0 };
        Self {
            count: step.count,
            need: step.need,
            estimate: millis(step.estimate),
            after: step.after.to_vec(),
            flags: bit(step.checkpoints, CHECKPOINTS)
                | bit(step.gang, GANG)
                | bit(step.coupled, COUPLED)
                | bit(step.speculative, SPECULATIVE)
                | bit(step.long_running, LONG_RUNNING)
                | bit(step.uses_spare_cpu, USES_SPARE_CPU),
            label: step.label.clone(),
            rack: step.data_rack.clone(),
            spread: step.max_per_runner,
            image: step.image.clone(),
            target: step.target.map(millis),
            may_miss: step.max_unavailable,
        }
    }
}

impl From<WireStep> for Step {
    fn from(wire: WireStep) -> Self {
        let has = |bit: u8| wire.flags & bit != 0;
        Self {
            count: wire.count,
            need: wire.need,
            estimate: Duration::from_millis(wire.estimate),
            after: wire.after.into(),
            checkpoints: has(CHECKPOINTS),
            gang: has(GANG),
            coupled: has(COUPLED),
            label: wire.label,
            data_rack: wire.rack,
            max_per_runner: wire.spread,
            speculative: has(SPECULATIVE),
            long_running: has(LONG_RUNNING),
            image: wire.image,
            target: wire.target.map(Duration::from_millis),
            uses_spare_cpu: has(USES_SPARE_CPU),
            max_unavailable: wire.may_miss,
        }
    }
}

impl From<&Job> for WireJob {
    fn from(job: &Job) -> Self {
        let repeat = |repeat: Repeat| {
            let first = repeat.first.as_millis();
            (repeat.count, first, millis(repeat.period))
        };
        Self {
            queue: job.queue.to_string(),
            terms: (
                job.policy.pool.to_string(),
                job.policy.priority,
                job.policy.attempts,
                job.policy.stretch,
                millis(job.policy.target),
            ),
            specification: job.specification.to_string(),
            steps: job.steps.iter().map(WireStep::from).collect(),
            repeat: job.repeat.map(repeat),
            submitted: job.submitted.as_micros(),
            account: job.account.as_deref().map(str::to_owned),
        }
    }
}

impl WireJob {
    fn with_id(self, id: Id) -> Job {
        let (pool, priority, attempts, stretch, target) = self.terms;
        Job {
            id,
            queue: self.queue.into(),
            policy: Policy {
                pool: pool.into(),
                priority,
                attempts,
                stretch,
                target: Duration::from_millis(target),
            },
            specification: self.specification.into(),
            steps: self.steps.into_iter().map(Step::from).collect(),
            repeat: self.repeat.map(|(count, first, period)| Repeat {
                count,
                first: Time::from_millis(first),
                period: Duration::from_millis(period),
            }),
            submitted: Time::from_micros(self.submitted),
            account: self.account.map(Arc::from),
        }
    }
}

impl From<&progress::Task> for WireTask {
    fn from(task: &progress::Task) -> Self {
        let Position {
            occurrence,
            step,
            index,
        } = task.position;
        let row = |at: &Assignment| {
            let host = at.host.to_string();
            (at.runner.to_string(), at.incarnation, host, at.attempt)
        };
        let suspicion = |at: &Suspicion| {
            let host = at.host.to_string();
            (at.runner.to_string(), at.incarnation, host, SUSPICION)
        };
        let settled = |at: &&Assignment| at.settled;
        let settled_row = |at: &Assignment| {
            let runner = at.runner.to_string();
            (runner, at.incarnation, String::new(), SUSPICION)
        };
        let late_start = |at: &progress::Start| {
            let host = at.host.to_string();
            (at.runner.to_string(), at.incarnation, host, LATE_START)
        };
        let assignments = task.assignments.iter();
        let settled = assignments.clone().filter(settled).map(settled_row);
        Self {
            position: (occurrence, step, index),
            done: task.done,
            failures: task.failures,
            attempt: task.attempt,
            assignments: assignments
                .map(row)
                .chain(settled)
                .chain(task.suspicions.iter().map(suspicion))
                .chain(task.late_starts.iter().map(late_start))
                .collect(),
            checkpoint: task.checkpoint.as_deref().map(str::to_owned),
            crashes: task.crashes,
        }
    }
}

impl From<WireTask> for progress::Task {
    fn from(wire: WireTask) -> Self {
        let (occurrence, step, index) = wire.position;
        let mut assignments: Vec<Assignment> = Vec::new();
        let mut suspicions: Vec<Suspicion> = Vec::new();
        let mut late_starts: Vec<progress::Start> = Vec::new();
        for (runner, incarnation, host, attempt) in wire.assignments {
            let (runner, host): (Arc<str>, Arc<str>) = (runner.into(), host.into());
            // A runner that has the task can't be suspected at the same time.
            let mut known = assignments.iter_mut();
            let assigned = known.find(|at| at.runner == runner && at.incarnation == incarnation);
            match (attempt, assigned) {
                (LATE_START, _) => late_starts.push(progress::Start {
                    runner,
                    incarnation,
                    host,
                }),
                (SUSPICION, Some(assigned)) => assigned.settled = true,
                (SUSPICION, None) => suspicions.push(Suspicion {
                    runner,
                    incarnation,
                    host,
                }),
                _ => assignments.push(Assignment {
                    runner,
                    incarnation,
                    host,
                    attempt,
                    settled: false,
                }),
            }
        }
        Self {
            position: Position {
                occurrence,
                step,
                index,
            },
            done: wire.done,
            failures: wire.failures,
            attempt: wire.attempt,
            assignments,
            late_starts,
            checkpoint: wire.checkpoint.map(Arc::from),
            crashes: wire.crashes,
            suspicions,
        }
    }
}

impl From<&Progress> for WireProgress {
    fn from(progress: &Progress) -> Self {
        Self {
            epoch: progress.epoch,
            outcome: progress.outcome,
            begun: progress.begun,
            finished: progress.finished,
            tasks: progress.tasks.iter().map(WireTask::from).collect(),
        }
    }
}

impl WireProgress {
    fn with_id(self, id: Id) -> Progress {
        Progress {
            id,
            epoch: self.epoch,
            outcome: self.outcome,
            begun: self.begun,
            finished: self.finished,
            tasks: self.tasks.into_iter().map(progress::Task::from).collect(),
        }
    }
}
