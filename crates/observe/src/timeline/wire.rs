//! JSON form of records.

use super::Process;
use crate::event::{
    Kind,
    request, //
};
use sassafrascrank_base::{
    name,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::Arc;

/// A record as `/timeline` returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Host of the process.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Position in the time line of that process.
    pub sequence: u64,
    /// Microseconds since the Unix epoch, by the clock of that process.
    pub time: u64,
    /// Code of the kind.
    pub kind: String,
    /// Outcome of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// Code of the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Request id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Offset of the configuration.
    pub configuration: u64,
    /// Name of the customer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Urgency class of the request; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<u8>,
    /// Name of the pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Host of the upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Host of the other entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// A number whose meaning depends on the kind.
    pub detail: u64,
}

/// A field of a received record is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A name is invalid.
    #[error("field {0:?}: {1}")]
    Name(&'static str, #[source] name::Error),
    /// The request id is invalid.
    #[error("field \"request\": {0}")]
    Request(#[source] request::Error),
    /// A code is unknown.
    #[error("field {0:?}: unknown code {1:?}; use a tool of the same version as the entry process")]
    Code(&'static str, String),
}

impl From<&super::Record> for Record {
    fn from(record: &super::Record) -> Self {
        let text = |name: &Option<Name>| name.as_ref().map(|name| name.as_str().to_owned());
        Self {
            host: record.process.host.as_str().to_owned(),
            incarnation: record.process.incarnation,
            sequence: record.sequence,
            time: record.time.as_micros(),
            kind: record.kind.as_str().to_owned(),
            outcome: record.outcome.map(|outcome| outcome.as_str().to_owned()),
            reason: record.reason.map(|reason| reason.as_str().to_owned()),
            request: record.request.map(|request| request.to_string()),
            configuration: record.configuration,
            customer: text(&record.customer),
            class: record.class.map(|class| class.0),
            pool: text(&record.pool),
            upstream: text(&record.upstream),
            member: text(&record.member),
            detail: record.detail,
        }
    }
}

impl TryFrom<Record> for super::Record {
    type Error = Error;

    fn try_from(wire: Record) -> Result<Self, Error> {
        let host = parse_name("host", &wire.host)?;
        let incarnation = wire.incarnation;
        let kind = Kind::from_code(&wire.kind).ok_or(Error::Code("kind", wire.kind))?;
        let request = wire
            .request
            .map(|text| text.parse().map_err(Error::Request));
        Ok(Self {
            process: Arc::new(Process { host, incarnation }),
            sequence: wire.sequence,
            time: Time::from_micros(wire.time),
            kind,
            outcome: wire.outcome.map(outcome).transpose()?,
            reason: wire.reason.map(reason).transpose()?,
            request: request.transpose()?,
            configuration: wire.configuration,
            customer: parse_optional_name("customer", wire.customer)?,
            class: wire.class.map(class::Index),
            pool: parse_optional_name("pool", wire.pool)?,
            upstream: parse_optional_name("upstream", wire.upstream)?,
            member: parse_optional_name("member", wire.member)?,
            detail: wire.detail,
        })
    }
}

/// Parses a name in the given field.
fn parse_name(field: &'static str, text: &str) -> Result<Name, Error> {
    Name::new(text).map_err(|error| Error::Name(field, error))
}

/// Parses a name that may be absent.
fn parse_optional_name(field: &'static str, text: Option<String>) -> Result<Option<Name>, Error> {
    text.map(|text| parse_name(field, &text)).transpose()
}

/// Returns the outcome with this code.
fn outcome(code: String) -> Result<Outcome, Error> {
    let all = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown];
    let found = all.into_iter().find(|outcome| outcome.as_str() == code);
    found.ok_or(Error::Code("outcome", code))
}

/// Returns the reason with this code.
fn reason(code: String) -> Result<Reason, Error> {
    let found = Reason::ALL.iter().find(|reason| reason.as_str() == code);
    found.copied().ok_or(Error::Code("reason", code))
}
