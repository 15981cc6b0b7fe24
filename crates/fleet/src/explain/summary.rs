//! Explanation of the wave over all pools.

use crate::{
    inventory::Inventory,
    wave::{
        self,
        Evidence,
        Forecast,
        Rules, //
    },
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Progress;

/// State of the wave, and the records and figures behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Number of the wave that is due now.
    pub number: u64,
    /// Whether it starts drains.
    pub progress: Progress,
    /// The pool that halts it and the offset of that pool's reservation, if it is halted.
    pub halted_by: Option<(Name, u64)>,
    /// Hosts that are done in it.
    pub done: usize,
    /// All hosts of all pools.
    pub hosts: usize,
    /// Failures of returned hosts and of the others.
    pub evidence: Evidence,
    /// Pools that don't finish in time.
    pub late: Vec<Forecast>,
}

/// Explains the state of the wave.
pub fn explain_wave(inventory: &Inventory, rules: &Rules, now: Time) -> Summary {
    let number = rules.wave(now);
    let mut pools = inventory.pools();
    let halt = pools.find(|(_, pool)| pool.reservation.wave.progress != Progress::Running);
    let begun = inventory
        .pools()
        .filter(|(_, pool)| pool.reservation.wave.number == number);
    Summary {
        number,
        progress: halt.map_or(Progress::Running, |(_, pool)| {
            pool.reservation.wave.progress
        }),
        halted_by: halt.map(|(_, pool)| (pool.name.clone(), pool.basis.unwrap_or(0))),
        done: begun.map(|(_, pool)| pool.reservation.finished.len()).sum(),
        hosts: inventory.pools().map(|(_, pool)| pool.hosts.len()).sum(),
        evidence: wave::evidence(inventory, now),
        late: wave::forecast(inventory, rules, now),
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wave {}: {:?}", self.number, self.progress)?;
        if let Some((pool, offset)) = &self.halted_by {
            write!(f, " by reservation/{pool} at offset {offset}")?;
        }
        let evidence = self.evidence;
        write!(
            f,
            "; {} of {} hosts done; {} returned hosts failed in {} s of service, {} others in {} s",
            self.done,
            self.hosts,
            evidence.returned_failures,
            evidence.returned_seconds,
            evidence.other_failures,
            evidence.other_seconds
        )?;
        self.late.iter().try_for_each(|late| write!(f, "\n{late}"))
    }
}
