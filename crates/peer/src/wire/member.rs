//! Serialised membership view.

use super::{
    Error,
    ZONE_LIMIT,
    ZONE_MEMBER_LIMIT,
    error::{
        check_count,
        parse_address,
        parse_name, //
    },
    image::check_offset, //
};
use sassafrascrank_claim::member;

/// Serialised form of [`member::View`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct View {
    offset: u64,
    zones: Vec<Zone>,
    /// Name, highest incarnation and offset of the join with that incarnation, for each host.
    hosts: Vec<(String, u64, u64)>,
}

/// Serialised form of [`member::Zone`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Zone {
    name: String,
    revision: u64,
    retired: bool,
    members: Vec<Member>,
}

/// Serialised form of [`member::Member`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Member {
    host: String,
    incarnation: u64,
    address: String,
    sequence: u64,
}

impl From<&member::View> for View {
    fn from(view: &member::View) -> Self {
        let zones = view.zones.iter();
        let hosts = view.hosts.iter();
        Self {
            offset: view.offset,
            zones: zones
                .map(|(name, zone)| Zone {
                    name: name.to_string(),
                    revision: zone.revision,
                    retired: zone.retired,
                    members: zone.members.iter().map(Member::from).collect(),
                })
                .collect(),
            hosts: hosts
                .map(|(name, host)| (name.to_string(), host.incarnation, host.offset))
                .collect(),
        }
    }
}

impl From<&member::Member> for Member {
    fn from(member: &member::Member) -> Self {
        Self {
            host: member.entry.host.to_string(),
            incarnation: member.entry.incarnation,
            address: member.address.to_string(),
            sequence: member.sequence,
        }
    }
}

impl TryFrom<View> for member::View {
    type Error = Error;

    fn try_from(wire: View) -> Result<Self, Error> {
        check_count("zones", wire.zones.len(), ZONE_LIMIT)?;
        check_count("hosts", wire.hosts.len(), member::HOST_LIMIT)?;
        let mut view = Self {
            offset: wire.offset,
            ..Self::default()
        };
        for zone in wire.zones {
            check_offset("zones.revision", zone.revision, wire.offset)?;
            let name = parse_name("zones.name", &zone.name)?;
            if view.zones.insert(name, zone.try_into()?).is_some() {
                return Err(Error::new("zones.name", "repeated", "send each zone once"));
            }
        }
        for (host, incarnation, offset) in wire.hosts {
            check_offset("hosts.offset", offset, wire.offset)?;
            let name = parse_name("hosts.name", &host)?;
            let value = member::Host {
                incarnation,
                offset,
            };
            if view.hosts.insert(name, value).is_some() {
                return Err(Error::new("hosts.name", host, "send each host once"));
            }
        }
        Ok(view)
    }
}

impl TryFrom<Zone> for member::Zone {
    type Error = Error;

    fn try_from(wire: Zone) -> Result<Self, Error> {
        check_count("zones.members", wire.members.len(), ZONE_MEMBER_LIMIT)?;
        let members = wire.members.into_iter().map(TryInto::try_into);
        Ok(Self {
            revision: wire.revision,
            retired: wire.retired,
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<Member> for member::Member {
    type Error = Error;

    fn try_from(wire: Member) -> Result<Self, Error> {
        Ok(Self {
            entry: member::Entry {
                host: parse_name("members.host", &wire.host)?,
                incarnation: wire.incarnation,
            },
            address: parse_address("members.address", &wire.address)?,
            sequence: wire.sequence,
        })
    }
}
