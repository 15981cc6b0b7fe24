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

/// Table of pools, ordered by name.
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
    /// Whether it is running, paused or stopped; it starts drains only while it is running.
    pub progress: &'static str,
    /// Pool whose reservation record pauses or stops the wave in all pools.
    pub halted_by: Option<String>,
    /// Hosts that get no new work and complete their current work.
    pub draining: usize,
    /// Hosts that are drained and may be rebooted.
    pub out: usize,
    /// Hosts that have rebooted and have to stay healthy for the probation time.
    pub returning: usize,
    /// Hosts whose maintenance is done, broken or skipped.
    pub finished: usize,
}

impl From<&Inventory> for Table {
    fn from(inventory: &Inventory) -> Self {
        let is_halting =
            |pool: &inventory::Pool| pool.reservation.wave.progress != Progress::Running;
        let mut pools = inventory.pools();
        let halting_pool = pools.find(|(_, pool)| is_halting(pool));
        let halting_pool = halting_pool.map(|(_, pool)| pool);
        let rows = inventory.pools().map(|(key, pool)| Row {
            pool: pool.name.to_string(),
            figures: Availability::from(&Budget::new(inventory, key, &pool.reservation)),
            wave: Wave::new(pool, halting_pool),
        });
        Self {
            pools: rows.collect(),
        }
    }
}

impl Wave {
    fn new(pool: &inventory::Pool, halting_pool: Option<&inventory::Pool>) -> Option<Self> {
        let reservation = &pool.reservation;
        let wave = reservation.wave;
        let halting_pool = match wave.progress {
            Progress::Running => halting_pool,
            _ => Some(pool),
        };
        if wave.number == 0 && wave.progress == Progress::Running && reservation.hosts.is_empty() {
            return None;
        }
        // Hosts that move are out of service too, but not for the wave.
        let count = |step: Step| {
            let hosts = reservation.hosts.iter();
            let maintained = hosts.filter(|(host, _)| !reservation.moves.contains_key(*host));
            maintained
                .filter(|(_, absence)| absence.step == step)
                .count()
        };
        Some(Self {
            number: wave.number,
            progress: describe_progress(
                halting_pool
                    .map_or(wave, |pool| pool.reservation.wave)
                    .progress,
            ),
            halted_by: halting_pool.map(|pool| pool.name.to_string()),
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
