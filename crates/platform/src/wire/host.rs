//! Wire format of the host list.

use super::{
    Error,
    member::parse_address,
    text::parse_name, //
};
use crate::api;
use std::collections::BTreeSet;

/// Largest number of hosts in a list, five times the target size.
pub const HOST_LIMIT: usize = 7_000;

/// Answer to `GET /hosts` and `GET /hosts?since=VERSION`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct List {
    /// Version of this list. The platform never reuses a version; it is absent if the platform does not version its
    /// lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Version of the list to which this one lists the changes; absent if this list is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Live and leaving hosts; only the new and changed ones if `since` is present.
    pub hosts: Vec<Host>,
    /// Names of the hosts removed since that version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// One host. Unknown fields are ignored, since the platform may add some.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Address of the upstream process, `<IP>:<port>`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Increases with each start of the host.
    pub incarnation: u64,
}

impl From<&api::Host> for Host {
    fn from(host: &api::Host) -> Self {
        let state = match host.condition {
            api::Condition::Live => "live",
            api::Condition::Leaving => "leaving",
        };
        Self {
            host: host.host.to_string(),
            address: host.address.to_string(),
            zone: host.zone.to_string(),
            rack: host.rack.to_string(),
            state: state.to_owned(),
            incarnation: host.incarnation,
        }
    }
}

impl TryFrom<Host> for api::Host {
    type Error = Error;

    fn try_from(wire: Host) -> Result<Self, Error> {
        let condition = match wire.state.as_str() {
            "live" => api::Condition::Live,
            "leaving" => api::Condition::Leaving,
            other => return Err(Error::new("state", other, "use live or leaving")),
        };
        Ok(Self {
            host: parse_name("host", &wire.host)?,
            address: parse_address("address", &wire.address)?,
            zone: parse_name("zone", &wire.zone)?,
            rack: parse_name("rack", &wire.rack)?,
            condition,
            incarnation: wire.incarnation,
        })
    }
}

impl List {
    /// Returns the complete list. If this list contains changes, they are applied to the version and hosts in `known`.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid, if there are too many hosts, or if the changes refer to another version than
    /// `known`.
    pub fn resolve(self, known: Option<(u64, &[api::Host])>) -> Result<Vec<api::Host>, Error> {
        let hosts = self.hosts.into_iter().map(TryInto::try_into);
        let mut hosts = hosts.collect::<Result<Vec<api::Host>, Error>>()?;
        if let Some(since) = self.since {
            let Some((_, before)) = known.filter(|(version, _)| *version == since) else {
                return Err(Error::new("since", since, "use the version asked for"));
            };
            let changed: BTreeSet<_> = hosts.iter().map(|host| host.host.as_str()).collect();
            let removed: BTreeSet<_> = self.removed.iter().map(String::as_str).collect();
            let unchanged = |host: &&api::Host| {
                let name = host.host.as_str();
                !changed.contains(name) && !removed.contains(name)
            };
            let kept: Vec<_> = before.iter().filter(unchanged).cloned().collect();
            hosts.extend(kept);
        }
        if hosts.len() > HOST_LIMIT {
            let remedy = format!("list {HOST_LIMIT} hosts at most");
            return Err(Error::new("hosts", hosts.len(), remedy));
        }
        Ok(hosts)
    }
}
