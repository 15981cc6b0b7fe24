//! Wire format of the records of the stream `member`.

use super::{
    Error, Origin,
    text::{
        self,
        parse_name, //
    },
};
use core::net::SocketAddr;
use sassafrascrank_base::name::Name;
use sassafrascrank_ledger as ledger;

/// Change of the membership of entry processes.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// An entry process started.
    Join(Join),
    /// An entry process stops as planned.
    Leave(Leave),
    /// Another entry process has received nothing from it and removes it.
    Retire(Retire),
}

/// An entry process started.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Join {
    /// Identity of the record.
    pub origin: Origin,
    /// Name of the entry host.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for peers, `<IP>:<port>`.
    pub address: String,
}

/// An entry process stops as planned.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Identity of the record.
    pub origin: Origin,
    /// Name of the entry host.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Another entry process has received nothing from it and removes it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retire {
    /// Identity of the record.
    pub origin: Origin,
    /// Name of the entry host.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Host of the process that removes it.
    pub by: String,
}

/// Validated membership record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Membership {
    /// Identity of the record.
    pub origin: ledger::Origin,
    /// Name of the entry host.
    pub host: Name,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Change of its membership.
    pub transition: Transition,
}

/// Change of the membership of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The process started.
    Join {
        /// Availability zone.
        zone: Name,
        /// Address for peers.
        address: SocketAddr,
    },
    /// The process stops as planned.
    Leave,
    /// Another entry process has received nothing from it and removes it.
    Retire {
        /// Host of the process that removes it.
        by: Name,
    },
}

/// Encodes a record as JSON text.
pub fn encode(record: &Membership) -> String {
    text::encode(&Record::from(record))
}

/// Decodes a record and checks its values.
///
/// # Errors
///
/// Names field, value and remedy of the first invalid value.
pub fn decode(body: &str) -> Result<Membership, Error> {
    text::decode::<Record, _>(body)
}

impl From<&Membership> for Record {
    fn from(record: &Membership) -> Self {
        let origin = (&record.origin).into();
        let host = record.host.to_string();
        let incarnation = record.incarnation;
        match &record.transition {
            Transition::Join { zone, address } => Self::Join(Join {
                origin,
                host,
                incarnation,
                zone: zone.to_string(),
                address: address.to_string(),
            }),
            Transition::Leave => Self::Leave(Leave {
                origin,
                host,
                incarnation,
            }),
            Transition::Retire { by } => Self::Retire(Retire {
                origin,
                host,
                incarnation,
                by: by.to_string(),
            }),
        }
    }
}

impl TryFrom<Record> for Membership {
    type Error = Error;

    fn try_from(wire: Record) -> Result<Self, Error> {
        let (origin, host, incarnation, transition) = match wire {
            Record::Join(join) => {
                let transition = Transition::Join {
                    zone: parse_name("zone", &join.zone)?,
                    address: parse_address("address", &join.address)?,
                };
                (join.origin, join.host, join.incarnation, transition)
            }
            Record::Leave(leave) => (
                leave.origin,
                leave.host,
                leave.incarnation,
                Transition::Leave,
            ),
            Record::Retire(retire) => {
                let transition = Transition::Retire {
                    by: parse_name("by", &retire.by)?,
                };
                (retire.origin, retire.host, retire.incarnation, transition)
            }
        };
        Ok(Self {
            origin: origin.try_into()?,
            host: parse_name("host", &host)?,
            incarnation,
            transition,
        })
    }
}

pub(super) fn parse_address(field: &str, text: &str) -> Result<SocketAddr, Error> {
    let parsed = text.parse();
    parsed.map_err(|_| {
        Error::new(
            field,
            text,
            "give an IP address and a port, like 10.0.0.7:8080",
        )
    })
}
