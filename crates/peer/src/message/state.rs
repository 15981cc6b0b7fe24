//! Configuration, membership and host list that one process fetches from another.

use super::Host;
use sassafrascrank_claim::member::View;
use sassafrascrank_ledger::Image;

/// The state that the asking process has already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownState {
    /// Offset of its configuration.
    pub config: u64,
    /// Offset of its membership view.
    pub member: u64,
    /// Whether it has a host list.
    pub hosts: bool,
}

/// State that is newer than that of the asking process; a part that is not newer is absent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Configuration at a later offset.
    pub config: Option<Image>,
    /// Membership at a later offset.
    pub member: Option<View>,
    /// Host list, only for a process that has none: lists carry no offset that would tell which one is newer.
    pub hosts: Option<Vec<Host>>,
}

impl State {
    /// Removes the parts that are not newer than the known state.
    pub fn newer_than(self, after: KnownState) -> Self {
        Self {
            config: self.config.filter(|image| image.through > after.config),
            member: self.member.filter(|view| view.offset > after.member),
            hosts: self.hosts.filter(|_| !after.hosts),
        }
    }

    /// Returns whether no part is present.
    pub const fn is_empty(&self) -> bool {
        self.config.is_none() && self.member.is_none() && self.hosts.is_none()
    }
}
