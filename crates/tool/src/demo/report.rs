//! Availability of the demo.

use super::{
    plan::{
        HOUSES,
        Plan, //
    },
    sample::{
        Fate,
        Phase,
        Sample,
        Work, //
    },
};
use core::time::Duration;
use serde::Serialize;

/// All figures.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// One row for each house, kind of request and phase.
    pub rows: Vec<Row>,
    /// What each house kept.
    pub kept: Vec<Portion>,
    /// Requests during the shutdown of one entry.
    pub shutdown: Shutdown,
    /// Requests that were not sent because too many were open.
    pub skipped: usize,
}

/// Requests of one house and kind that began in one phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the house.
    pub house: &'static str,
    /// Kind of request.
    pub work: &'static str,
    /// Phase.
    pub phase: &'static str,
    /// All requests.
    pub requests: usize,
    /// Whole answers.
    pub answered: usize,
    /// Refusals of requests that did not run.
    pub not_run: usize,
    /// Refusals of requests that may have run.
    pub unknown: usize,
    /// Connections that broke before an answer.
    pub cut: usize,
    /// Answers within the deadline, in percent of requests.
    pub in_time_percent: f64,
    /// Median time to an answer in milliseconds.
    pub median_ms: Option<f64>,
    /// Time to an answer in milliseconds that 99% of answers keep.
    pub p99_ms: Option<f64>,
}

/// Quotes answered in time during the flood, in percent of those a second before it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Portion {
    /// Name of the house.
    pub house: &'static str,
    /// Percentage.
    pub percent: f64,
}

/// Requests that began while one entry shut down.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Shutdown {
    /// All requests.
    pub requests: usize,
    /// Whole answers.
    pub answered: usize,
    /// Refusals of requests that did not run.
    pub not_run: usize,
    /// Refusals of requests that may have run.
    pub unknown: usize,
    /// Connections that broke before a whole answer or refusal.
    pub cut: usize,
    /// Requests that no entry accepted.
    pub unsent: usize,
}

impl Report {
    /// Computes the figures.
    pub fn new(plan: &Plan, samples: &[Sample], skipped: usize) -> Self {
        let mut rows = Vec::new();
        for house in 0..HOUSES.len() {
            for work in [Work::Quote, Work::Ledger] {
                for phase in [Phase::Before, Phase::Flood, Phase::After] {
                    rows.extend(row(samples, house, work, phase));
                }
            }
        }
        Self {
            rows,
            kept: (0..HOUSES.len())
                .map(|house| kept(plan, samples, house))
                .collect(),
            shutdown: shutdown(samples),
            skipped,
        }
    }
}

fn row(samples: &[Sample], house: usize, work: Work, phase: Phase) -> Option<Row> {
    let wanted =
        |sample: &&Sample| sample.house == house && sample.work == work && sample.phase == phase;
    let samples: Vec<_> = samples.iter().filter(wanted).collect();
    if samples.is_empty() {
        return None;
    }
    let answered = samples
        .iter()
        .filter(|sample| sample.fate == Fate::Answered);
    let mut latencies: Vec<_> = answered.map(|sample| sample.latency).collect();
    latencies.sort_unstable();
    let count = |fate| samples.iter().filter(|sample| sample.fate == fate).count();
    let in_time = samples.iter().filter(|sample| is_in_time(sample)).count();
    Some(Row {
        house: HOUSES[house],
        work: work.as_str(),
        phase: phase.as_str(),
        requests: samples.len(),
        answered: latencies.len(),
        not_run: count(Fate::NotRun),
        unknown: count(Fate::Unknown),
        cut: count(Fate::Cut) + count(Fate::Unsent),
        in_time_percent: percent(in_time as f64, samples.len() as f64),
        median_ms: quantile(&latencies, 50),
        p99_ms: quantile(&latencies, 99),
    })
}

fn kept(plan: &Plan, samples: &[Sample], house: usize) -> Portion {
    let rate = |phase| {
        let wanted = |sample: &&Sample| {
            sample.house == house && sample.work == Work::Quote && sample.phase == phase
        };
        let in_time = samples
            .iter()
            .filter(wanted)
            .filter(|sample| is_in_time(sample));
        in_time.count() as f64 / plan.length(phase).as_secs_f64()
    };
    Portion {
        house: HOUSES[house],
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
        *match sample.fate {
            Fate::Answered => &mut shutdown.answered,
            Fate::NotRun => &mut shutdown.not_run,
            Fate::Unknown => &mut shutdown.unknown,
            Fate::Cut => &mut shutdown.cut,
            Fate::Unsent => &mut shutdown.unsent,
        } += 1;
    }
    shutdown
}

fn is_in_time(sample: &Sample) -> bool {
    sample.fate == Fate::Answered && sample.latency <= sample.work.deadline()
}

/// Returns a percentage with one decimal place, rounded down so that a loss shows.
fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 0.0;
    }
    (part / whole * 1_000.0).floor() / 10.0
}

/// Returns the time in milliseconds that this percentage of the sorted times keeps.
fn quantile(sorted: &[Duration], percent: usize) -> Option<f64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    let time = sorted.get(rank.checked_sub(1)?)?;
    Some((time.as_secs_f64() * 10_000.0).round() / 10.0)
}
