//! Random arrivals from a seed.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;

/// Shortest service time in microseconds; the longest is ten times as long.
const SERVICE_MIN_US: f64 = 100_000.0;
/// Mean service time in seconds when its logarithm is uniform between 0.1 s and 1 s.
pub(crate) const SERVICE_MEAN_SECONDS: f64 = 0.9 / std::f64::consts::LN_10;

/// One request.
pub(crate) struct Job {
    pub(crate) arrival: Time,
    pub(crate) stream: usize,
    pub(crate) customer: usize,
    pub(crate) class: u8,
    pub(crate) deadline: Time,
    /// Declared service time.
    pub(crate) cost: Duration,
    /// Actual service time.
    pub(crate) actual: Duration,
}

/// Requests of one class of one customer.
#[derive(Clone)]
pub(crate) struct Stream {
    pub(crate) name: &'static str,
    pub(crate) customer: usize,
    pub(crate) class: u8,
    /// Contracted part of the pool.
    pub(crate) share: f64,
    /// Demand as a part of the pool, for each second.
    pub(crate) demand: Vec<f64>,
    /// Ratio of the declared cost to the mean actual cost.
    pub(crate) cost_error: f64,
    /// Time from arrival to deadline.
    pub(crate) timeout: Duration,
}

/// Returns a demand of five times `mean` for two seconds out of `2 * count`, and of a twentieth in the others.
pub(crate) fn alternating_bursts(mean: f64, turn: usize, count: usize, seconds: usize) -> Vec<f64> {
    let factor = |second| {
        if second / 2 % count == turn {
            5.0
        } else {
            0.05
        }
    };
    (0..seconds).map(|second| mean * factor(second)).collect()
}

/// Draws the jobs of all streams, in order of arrival; a stream's jobs depend only on the seed and its own demand.
pub(crate) fn draw_jobs(seed: u64, slots: usize, streams: &[Stream]) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed * 1_000 + index as u64);
        for (second, demand) in stream.demand.iter().enumerate() {
            let rate = demand * slots as f64 / SERVICE_MEAN_SECONDS;
            let mut at = second as f64;
            loop {
                at -= (1.0 - random.random::<f64>()).ln() / rate;
                if at >= (second + 1) as f64 {
                    break;
                }
                let service = SERVICE_MIN_US * 10_f64.powf(random.random::<f64>());
                let start = Time::from_micros((at * 1e6) as u64);
                jobs.push(Job {
                    arrival: start,
                    stream: index,
                    customer: stream.customer,
                    class: stream.class,
                    deadline: start + stream.timeout,
                    cost: Duration::from_secs_f64(SERVICE_MEAN_SECONDS * stream.cost_error),
                    actual: Duration::from_micros(service as u64),
                });
            }
        }
    }
    jobs.sort_by_key(|job| (job.arrival, job.stream));
    jobs
}
