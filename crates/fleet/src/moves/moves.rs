//! Decides which hosts move to which pool, and completes moves of drained hosts.
//!
//! A move takes three records: the host is `draining` and names its new pool, the host is `out`, and one change
//! releases the host and assigns it to the new pool.

use crate::{
    budget,
    inventory::{
        Host,
        Inventory,
        Pool,
        Work, //
    },
    wave::{
        Draft,
        Proposal,
        Rules, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Step;
use std::collections::BTreeMap;

/// Least ratio of the time that a host is needed in its new pool to the time that draining it takes. Without this
/// margin, hosts would move back and forth for demand peaks that last about as long as a drain.
const MIN_BENEFIT_RATIO: u32 = 2;

/// Demand of one pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Pool that needs the hosts.
    pub pool: pool::Key,
    /// Number of hosts that the pool needs.
    pub hosts: usize,
    /// How long the pool is expected to need them.
    pub duration: Duration,
}

/// Supply and demand of one pool. `supply` counts hosts by the pool that they belong to after all moves.
struct Balance<'a> {
    pool: &'a Pool,
    key: pool::Key,
    supply: usize,
    demand: Demand,
    spare: bool,
    /// Offset of the newest assignment to the pool.
    newest_assignment: u64,
}

impl Balance<'_> {
    fn surplus(&self) -> usize {
        self.supply.saturating_sub(self.demand.hosts)
    }

    fn deficit(&self) -> usize {
        self.demand.hosts.saturating_sub(self.supply)
    }
}

/// Returns the proposals that start or complete moves, at most one for each pool.
///
/// Pools without a demand neither give nor receive hosts. If the platform's reports are too old, nothing is proposed.
pub fn plan(inventory: &Inventory, rules: &Rules, demands: &[Demand], now: Time) -> Vec<Proposal> {
    if now.since(inventory.observed()) > rules.report_age_limit {
        return Vec::new();
    }
    let mut drafts = BTreeMap::new();
    for (key, pool) in inventory.pools() {
        complete_move(
            inventory,
            pool,
            drafts.entry(key).or_insert(Draft::new(pool, now)),
        );
    }
    let mut balances = compute_balances(inventory, demands);
    // Serves the largest deficit first and spare pools last.
    let mut sinks: Vec<usize> = (0..balances.len()).collect();
    sinks.sort_by_key(|&sink| {
        let balance = &balances[sink];
        (balance.spare, core::cmp::Reverse(balance.deficit()))
    });
    for sink in sinks {
        while balances[sink].deficit() > 0 {
            if !start_move(inventory, rules, &mut balances, sink, &mut drafts) {
                break;
            }
        }
    }
    let pools = inventory.pools();
    let proposals =
        pools.filter_map(|(key, pool)| drafts.remove(&key)?.into_proposal(inventory, pool));
    proposals.collect()
}

/// Assigns one drained host to its new pool.
///
/// A move is withdrawn if the host has failed or its new pool no longer exists.
fn complete_move(inventory: &Inventory, pool: &Pool, draft: &mut Draft) {
    for (name, target) in &pool.reservation.moves {
        let absence = pool.reservation.hosts.get(name);
        if absence.is_none_or(|absence| absence.step != Step::Out) {
            continue;
        }
        let target = inventory
            .find_pool(target)
            .and_then(|key| inventory.pool(key));
        let target = target.filter(|target| target.policy.is_some());
        let host = inventory
            .find_host(name)
            .and_then(|key| inventory.host(key));
        let host = host.filter(|host| host.healthy_since().is_some());
        match (target, host) {
            (Some(target), Some(host)) => {
                draft.join(inventory, host, target);
                return;
            }
            _ => draft.withdraw(name),
        }
    }
}

/// Computes the supply of each pool that has a demand, as it will be when all moves are complete.
fn compute_balances<'a>(inventory: &'a Inventory, demands: &[Demand]) -> Vec<Balance<'a>> {
    let mut arriving: BTreeMap<&Name, usize> = BTreeMap::new();
    for (_, pool) in inventory.pools() {
        for target in pool.reservation.moves.values() {
            *arriving.entry(target).or_default() += 1;
        }
    }
    let balance = |(key, pool): (pool::Key, &'a Pool)| {
        let demand = demands.iter().find(|demand| demand.pool == key)?;
        let arriving = arriving.get(&pool.name).copied().unwrap_or(0);
        Some(Balance {
            pool,
            key,
            supply: pool.hosts.len() + arriving - pool.reservation.moves.len(),
            demand: *demand,
            newest_assignment: inventory
                .hosts(key)
                .map(|(_, host)| host.assignment_offset)
                .max()
                .unwrap_or(0),
            spare: pool.policy.as_ref().is_some_and(|policy| policy.spare),
        })
    };
    inventory.pools().filter_map(balance).collect()
}

/// Starts one move to the pool with index `sink`; returns false if no pool can give a host now.
fn start_move(
    inventory: &Inventory,
    rules: &Rules,
    balances: &mut [Balance<'_>],
    sink: usize,
    drafts: &mut BTreeMap<pool::Key, Draft>,
) -> bool {
    let mut sources: Vec<usize> = (0..balances.len()).collect();
    sources.retain(|&source| balances[source].surplus() > 0);
    // Spare pools give hosts first, then the pool that received a host most recently. It had the most recent peak, so
    // if the pools' demands peak in turn, it is the last one to need its hosts again.
    sources.sort_by_key(|&source| {
        let balance = &balances[source];
        (
            !balance.spare,
            core::cmp::Reverse((balance.newest_assignment, balance.surplus())),
        )
    });
    let target = &balances[sink];
    let max_drain = target.demand.duration / MIN_BENEFIT_RATIO;
    let target = target.pool.name.clone();
    for source in sources {
        let key = balances[source].key;
        let Some(draft) = drafts.get_mut(&key) else {
            continue;
        };
        // If this draft moves a host to its new pool, the inventory still counts that host here, so the budget would
        // come out too large.
        let has_join = draft.has_join();
        let Some(host) = choose_host(inventory, rules, key, draft, max_drain).filter(|_| !has_join)
        else {
            // A pool whose budget or zone is in use can give a host soon. Taking one from another pool instead would
            // leave that pool short at its own next peak, and more moves would follow: a third more over a week of
            // peaks in turn.
            if draft.value.hosts.is_empty() && !has_join {
                continue;
            }
            return false;
        };
        draft.leave(&host.name, &target);
        balances[source].supply -= 1;
        balances[sink].supply += 1;
        return true;
    }
    false
}

/// Returns the host with the shortest drain among those that may leave and whose drain takes at most `max_drain`.
fn choose_host<'a>(
    inventory: &'a Inventory,
    rules: &Rules,
    pool: pool::Key,
    draft: &Draft,
    max_drain: Duration,
) -> Option<&'a Host> {
    let drain_time = |host: &Host| {
        let work = host.observation.map(|observation| observation.work);
        work.map_or(Duration::ZERO, Work::remaining)
            .min(rules.drain_limit)
    };
    let hosts = inventory.hosts(pool).map(|(_, host)| host);
    let candidates = hosts.filter(|host| {
        // A host that this draft assigns to its new pool is no longer reserved, but must not be moved again.
        let reserved_before = inventory.pool(pool).map(|pool| &pool.reservation.hosts);
        let absent = draft.value.hosts.contains_key(&host.name)
            || reserved_before.is_some_and(|hosts| hosts.contains_key(&host.name));
        let fits = || budget::check(inventory, pool, &draft.value, host).is_ok();
        !absent && drain_time(host) <= max_drain && fits()
    });
    candidates.min_by_key(|host| drain_time(host))
}
