//! Counts and latencies of the requests of one load.

use sassafrascrank_base::prelude::*;

/// Outcomes of the requests of one load.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    /// Time in the queue of each request that was started.
    pub(crate) waits: Vec<Duration>,
    /// Time from arrival to refusal of each request that was refused.
    pub(crate) refusals: Vec<Duration>,
}

impl Tally {
    /// Returns the 99th percentile of the waits.
    pub(crate) fn wait(&self) -> Duration {
        percentile(&self.waits)
    }

    /// Returns the 99th percentile of the times to a refusal.
    pub(crate) fn refusal(&self) -> Duration {
        percentile(&self.refusals)
    }
}

/// Returns the 99th percentile.
fn percentile(values: &[Duration]) -> Duration {
    let mut values = values.to_vec();
    values.sort_unstable();
    values
        .get(values.len() * 99 / 100)
        .copied()
        .unwrap_or_default()
}
