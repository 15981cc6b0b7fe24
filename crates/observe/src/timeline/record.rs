//! Record of an event, with names in place of keys.

use super::Process;
use crate::{
    event::{
        Event,
        Kind,
        request, //
    },
    names::Names, //
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// An event of one process, with names in place of keys.
///
/// Its causal parents are the earlier events of the same `request` and the publication of `configuration`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Process in which it happened.
    pub process: Arc<Process>,
    /// Position in the time line of that process, from 1.
    pub sequence: u64,
    /// When it happened, by the clock of that process.
    pub time: Time,
    /// What happened.
    pub kind: Kind,
    /// Outcome of the request, if it has one.
    pub outcome: Option<Outcome>,
    /// Why an attempt failed or a request was refused.
    pub reason: Option<Reason>,
    /// The request concerned.
    pub request: Option<request::Id>,
    /// Offset of the configuration in force, or published by this event; 0 before the first.
    pub configuration: u64,
    /// Customer concerned.
    pub customer: Option<Name>,
    /// Urgency class of the request; 0 is the most urgent.
    pub class: Option<class::Index>,
    /// Pool concerned.
    pub pool: Option<Name>,
    /// Host of the upstream concerned.
    pub upstream: Option<Name>,
    /// Host of the other entry concerned.
    pub member: Option<Name>,
    /// A number whose meaning depends on the kind; see the variants of [`Kind`].
    pub detail: u64,
}

impl Record {
    /// Creates a record with the names of the keys in `event`. A key without a known name is left out.
    pub(super) fn new(
        process: Arc<Process>,
        sequence: u64,
        configuration: u64,
        event: &Event,
        names: &Names,
    ) -> Self {
        Self {
            process,
            sequence,
            time: event.time,
            kind: event.kind,
            outcome: event.outcome,
            reason: event.reason,
            request: event.request,
            configuration,
            customer: event.customer.and_then(|key| names.customer(key)).cloned(),
            class: event.class,
            pool: event.pool.and_then(|key| names.pool(key)).cloned(),
            upstream: event.upstream.and_then(|key| names.upstream(key)).cloned(),
            member: event.member.and_then(|key| names.member(key)).cloned(),
            detail: event.detail,
        }
    }
}

/// Writes ` label=value` if there is a value.
fn write_part(
    f: &mut fmt::Formatter<'_>,
    label: &str,
    value: Option<impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {label}={value}"),
        None => Ok(()),
    }
}

/// Writes one line: seconds since the Unix epoch, process, sequence, kind and the fields that are set.
impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let micros = self.time.as_micros();
        write!(
            f,
            "{}.{:06} {} #{} {}",
            micros / MICROS_PER_SECOND,
            micros % MICROS_PER_SECOND,
            self.process,
            self.sequence,
            self.kind,
        )?;
        write_part(f, "request", self.request)?;
        write_part(f, "customer", self.customer.as_ref())?;
        write_part(f, "class", self.class.map(|class| class.0))?;
        write_part(f, "pool", self.pool.as_ref())?;
        write_part(f, "upstream", self.upstream.as_ref())?;
        write_part(f, "member", self.member.as_ref())?;
        write_part(f, "outcome", self.outcome)?;
        write_part(f, "reason", self.reason)?;
        write!(
            f,
            " detail={} configuration={}",
            self.detail, self.configuration
        )
    }
}
