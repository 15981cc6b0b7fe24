//! Status of pools and upstreams for operators.

use sassafrascrank_dispatch::{
    Engine,
    Snapshot, //
};
use sassafrascrank_observe::status::update;
use sassafrascrank_route::HealthState;

/// Combines the engine's counts with the names in the current snapshot.
pub(super) fn status(engine: &Engine, snapshot: &Snapshot) -> update::Engine {
    update::Engine {
        pools: pools(engine, snapshot),
        upstreams: upstreams(engine, snapshot),
    }
}

fn pools(engine: &Engine, snapshot: &Snapshot) -> Vec<update::Pool> {
    let loads = engine.loads().filter_map(|(key, load)| {
        let pool = snapshot.pools.iter().find(|pool| pool.key == key)?;
        Some(update::Pool {
            name: pool.name.clone(),
            slots: load.slots.into(),
            running: load.running.into(),
            queued: load.queued.into(),
        })
    });
    let mut pools: Vec<_> = loads.collect();
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    pools
}

fn upstreams(engine: &Engine, snapshot: &Snapshot) -> Vec<update::Upstream> {
    let mut entries: Vec<_> = snapshot.upstreams.iter().collect();
    entries.sort_by_key(|entry| entry.key);
    let states = engine.upstreams().filter_map(|status| {
        let index = entries
            .binary_search_by_key(&status.upstream, |entry| entry.key)
            .ok()?;
        let entry = entries[index];
        let pool = snapshot.pools.iter().find(|pool| pool.key == entry.pool)?;
        Some(update::Upstream {
            host: entry.host.clone(),
            pool: pool.name.clone(),
            zone: entry.zone.clone(),
            state: match (status.drain, status.state) {
                (Some(_), _) => update::State::Draining,
                (None, HealthState::Ejected(_)) => update::State::Ejected,
                (None, _) => update::State::Active,
            },
            slots: status.quota.into(),
            running: status.running.into(),
        })
    });
    let mut upstreams: Vec<_> = states.collect();
    upstreams.sort_by(|a, b| a.host.cmp(&b.host));
    upstreams
}
