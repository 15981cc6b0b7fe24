//! Serialised form of a pool's reservation.

use super::{
    Error,
    contract::parse_name, //
};
use crate::model;
use sassafrascrank_base::{
    name::Name,
    time::Time, //
};
use std::collections::BTreeMap;

/// Reservation as written in records; all times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// State of the maintenance wave in this pool.
    pub wave: Wave,
    /// Hosts that were deliberately taken out of service.
    pub hosts: BTreeMap<String, Absence>,
    /// Those of `hosts` that move to another pool, with the new pool.
    pub moves: BTreeMap<String, String>,
    /// Hosts that failed, with the start of the failure.
    pub failed: BTreeMap<String, u64>,
    /// Hosts that finished this wave.
    pub finished: BTreeMap<String, Finish>,
}

/// Wave as written in records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// When the pool started the wave.
    pub started_ms: u64,
    /// When `progress` last changed.
    pub since_ms: u64,
    /// `running`, `paused`, `stopped-failures` or `stopped-rack`.
    pub progress: Progress,
}

/// Progress as written in records.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// New drains start.
    Running,
    /// Paused by an operator.
    Paused,
    /// Stopped because returned hosts fail more often than others.
    StoppedFailures,
    /// Stopped because a rack failed.
    StoppedRack,
}

/// Absence as written in records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Absence {
    /// `draining`, `out` or `returning`.
    pub step: Step,
    /// When the host reached that step.
    pub since_ms: u64,
    /// Number of the wave in which the step was recorded.
    pub wave: u64,
}

/// Step as written in records.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Completes its work.
    Draining,
    /// May be rebooted.
    Out,
    /// Rebooted and on probation.
    Returning,
}

/// Finish as written in records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Finish {
    /// When the host finished the wave.
    pub at_ms: u64,
    /// `done`, `broken` or `skipped`.
    pub result: Maintenance,
}

/// Result as written in records.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Maintenance {
    /// Rebooted and healthy.
    Done,
    /// Not healthy in time after it went out of service.
    Broken,
    /// Skipped by an operator.
    Skipped,
}

impl From<&model::Reservation> for Reservation {
    fn from(reservation: &model::Reservation) -> Self {
        let wave = reservation.wave;
        Self {
            wave: Wave {
                number: wave.number,
                started_ms: wave.started.as_millis(),
                since_ms: wave.since.as_millis(),
                progress: wave.progress.into(),
            },
            hosts: encode_map(&reservation.hosts, |absence| Absence {
                step: absence.step.into(),
                since_ms: absence.since.as_millis(),
                wave: absence.wave,
            }),
            moves: encode_map(&reservation.moves, ToString::to_string),
            failed: encode_map(&reservation.failed, |since| since.as_millis()),
            finished: encode_map(&reservation.finished, |finish| Finish {
                at_ms: finish.at.as_millis(),
                result: finish.result.into(),
            }),
        }
    }
}

impl TryFrom<Reservation> for model::Reservation {
    type Error = Error;

    fn try_from(wire: Reservation) -> Result<Self, Error> {
        Ok(Self {
            wave: model::Wave {
                number: wire.wave.number,
                started: Time::from_millis(wire.wave.started_ms),
                since: Time::from_millis(wire.wave.since_ms),
                progress: wire.wave.progress.into(),
            },
            hosts: decode_map("hosts", wire.hosts, |absence| model::Absence {
                step: absence.step.into(),
                since: Time::from_millis(absence.since_ms),
                wave: absence.wave,
            })?,
            moves: decode_moves(wire.moves)?,
            failed: decode_map("failed", wire.failed, Time::from_millis)?,
            finished: decode_map("finished", wire.finished, |finish| model::Finish {
                at: Time::from_millis(finish.at_ms),
                result: finish.result.into(),
            })?,
        })
    }
}

fn encode_map<A, B>(map: &BTreeMap<Name, A>, encode: impl Fn(&A) -> B) -> BTreeMap<String, B> {
    map.iter()
        .map(|(name, value)| (name.to_string(), encode(value)))
        .collect()
}

fn decode_map<A, B>(
    field: &'static str,
    map: BTreeMap<String, A>,
    decode: impl Fn(A) -> B,
) -> Result<BTreeMap<Name, B>, Error> {
    map.into_iter()
        .map(|(name, value)| Ok((parse_name(field, &name)?, decode(value))))
        .collect()
}

fn decode_moves(map: BTreeMap<String, String>) -> Result<BTreeMap<Name, Name>, Error> {
    map.into_iter()
        .map(|(host, pool)| Ok((parse_name("moves", &host)?, parse_name("moves", &pool)?)))
        .collect()
}

macro_rules! convert {
    ($($wire:ident: $model:ty { $($variant:ident = ($($value:tt)+);)* })*) => {$(
        impl From<$model> for $wire {
            fn from(value: $model) -> Self {
                match value { $($($value)+ => Self::$variant,)* }
            }
        }

        impl From<$wire> for $model {
            fn from(value: $wire) -> Self {
                match value { $($wire::$variant => $($value)+,)* }
            }
        }
    )*};
}

convert! {
    Progress: model::Progress {
        Running = (model::Progress::Running);
        Paused = (model::Progress::Paused);
        StoppedFailures = (model::Progress::Stopped(model::Cause::Failures));
        StoppedRack = (model::Progress::Stopped(model::Cause::Rack));
    }
    Step: model::Step {
        Draining = (model::Step::Draining);
        Out = (model::Step::Out);
        Returning = (model::Step::Returning);
    }
    Maintenance: model::Maintenance {
        Done = (model::Maintenance::Done);
        Broken = (model::Maintenance::Broken);
        Skipped = (model::Maintenance::Skipped);
    }
}
