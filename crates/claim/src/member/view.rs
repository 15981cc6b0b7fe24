//! Membership at one offset of the stream `member`.

use super::{
    Entry,
    Member, //
};
use crate::key::Key;
use sassafrascrank_base::prelude::Name;
use std::collections::BTreeMap;

/// Number of hosts whose last incarnation is kept; beyond it, the host that joined the longest ago is removed.
///
/// At 170 restarts a day, each on a host with a new name, this covers more than three weeks. A host whose entry is a
/// member is never removed.
pub const HOST_LIMIT: usize = 4_096;

/// Members by zone at one offset; snapshots store this value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Offset of the last folded record, 0 for none.
    pub offset: u64,
    /// State of each zone that has ever had a member.
    pub zones: BTreeMap<Name, Zone>,
    /// Last join of each host.
    pub hosts: BTreeMap<Name, Host>,
}

/// Members of one zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Offset of the last record that changed this zone.
    pub revision: u64,
    /// Whether a member was ever retired; it may still run keys until it reads its retirement.
    pub retired: bool,
    /// Members in the order of their joins.
    pub members: Vec<Member>,
}

/// Last join of an entry on a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Host {
    /// Highest incarnation that joined.
    pub incarnation: u64,
    /// Offset of that join.
    pub offset: u64,
}

impl View {
    /// Returns the zone, if it ever had a member.
    pub fn zone(&self, zone: &Name) -> Option<&Zone> {
        self.zones.get(zone)
    }

    /// Returns the member that owns `key`, or `None` if its home zone has no member.
    pub fn owner(&self, key: &Key) -> Option<&Member> {
        self.zone(key.zone())?.owner(key.hash())
    }

    /// Returns the zone of which `entry` is a member.
    pub fn zone_of(&self, entry: &Entry) -> Option<&Name> {
        let mut zones = self.zones.iter();
        zones
            .find(|(_, zone)| zone.member(entry).is_some())
            .map(|(name, _)| name)
    }

    pub(super) fn member_mut(&mut self, entry: &Entry) -> Option<&mut Member> {
        let mut members = self.zones.values_mut().flat_map(|zone| &mut zone.members);
        members.find(|member| member.entry == *entry)
    }

    /// Removes the host that joined the longest ago if there are more than [`HOST_LIMIT`].
    pub(super) fn limit_hosts(&mut self) {
        if self.hosts.len() <= HOST_LIMIT {
            return;
        }
        let members = || self.zones.values().flat_map(|zone| &zone.members);
        let oldest = self
            .hosts
            .iter()
            .filter(|(name, _)| members().all(|member| member.entry.host != **name))
            .min_by_key(|(_, host)| host.offset)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.hosts.remove(&name);
        }
    }
}

impl Zone {
    /// Returns the member with the highest score for the hash of a key.
    pub fn owner(&self, hash: u64) -> Option<&Member> {
        let mut members = self.members.iter();
        let first = members.next()?;
        let start = (first.entry.score(hash), first);
        let best = members.fold(start, |best, member| {
            let score = member.entry.score(hash);
            // Equal scores go to the higher name, so that the order of joins does not matter.
            if (score, &member.entry) > (best.0, &best.1.entry) {
                (score, member)
            } else {
                best
            }
        });
        Some(best.1)
    }

    /// Returns the member that is `entry`.
    pub fn member(&self, entry: &Entry) -> Option<&Member> {
        self.members.iter().find(|member| member.entry == *entry)
    }
}
