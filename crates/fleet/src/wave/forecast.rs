//! Whether a wave finishes in time, and what prevents it.

use super::Rules;
use crate::{
    budget::Budget,
    inventory::{
        Host,
        Inventory,
        Pool,
        Work, //
    },
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Progress,
    Step, //
};
use std::collections::BTreeMap;

/// Why a pool's wave does not finish in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// No host may leave service even while none is out voluntarily.
    NoRoom,
    /// The remaining hosts take longer than the time that is left.
    Slow,
    /// Work on this draining host neither ends nor can be moved.
    Pinned(Name),
    /// The wave is paused or stopped.
    Halted(Progress),
}

/// Outlook of a pool whose wave does not finish in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// The pool.
    pub pool: Name,
    /// Offset of the reservation record, 0 if there is none.
    pub offset: u64,
    /// Hosts not yet done.
    pub pending: usize,
    /// Availability that decides how many may leave at once.
    pub budget: Budget,
    /// Time that the remaining hosts need at that width; `None` if they never finish.
    pub needs: Option<Duration>,
    /// Time that is left.
    pub left: Duration,
    /// What prevents it.
    pub cause: Cause,
}

impl fmt::Display for Forecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (pool, pending) = (&self.pool, self.pending);
        write!(
            f,
            "pool {pool}: {pending} hosts won't be maintained in time: "
        )?;
        match &self.cause {
            Cause::NoRoom => write!(f, "the budget lets no host leave")?,
            Cause::Slow => write!(f, "the budget lets too few hosts leave at once")?,
            Cause::Pinned(host) => write!(f, "work on {host} neither ends nor can be moved")?,
            Cause::Halted(progress) => write!(f, "the wave is halted ({progress:?})")?,
        }
        match self.needs {
            Some(needs) => write!(f, "; needs {} s", needs.as_secs())?,
            None => write!(f, "; never finishes as things are")?,
        }
        let (left, budget, offset) = (self.left.as_secs(), self.budget, self.offset);
        write!(
            f,
            ", {left} s left; {budget} (reservation at offset {offset})"
        )
    }
}

/// Returns the pools whose wave does not finish in time, ordered by name.
pub fn forecast(inventory: &Inventory, rules: &Rules, now: Time) -> Vec<Forecast> {
    let pools = inventory.pools();
    pools
        .filter_map(|(key, _)| forecast_pool(inventory, key, rules, now))
        .collect()
}

fn forecast_pool(
    inventory: &Inventory,
    key: pool::Key,
    rules: &Rules,
    now: Time,
) -> Option<Forecast> {
    let pool = inventory.pool(key)?;
    let reservation = &pool.reservation;
    let number = rules.wave(now);
    let begun = reservation.wave.number >= number;
    let hosts = inventory.hosts(key).map(|(_, host)| host);
    let pending: Vec<&Host> = hosts
        .filter(|host| !begun || !reservation.finished.contains_key(&host.name))
        .collect();
    if pending.is_empty() {
        return None;
    }
    let budget = Budget::new(inventory, key, reservation);
    let left = rules.deadline(number).since(now);
    let width = budget.room() + budget.reserved;
    let needs = (width > 0).then(|| estimate(&pending, width, rules));
    let pinned = pending
        .iter()
        .find(|host| is_pinned(host, pool, rules, now));
    let halted = inventory
        .pools()
        .map(|(_, pool)| pool.reservation.wave.progress);
    let halted = halted
        .into_iter()
        .find(|&progress| progress != Progress::Running);
    let (cause, needs) = match (pinned, needs) {
        (_, None) => (Cause::NoRoom, None),
        (Some(host), _) => (Cause::Pinned(host.name.clone()), None),
        (None, Some(needs)) if needs > left => (Cause::Slow, Some(needs)),
        (None, Some(_)) => (Cause::Halted(halted?), None),
    };
    Some(Forecast {
        pool: pool.name.clone(),
        offset: pool.basis.unwrap_or(0),
        pending: pending.len(),
        budget,
        needs,
        left,
        cause,
    })
}

/// Estimates the time for the pending hosts, zone after zone, `width` at once, the longest first.
fn estimate(pending: &[&Host], width: usize, rules: &Rules) -> Duration {
    let mut zones: BTreeMap<_, Vec<Duration>> = BTreeMap::new();
    for host in pending {
        let work = host.observation.map(|observation| observation.work);
        let drain = work.map_or(Duration::ZERO, Work::remaining);
        let span = drain.min(rules.drain_limit) + rules.reboot + rules.proof;
        zones.entry(host.location).or_default().push(span);
    }
    zones
        .into_values()
        .map(|mut spans| {
            spans.sort_unstable();
            let mut lanes = vec![Duration::ZERO; width];
            while let (Some(span), Some(lane)) = (spans.pop(), lanes.iter_mut().min()) {
                *lane += span;
            }
            lanes.into_iter().max().unwrap_or_default()
        })
        .sum()
}

fn is_pinned(host: &Host, pool: &Pool, rules: &Rules, now: Time) -> bool {
    let Some(absence) = pool.reservation.hosts.get(&host.name) else {
        return false;
    };
    let work = host.observation.map(|observation| observation.work);
    let unmovable = matches!(work, Some(Work::Busy { movable: false, .. }));
    let late = pool.age(&host.name, *absence, now) >= rules.drain_limit;
    absence.step == Step::Draining && unmovable && late
}
