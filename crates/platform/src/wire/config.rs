//! Wire format of the records of the stream `config`.

use super::{
    Error, Origin,
    text::{
        self,
        parse_name, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    model,
    wire, //
};
use sassafrascrank_ledger as ledger;

/// Record of the stream `config`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// New values for some subjects.
    Change(Change),
    /// The whole state.
    Snapshot(Snapshot),
}

/// New values that come into force together.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identity of the record.
    pub origin: Origin,
    /// New values.
    pub entries: Vec<Entry>,
}

/// New value of one subject.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// `customer/<name>`, `pool/<name>`, `host/<name>` or `reservation/<pool>`.
    pub subject: String,
    /// Offset of the value that was in force when the writer decided.
    pub basis: u64,
    /// The new value.
    pub value: wire::Value,
}

/// The whole state at the time of writing.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Identity of the record.
    pub origin: Origin,
    /// When it was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The state.
    pub image: Image,
}

/// The whole state at one offset. Peers transfer it in the same format.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Image {
    /// Offset of the last record that it includes.
    pub through: u64,
    /// Basis of the subjects without a value.
    pub floor: u64,
    /// Values in force and tombstones.
    pub values: Vec<Revision>,
    /// Writers and their highest sequence numbers.
    pub writers: Vec<WriterState>,
}

/// Value in force, or the tombstone of a removed value.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Subject of the value, as in [`Entry::subject`].
    pub subject: String,
    /// Offset of the change that set it.
    pub offset: u64,
    /// Writer of that change.
    pub writer: String,
    /// The value.
    pub value: wire::Value,
}

/// Highest sequence number of a writer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WriterState {
    /// Name of the writer.
    pub writer: String,
    /// Incarnation of the writer.
    pub incarnation: u64,
    /// Highest sequence number.
    pub sequence: u64,
    /// Offset of the record with that number.
    pub offset: u64,
}

/// Encodes a record as JSON text.
pub fn encode(record: &ledger::Record) -> String {
    text::encode(&Record::from(record))
}

/// Decodes a record and checks its values.
///
/// # Errors
///
/// Names field, value and remedy of the first invalid value.
pub fn decode(body: &str) -> Result<ledger::Record, Error> {
    text::decode::<Record, _>(body)
}

impl From<&ledger::Record> for Record {
    fn from(record: &ledger::Record) -> Self {
        match record {
            ledger::Record::Change(change) => Self::Change(Change {
                origin: (&change.origin).into(),
                entries: change.entries.iter().map(Entry::from).collect(),
            }),
            ledger::Record::Snapshot(snapshot) => Self::Snapshot(Snapshot {
                origin: (&snapshot.origin).into(),
                written_ms: snapshot.written.as_millis(),
                image: (&snapshot.image).into(),
            }),
        }
    }
}

impl From<&ledger::Entry> for Entry {
    fn from(entry: &ledger::Entry) -> Self {
        Self {
            subject: entry.subject.to_string(),
            basis: entry.basis,
            value: (&entry.value).into(),
        }
    }
}

impl From<&ledger::Image> for Image {
    fn from(image: &ledger::Image) -> Self {
        let values = image.values.iter();
        let writers = image.writers.iter();
        Self {
            through: image.through,
            floor: image.floor,
            values: values
                .map(|(subject, revision)| Revision {
                    subject: subject.to_string(),
                    offset: revision.offset,
                    writer: revision.writer.to_string(),
                    value: (&revision.value).into(),
                })
                .collect(),
            writers: writers
                .map(|state| WriterState {
                    writer: state.writer.to_string(),
                    incarnation: state.incarnation,
                    sequence: state.sequence,
                    offset: state.offset,
                })
                .collect(),
        }
    }
}

impl TryFrom<Record> for ledger::Record {
    type Error = Error;

    fn try_from(wire: Record) -> Result<Self, Error> {
        Ok(match wire {
            Record::Change(change) => Self::Change(ledger::Change {
                origin: change.origin.try_into()?,
                entries: change
                    .entries
                    .into_iter()
                    .map(TryInto::try_into)
                    .collect::<Result<_, _>>()?,
            }),
            Record::Snapshot(snapshot) => Self::Snapshot(ledger::Snapshot {
                origin: snapshot.origin.try_into()?,
                written: Time::from_millis(snapshot.written_ms),
                image: snapshot.image.try_into()?,
            }),
        })
    }
}

impl TryFrom<Entry> for ledger::Entry {
    type Error = Error;

    fn try_from(wire: Entry) -> Result<Self, Error> {
        Ok(Self {
            subject: parse_subject(&wire.subject)?,
            basis: wire.basis,
            value: check_value(&wire.subject, wire.value)?,
        })
    }
}

impl TryFrom<Image> for ledger::Image {
    type Error = Error;

    fn try_from(wire: Image) -> Result<Self, Error> {
        let values = wire.values.into_iter().map(convert_revision);
        let writers = wire.writers.into_iter().map(TryInto::try_into);
        Ok(Self {
            through: wire.through,
            floor: wire.floor,
            values: values.collect::<Result<_, _>>()?,
            writers: writers.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<WriterState> for ledger::WriterState {
    type Error = Error;

    fn try_from(wire: WriterState) -> Result<Self, Error> {
        Ok(Self {
            writer: parse_name("writer", &wire.writer)?,
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            offset: wire.offset,
        })
    }
}

fn convert_revision(wire: Revision) -> Result<(model::Subject, ledger::Revision), Error> {
    let subject = parse_subject(&wire.subject)?;
    let revision = ledger::Revision {
        offset: wire.offset,
        writer: parse_name("writer", &wire.writer)?,
        value: check_value(&wire.subject, wire.value)?,
    };
    Ok((subject, revision))
}

fn parse_subject(text: &str) -> Result<model::Subject, Error> {
    model::Subject::try_from(text).map_err(|error| Error::new("subject", text, error.to_string()))
}

fn check_value(subject: &str, value: wire::Value) -> Result<model::Value, Error> {
    let value = model::Value::try_from(value);
    value.map_err(|error| Error::from(error).within(subject))
}
