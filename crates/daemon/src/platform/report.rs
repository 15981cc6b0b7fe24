//! Names and status for the observe thread.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::member::View;
use sassafrascrank_dispatch::Snapshot;
use sassafrascrank_observe::{
    names::Table,
    status::update, //
};

/// Returns the names of all keys in a snapshot.
pub(super) fn names(snapshot: &Snapshot) -> Table {
    let customers = snapshot.customers.iter();
    let pools = snapshot.pools.iter();
    let upstreams = snapshot.upstreams.iter();
    Table {
        customers: customers
            .map(|customer| (customer.key, customer.name.clone()))
            .collect(),
        pools: pools.map(|pool| (pool.key, pool.name.clone())).collect(),
        upstreams: upstreams
            .map(|upstream| (upstream.key, upstream.host.clone()))
            .collect(),
        members: Vec::new(),
    }
}

/// Returns the status of the log, the configuration and the membership.
pub(super) fn status(
    configuration: u64,
    view: &View,
    log_lost_since: Option<Time>,
) -> update::Platform {
    let zones = view.zones.iter();
    let members = zones.flat_map(|(zone, state)| {
        state.members.iter().map(|member| update::Member {
            host: member.entry.host.clone(),
            incarnation: member.entry.incarnation,
            zone: zone.clone(),
            address: member.address,
            reachable: true,
        })
    });
    let mut members: Vec<_> = members.collect();
    members.sort_by(|a, b| a.host.cmp(&b.host));
    update::Platform {
        configuration,
        membership: view.offset,
        members,
        log_lost: log_lost_since,
    }
}
