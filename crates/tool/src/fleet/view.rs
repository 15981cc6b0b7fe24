//! Reads the configuration and the host list from the platform.

use crate::cli::{
    Error,
    block_on, //
};
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::{
    Inventory, Rules,
    inventory::{
        Health,
        Observation,
        Work, //
    },
};
use sassafrascrank_ledger::{
    State,
    Status, //
};
use sassafrascrank_platform::{
    Condition, Directory, Host,
    follow::catch_up,
    http::{
        Client,
        Limits, //
    },
};
use std::collections::BTreeMap;
use tokio::time::timeout;

/// Longest time for reading the log and the host list.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// Configuration in force and the platform's host list, read one after the other.
pub struct View {
    /// Configuration in force.
    pub state: State,
    /// Hosts that the platform lists.
    pub listed: BTreeMap<Name, Host>,
    /// Both combined, as input of the decisions about the fleet.
    pub inventory: Inventory,
}

/// Reads the fleet from the platform.
///
/// # Errors
///
/// Fails if the platform does not answer in time, or if its log lacks records that no snapshot replaces.
pub fn read(platform: SocketAddr) -> Result<View, Report<Error>> {
    block_on(async {
        let fleet = timeout(READ_LIMIT, fetch(platform)).await;
        fleet.change_context(Error::Fleet)?
    })?
}

async fn fetch(platform: SocketAddr) -> Result<View, Report<Error>> {
    let mut client = Client::new(platform, Limits::default());
    let mut state = State::new(1);
    let steps = catch_up(&mut client, &mut state).await;
    steps.change_context(Error::Fleet)?;
    if state.status() != Status::Complete {
        let problem = "the log begins after offset 1 and holds no snapshot; wait until an entry process has written one";
        return Err(Report::new(Error::Fleet).attach(problem));
    }
    let hosts = client.hosts().await.change_context(Error::Fleet)?;
    // `None` means that the list is unchanged since the last read; this is the first one.
    let hosts = hosts.unwrap_or_default();
    let hosts = hosts.into_iter().map(|host| (host.host.clone(), host));
    Ok(View::new(state, hosts.collect()))
}

impl View {
    /// Combines the configuration with the host list.
    pub fn new(state: State, listed: BTreeMap<Name, Host>) -> Self {
        let inventory = build(&state, &listed);
        Self {
            state,
            listed,
            inventory,
        }
    }

    /// Rebuilds the inventory after a change was applied to `state`.
    pub fn refresh(&mut self) {
        self.inventory = build(&self.state, &self.listed);
    }
}

fn build(state: &State, listed: &BTreeMap<Name, Host>) -> Inventory {
    let mut inventory = Inventory::default();
    let image = state.export().unwrap_or_default();
    inventory.set_floor(image.floor);
    for (subject, held) in &image.values {
        // No earlier observation exists, so the time in a step counts from the record that began it.
        inventory.set(subject, held.offset, &held.value, Time::MIN);
    }
    for host in listed.values() {
        inventory.set_location(&host.host, &host.zone, &host.rack);
    }
    let assigned = state.hosts().map(|(name, _, _)| name);
    for name in assigned.chain(listed.keys()) {
        observe(&mut inventory, name, listed.get(name));
    }
    inventory
}

/// Adds the observation of a host that the host list implies.
///
/// A host that is not listed, or that is leaving, takes no new work and counts as failed unless it is reserved. The
/// list holds no times: the start of a failure comes from the pool's reservation, and each host is assumed to have work
/// for the whole drain limit.
fn observe(inventory: &mut Inventory, name: &Name, listed: Option<&Host>) {
    let host = inventory
        .find_host(name)
        .and_then(|key| inventory.host(key));
    let pool = host
        .and_then(|host| host.pool)
        .and_then(|key| inventory.pool(key));
    let failed = pool.and_then(|pool| pool.reservation.failed.get(name).copied());
    let since = failed.unwrap_or(Time::MIN);
    let is_live = listed.is_some_and(|host| host.condition == Condition::Live);
    let health = match is_live {
        true => Health::Healthy { since: Time::MIN },
        false => Health::Failed { since },
    };
    let work = Work::Busy {
        remaining: Rules::default().drain_limit,
        movable: true,
    };
    let observation = Observation {
        health,
        work,
        booted: Time::MIN,
    };
    inventory.observe(name, observation);
}
