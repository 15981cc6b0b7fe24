//! Progress of the wave and its expected end.

use crate::{
    fleet::describe_progress,
    why::Late, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Progress;
use sassafrascrank_fleet::{
    Inventory, Rules,
    inventory::Pool,
    wave::{
        self,
        Forecast, //
    },
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Progress of the wave of the current period.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Status {
    /// Number of the wave.
    pub wave: u64,
    /// Whether it is running, paused or stopped; it starts drains only while it is running.
    pub progress: &'static str,
    /// Pool whose reservation record pauses or stops it.
    pub halted_by: Option<String>,
    /// Seconds until the period ends.
    pub left_s: u64,
    /// Most seconds until the wave ends; `None` if it can't end in the present state of the fleet.
    pub needs_s: Option<u64>,
    /// Progress in each pool, ordered by name.
    pub pools: Vec<Row>,
    /// Pools that don't finish in time.
    pub late: Vec<Late>,
    /// The same pools as in `late`, as the crate `fleet` describes them.
    #[serde(skip)]
    pub(super) forecasts: Vec<Forecast>,
}

/// Progress in one pool.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The pool.
    pub pool: String,
    /// Hosts that are done, broken or skipped.
    pub done: usize,
    /// Hosts that are out of service for the wave.
    pub running: usize,
    /// Hosts whose maintenance has not begun.
    pub waiting: usize,
    /// Most seconds that they need; `None` if they can't finish in the present state of the fleet.
    pub needs_s: Option<u64>,
}

impl Status {
    /// Computes the status of the wave at `now`.
    pub fn new(inventory: &Inventory, rules: &Rules, now: Time) -> Self {
        let number = rules.wave(now);
        let deadline = rules.deadline(number);
        let mut pools = inventory.pools();
        let halting_pool =
            pools.find(|(_, pool)| pool.reservation.wave.progress != Progress::Running);
        let halting_pool = halting_pool.map(|(_, pool)| pool);
        let needs = find_needs(inventory, rules, deadline);
        let rows = inventory
            .pools()
            .map(|(_, pool)| Row::new(inventory, pool, number, &needs));
        let mut rows: Vec<Row> = rows.collect();
        if halting_pool.is_some() {
            let pending = rows.iter_mut().filter(|row| row.needs_s != Some(0));
            pending.for_each(|row| row.needs_s = None);
        }
        let forecasts = wave::forecast(inventory, rules, now);
        let progress =
            halting_pool.map_or(Progress::Running, |pool| pool.reservation.wave.progress);
        // Pools proceed in parallel, so the slowest one decides.
        let longest = rows
            .iter()
            .map(|row| row.needs_s)
            .collect::<Option<Vec<_>>>();
        let longest = longest.map(|needs| needs.into_iter().max().unwrap_or(0));
        Self {
            wave: number,
            progress: describe_progress(progress),
            halted_by: halting_pool.map(|pool| pool.name.to_string()),
            left_s: deadline.since(now).as_secs(),
            needs_s: longest,
            pools: rows,
            late: forecasts.iter().map(Late::from).collect(),
            forecasts,
        }
    }
}

/// Returns the time that each unfinished pool needs.
///
/// A forecast names only the pools that don't finish in time. It is computed for the last millisecond of the period,
/// when no unfinished pool can finish in time, so that it names all of them.
fn find_needs(
    inventory: &Inventory,
    rules: &Rules,
    deadline: Time,
) -> BTreeMap<Name, Option<Duration>> {
    let last = Time::from_millis(deadline.as_millis().saturating_sub(1));
    let forecasts = wave::forecast(inventory, rules, last);
    forecasts
        .into_iter()
        .map(|forecast| (forecast.pool, forecast.needs))
        .collect()
}

impl Row {
    fn new(
        inventory: &Inventory,
        pool: &Pool,
        number: u64,
        needs: &BTreeMap<Name, Option<Duration>>,
    ) -> Self {
        let reservation = &pool.reservation;
        let begun = reservation.wave.number >= number;
        let (mut done, mut running, mut waiting) = (0, 0, 0);
        let hosts = pool.hosts.iter().filter_map(|&key| inventory.host(key));
        for host in hosts {
            let name = &host.name;
            let moves = reservation.moves.contains_key(name);
            match () {
                () if reservation.hosts.contains_key(name) && !moves => running += 1,
                () if begun && reservation.finished.contains_key(name) => done += 1,
                () => waiting += 1,
            }
        }
        let needs = match needs.get(&pool.name) {
            Some(needs) => needs.map(|needs| needs.as_secs()),
            None => Some(0),
        };
        Self {
            pool: pool.name.to_string(),
            done,
            running,
            waiting,
            needs_s: needs,
        }
    }
}
