//! Serialised configuration.

use super::{
    Error, SUBJECT_LIMIT,
    error::{
        check_count,
        parse_name, //
    },
};
use sassafrascrank_contract::{
    model,
    wire, //
};
use sassafrascrank_ledger as ledger;

/// Serialised form of [`ledger::Image`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Image {
    through: u64,
    floor: u64,
    values: Vec<Revision>,
    writers: Vec<WriterState>,
}

/// Value of one subject, which may be a tombstone.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Revision {
    subject: String,
    offset: u64,
    writer: String,
    value: wire::Value,
}

/// Highest sequence number of a writer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct WriterState {
    writer: String,
    incarnation: u64,
    sequence: u64,
    offset: u64,
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

impl TryFrom<Image> for ledger::Image {
    type Error = Error;

    fn try_from(wire: Image) -> Result<Self, Error> {
        check_count("values", wire.values.len(), SUBJECT_LIMIT)?;
        check_count("writers", wire.writers.len(), SUBJECT_LIMIT)?;
        check_offset("floor", wire.floor, wire.through)?;
        let through = wire.through;
        let values = wire
            .values
            .into_iter()
            .map(|revision| revision.check(through));
        let writers = wire.writers.into_iter().map(|state| state.check(through));
        Ok(Self {
            through,
            floor: wire.floor,
            values: values.collect::<Result<_, _>>()?,
            writers: writers.collect::<Result<_, _>>()?,
        })
    }
}

impl Revision {
    fn check(self, through: u64) -> Result<(model::Subject, ledger::Revision), Error> {
        check_offset("values.offset", self.offset, through)?;
        let subject = model::Subject::try_from(self.subject.as_str());
        let subject =
            subject.map_err(|error| Error::new("subject", &self.subject, error.to_string()))?;
        let value = model::Value::try_from(self.value);
        let revision = ledger::Revision {
            offset: self.offset,
            writer: parse_name("values.writer", &self.writer)?,
            value: value.map_err(|error| Error::from(error).within(&self.subject))?,
        };
        Ok((subject, revision))
    }
}

impl WriterState {
    fn check(self, through: u64) -> Result<ledger::WriterState, Error> {
        check_offset("writers.offset", self.offset, through)?;
        Ok(ledger::WriterState {
            writer: parse_name("writers.writer", &self.writer)?,
            incarnation: self.incarnation,
            sequence: self.sequence,
            offset: self.offset,
        })
    }
}

/// Checks that the offset of a part of a state is not above that of the state.
pub(super) fn check_offset(field: &str, offset: u64, through: u64) -> Result<(), Error> {
    if offset <= through {
        return Ok(());
    }
    let remedy = format!("send at most the offset of the state, {through}");
    Err(Error::new(field, offset, remedy))
}
