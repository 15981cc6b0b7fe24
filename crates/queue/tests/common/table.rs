//! Measures of one run.

use super::{
    End, Run,
    load::{
        Job,
        Stream, //
    },
};
use sassafrascrank_base::prelude::*;

/// Measures of one stream in one run.
pub(crate) struct Row {
    /// Number of jobs answered within their deadline.
    pub(crate) in_time: usize,
    /// Ratio of the slot time that the stream got to the sum of min(demand, share) over all seconds.
    pub(crate) kept: f64,
    /// Slot time that the stream got, in seconds.
    pub(crate) slot_seconds: f64,
    /// 99th percentile of the wait of started jobs, in milliseconds.
    pub(crate) wait_ms: u128,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub(crate) refusal_ms: u128,
    pub(crate) refused: usize,
}

/// Measures one stream.
pub(crate) fn row(run: &Run, jobs: &[Job], slots: usize, index: usize, stream: &Stream) -> Row {
    let mut demand = vec![0.0; stream.demand.len()];
    let (mut waits, mut refusals) = (Vec::new(), Vec::new());
    let (mut slot_seconds, mut in_time) = (0.0, 0);
    for (job, end) in jobs.iter().zip(&run.ends) {
        if job.stream != index {
            continue;
        }
        demand[job.arrival.as_millis() as usize / 1_000] += job.actual.as_secs_f64();
        match end.expect("every job ends") {
            End::Refused(at) => refusals.push(at.since(job.arrival)),
            End::Started(at) => {
                waits.push(at.since(job.arrival));
                slot_seconds += job.actual.as_secs_f64();
                in_time += usize::from(at + job.actual <= job.deadline);
            }
        }
    }
    let share = stream.share * slots as f64;
    let entitled: f64 = demand.iter().map(|demand| demand.min(share)).sum();
    Row {
        in_time,
        kept: slot_seconds / entitled,
        slot_seconds,
        wait_ms: percentile(&mut waits).as_millis(),
        refused: refusals.len(),
        refusal_ms: percentile(&mut refusals).as_millis(),
    }
}

/// Returns the 99th percentile of the added wait of the jobs of stream `index` that both runs started.
pub(crate) fn added_wait(index: usize, quiet: (&Run, &[Job]), flood: (&Run, &[Job])) -> Duration {
    let waits = |(run, jobs): (&Run, &[Job])| {
        let own = jobs.iter().zip(run.ends.clone());
        let own = own.filter(|(job, _)| job.stream == index);
        own.map(|(job, end)| match end {
            Some(End::Started(at)) => Some(at.since(job.arrival)),
            _ => None,
        })
        .collect::<Vec<_>>()
    };
    let pairs = waits(quiet).into_iter().zip(waits(flood));
    let both = pairs.filter_map(|(quiet, flood)| Some(flood?.saturating_sub(quiet?)));
    percentile(&mut both.collect::<Vec<_>>())
}

/// Returns Jain's fairness index.
pub(crate) fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

/// Returns the 99th percentile.
fn percentile(values: &mut [Duration]) -> Duration {
    values.sort();
    let index = (values.len() * 99).div_ceil(100).max(1) - 1;
    values.get(index).copied().unwrap_or_default()
}
