//! Results of the demo.

use super::{
    plan::{
        CUSTOMERS,
        Plan, //
    },
    sample::{
        Outcome,
        Phase,
        Sample,
        Work, //
    },
};
use core::time::Duration;
use serde::Serialize;

/// Results of all requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// One row for each customer, kind of request and phase.
    pub rows: Vec<Row>,
    /// Portion of the rate before the flood that each customer kept during the flood.
    pub kept: Vec<Portion>,
    /// Requests during the shutdown of one entry.
    pub shutdown: Shutdown,
    /// Requests that were not sent because too many were open.
    pub skipped: usize,
}

/// Requests of one customer and kind that began in one phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the customer.
    #[serde(rename = "house")]
    pub customer: &'static str,
    /// Kind of request.
    pub work: &'static str,
    /// Phase.
    pub phase: &'static str,
    /// All requests.
    pub requests: usize,
    /// Complete answers.
    pub answered: usize,
    /// Rejections of requests that did not run.
    pub not_run: usize,
    /// Rejections and errors of requests that may have run.
    pub unknown: usize,
    /// Requests that no entry accepted, or whose connection broke before a complete answer.
    pub cut: usize,
    /// Answers within the deadline, in percent of requests.
    pub in_time_percent: f64,
    /// Median time to an answer in milliseconds.
    pub median_ms: Option<f64>,
    /// 99th percentile of the time to an answer in milliseconds.
    pub p99_ms: Option<f64>,
}

/// Rate of quotes answered in time during the flood, in percent of the rate before the flood.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Portion {
    /// Name of the customer.
    #[serde(rename = "house")]
    pub customer: &'static str,
    /// Percentage.
    pub percent: f64,
}

/// Requests that began while one entry shut down.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Shutdown {
    /// All requests.
    pub requests: usize,
    /// Complete answers.
    pub answered: usize,
    /// Rejections of requests that did not run.
    pub not_run: usize,
    /// Rejections and errors of requests that may have run.
    pub unknown: usize,
    /// Connections that broke before a complete answer or rejection.
    pub cut: usize,
    /// Requests that no entry accepted.
    pub unsent: usize,
}

impl Report {
    /// Computes the results.
    pub fn new(plan: &Plan, samples: &[Sample], skipped: usize) -> Self {
        let mut rows = Vec::new();
        for customer in 0..CUSTOMERS.len() {
            for work in [Work::Quote, Work::Ledger] {
                for phase in [Phase::Before, Phase::Flood, Phase::After] {
                    rows.extend(row(samples, customer, work, phase));
                }
            }
        }
        Self {
            rows,
            kept: (0..CUSTOMERS.len())
                .map(|customer| kept(plan, samples, customer))
                .collect(),
            shutdown: shutdown(samples),
            skipped,
        }
    }
}

fn row(samples: &[Sample], customer: usize, work: Work, phase: Phase) -> Option<Row> {
    let wanted = |sample: &&Sample| {
        sample.customer == customer && sample.work == work && sample.phase == phase
    };
    let samples: Vec<_> = samples.iter().filter(wanted).collect();
    if samples.is_empty() {
        return None;
    }
    let answered = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Answered);
    let mut latencies: Vec<_> = answered.map(|sample| sample.latency).collect();
    latencies.sort_unstable();
    let count = |outcome| {
        samples
            .iter()
            .filter(|sample| sample.outcome == outcome)
            .count()
    };
    let in_time = samples.iter().filter(|sample| is_in_time(sample)).count();
    Some(Row {
        customer: CUSTOMERS[customer],
        work: work.as_str(),
        phase: phase.as_str(),
        requests: samples.len(),
        answered: latencies.len(),
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        cut: count(Outcome::Cut) + count(Outcome::Unsent),
        in_time_percent: percent(in_time as f64, samples.len() as f64),
        median_ms: percentile(&latencies, 50),
        p99_ms: percentile(&latencies, 99),
    })
}

fn kept(plan: &Plan, samples: &[Sample], customer: usize) -> Portion {
    let rate = |phase| {
        let wanted = |sample: &&Sample| {
            sample.customer == customer && sample.work == Work::Quote && sample.phase == phase
        };
        let in_time = samples
            .iter()
            .filter(wanted)
            .filter(|sample| is_in_time(sample));
        in_time.count() as f64 / plan.length(phase).as_secs_f64()
    };
    Portion {
        customer: CUSTOMERS[customer],
        percent: percent(rate(Phase::Flood), rate(Phase::Before)),
    }
}

fn shutdown(samples: &[Sample]) -> Shutdown {
    let mut shutdown = Shutdown::default();
    for sample in samples
        .iter()
        .filter(|sample| sample.phase == Phase::Shutdown)
    {
        shutdown.requests += 1;
        *match sample.outcome {
            Outcome::Answered => &mut shutdown.answered,
            Outcome::NotRun => &mut shutdown.not_run,
            Outcome::Unknown => &mut shutdown.unknown,
            Outcome::Cut => &mut shutdown.cut,
            Outcome::Unsent => &mut shutdown.unsent,
        } += 1;
    }
    shutdown
}

fn is_in_time(sample: &Sample) -> bool {
    sample.outcome == Outcome::Answered && sample.latency <= sample.work.deadline()
}

/// Returns a percentage with one decimal place, rounded down so that a loss shows.
fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 0.0;
    }
    (part / whole * 1_000.0).floor() / 10.0
}

/// Returns a percentile of the sorted times in milliseconds, by the nearest-rank method; `None` if there are no times.
fn percentile(sorted: &[Duration], percent: usize) -> Option<f64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    let time = sorted.get(rank.checked_sub(1)?)?;
    Some((time.as_secs_f64() * 10_000.0).round() / 10.0)
}
