//! Serialised configuration, membership and host list.

use super::{
    Error,
    VERSION,
    codec::check_version,
    error::check_count,
    host::Host,
    image::Image,
    member::View, //
};
use crate::message;

/// Most hosts in a host list, five times the target.
const HOST_LIMIT: usize = 7_000;

/// Serialised form of [`message::State`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct State {
    /// Version.
    v: u16,
    /// Configuration, if it is newer.
    #[serde(default)]
    config: Option<Image>,
    /// Membership, if it is newer.
    #[serde(default)]
    member: Option<View>,
    /// Host list, if the process asked for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    hosts: Option<Vec<Host>>,
}

impl From<&message::State> for State {
    fn from(state: &message::State) -> Self {
        Self {
            v: VERSION,
            config: state.config.as_ref().map(Image::from),
            member: state.member.as_ref().map(View::from),
            hosts: state
                .hosts
                .as_ref()
                .map(|hosts| hosts.iter().map(Host::from).collect()),
        }
    }
}

impl TryFrom<State> for message::State {
    type Error = Error;

    fn try_from(wire: State) -> Result<Self, Error> {
        check_version(wire.v)?;
        let config = wire.config.map(TryInto::try_into).transpose();
        let member = wire.member.map(TryInto::try_into).transpose();
        let hosts = wire.hosts.map(check_hosts).transpose();
        Ok(Self {
            config: config.map_err(|error: Error| error.within("config"))?,
            member: member.map_err(|error: Error| error.within("member"))?,
            hosts: hosts.map_err(|error: Error| error.within("hosts"))?,
        })
    }
}

fn check_hosts(hosts: Vec<Host>) -> Result<Vec<message::Host>, Error> {
    check_count("hosts", hosts.len(), HOST_LIMIT)?;
    hosts.into_iter().map(TryInto::try_into).collect()
}
