//! Pools as a table.

use crate::fleet::{
    Availability,
    describe_progress, //
};
use core::fmt;
use sassafrascrank_contract::model::{
    Progress,
    Step, //
};
use sassafrascrank_fleet::{
    Budget,
    Inventory,
    inventory, //
};
use serde::Serialize;

/// Pools, ordered by name.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Table {
    /// One row for each pool.
    pub pools: Vec<Row>,
}

/// A pool.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Its name.
    pub pool: String,
    /// Its availability.
    #[serde(flatten)]
    pub figures: Availability,
    /// The wave in the pool; `None` before the first one.
    pub wave: Option<Wave>,
}

/// A wave in one pool.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Whether it starts drains.
    pub progress: &'static str,
    /// Pool whose record halts the wave in all pools.
    pub halted_by: Option<String>,
    /// Hosts that get no new work.
    pub draining: usize,
    /// Hosts that may be rebooted.
    pub out: usize,
    /// Hosts that have yet to prove healthy.
    pub returning: usize,
    /// Hosts that are done.
    pub finished: usize,
}

impl From<&Inventory> for Table {
    fn from(inventory: &Inventory) -> Self {
        let halting = |pool: &inventory::Pool| pool.reservation.wave.progress != Progress::Running;
        let mut pools = inventory.pools();
        let holder = pools.find(|(_, pool)| halting(pool));
        let holder = holder.map(|(_, pool)| pool);
        let rows = inventory.pools().map(|(key, pool)| Row {
            pool: pool.name.to_string(),
            figures: Availability::from(&Budget::new(inventory, key, &pool.reservation)),
            wave: Wave::new(pool, holder),
        });
        Self {
            pools: rows.collect(),
        }
    }
}

impl Wave {
    fn new(pool: &inventory::Pool, holder: Option<&inventory::Pool>) -> Option<Self> {
        let reservation = &pool.reservation;
        let wave = reservation.wave;
        let holder = match wave.progress {
            Progress::Running => holder,
            _ => Some(pool),
        };
        if wave.number == 0 && wave.progress == Progress::Running && reservation.hosts.is_empty() {
            return None;
        }
        // Hosts that move are out of service too, but not for the wave.
        let count = |step: Step| {
            let hosts = reservation.hosts.iter();
            let maintained = hosts.filter(|(host, _)| !reservation.moves.contains_key(*host));
            maintained.filter(|(_, it)| it.step == step).count()
        };
        Some(Self {
            number: wave.number,
            progress: describe_progress(holder.map_or(wave, |it| it.reservation.wave).progress),
            halted_by: holder.map(|pool| pool.name.to_string()),
            draining: count(Step::Draining),
            out: count(Step::Out),
            returning: count(Step::Returning),
            finished: reservation.finished.len(),
        })
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>6} {:>9} {:>5} {:>6} {:>6} {:>5}  wave",
            "pool", "hosts", "available", "out", "failed", "budget", "room"
        )?;
        for Row {
            pool,
            figures,
            wave,
        } in &self.pools
        {
            write!(
                f,
                "{pool:<16} {:>6} {:>9} {:>5} {:>6} {:>6} {:>5}  ",
                figures.hosts,
                figures.available,
                figures.out,
                figures.failed,
                figures.budget,
                figures.room
            )?;
            match wave {
                Some(wave) => writeln!(f, "{wave}")?,
                None => writeln!(f, "-")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Wave {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number, self.progress)?;
        if let Some(pool) = &self.halted_by {
            write!(f, " (reservation/{pool})")?;
        }
        write!(
            f,
            ": {} draining, {} out, {} returning, {} finished",
            self.draining, self.out, self.returning, self.finished
        )
    }
}
