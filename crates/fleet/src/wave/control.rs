//! Operator commands for the wave.

use super::{
    Proposal,
    draft::Draft, //
};
use crate::inventory::Inventory;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Maintenance,
    Progress, //
};

/// Pauses the wave in all pools; returns `None` if it is not running.
///
/// The pause is recorded in the first pool only, because a pause in any pool holds for all.
pub fn pause(inventory: &Inventory, now: Time) -> Option<Proposal> {
    if !super::is_running(inventory) {
        return None;
    }
    let (_, pool) = inventory.pools().next()?;
    let mut draft = Draft::new(pool, now);
    draft.set_progress(Progress::Paused);
    draft.into_proposal(inventory, pool)
}

/// Resumes a wave that was paused or stopped; failures before `now` do not stop it again.
pub fn resume(inventory: &Inventory, now: Time) -> Vec<Proposal> {
    let pools = inventory.pools();
    pools
        .filter(|(_, pool)| pool.reservation.wave.progress != Progress::Running)
        .filter_map(|(_, pool)| {
            let mut draft = Draft::new(pool, now);
            draft.set_progress(Progress::Running);
            draft.into_proposal(inventory, pool)
        })
        .collect()
}

/// Excludes a host that is in service from its pool's current wave.
///
/// Returns `None` if the host is out of service, has finished the wave or has no pool.
pub fn skip(inventory: &Inventory, host: host::Key, now: Time) -> Option<Proposal> {
    let host = inventory.host(host)?;
    let pool = inventory.pool(host.pool?)?;
    let reservation = &pool.reservation;
    if reservation.hosts.contains_key(&host.name) || reservation.finished.contains_key(&host.name) {
        return None;
    }
    let mut draft = Draft::new(pool, now);
    draft.finish_host(&host.name, Maintenance::Skipped);
    draft.into_proposal(inventory, pool)
}
