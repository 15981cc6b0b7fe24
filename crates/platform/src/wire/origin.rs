//! Wire format of the identity of a record.

use super::{
    Error,
    text::parse_name, //
};
use sassafrascrank_ledger as ledger;

/// Identity of a record. Copies of a record have the same origin.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Name of the host or operator.
    pub writer: String,
    /// Incarnation of the writer.
    pub incarnation: u64,
    /// Number of the record among those of this incarnation, from 1.
    pub sequence: u64,
}

impl From<&ledger::Origin> for Origin {
    fn from(origin: &ledger::Origin) -> Self {
        Self {
            writer: origin.writer.to_string(),
            incarnation: origin.incarnation,
            sequence: origin.sequence,
        }
    }
}

impl TryFrom<Origin> for ledger::Origin {
    type Error = Error;

    fn try_from(wire: Origin) -> Result<Self, Error> {
        if wire.sequence == 0 {
            return Err(Error::new("origin.sequence", 0, "count records from 1"));
        }
        Ok(Self {
            writer: parse_name("origin.writer", &wire.writer)?,
            incarnation: wire.incarnation,
            sequence: wire.sequence,
        })
    }
}
