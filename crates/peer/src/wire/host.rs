//! Serialised host in the platform's host list.

use super::{
    Error,
    error::{
        parse_address,
        parse_name, //
    },
};
use crate::message;

/// Serialised form of [`message::Host`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Host {
    name: String,
    incarnation: u64,
    zone: String,
    address: String,
    #[serde(default)]
    leaving: bool,
}

impl From<&message::Host> for Host {
    fn from(host: &message::Host) -> Self {
        Self {
            name: host.name.to_string(),
            incarnation: host.incarnation,
            zone: host.zone.to_string(),
            address: host.address.to_string(),
            leaving: host.leaving,
        }
    }
}

impl TryFrom<Host> for message::Host {
    type Error = Error;

    fn try_from(wire: Host) -> Result<Self, Error> {
        Ok(Self {
            name: parse_name("name", &wire.name)?,
            incarnation: wire.incarnation,
            zone: parse_name("zone", &wire.zone)?,
            address: parse_address("address", &wire.address)?,
            leaving: wire.leaving,
        })
    }
}
