//! Tasks in a series of crashes that they do not cause.

use crate::harness::{
    Harness,
    step, //
};
use core::ops::{
    AddAssign,
    Range, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use sassafrascrank_standin::cluster::Phase;
use std::collections::BTreeMap;

/// Jobs with this number or a higher one crash each runner that starts them.
const DEADLY_JOB: u64 = 0x1000;
const RUNNERS: usize = 12;
/// Time for which the series of crashes goes on.
const SERIES_MS: u64 = 20_000;
/// Time after the series in which the last jobs end.
const CALM_MS: u64 = 15_000;
/// Time between two looks at the runners.
const INTERVAL_MS: u64 = 20;
/// Time between two jobs.
const JOB_INTERVAL_MS: u64 = 100;
/// Most starts of a task that crashes its runners: three more after three runners have crashed break the rule.
const START_LIMIT: usize = 5;

/// A series of crashes.
#[derive(Clone, Copy)]
struct Series {
    seed: u64,
    /// Whether the runners of each second crash at the same moment.
    at_once: bool,
    /// Number of changes of the leader.
    takeovers: u64,
    /// Number of jobs that crash their runners.
    deadly: u64,
    /// Share in percent of the runners that crash each second; drawn for each second if `None`.
    percent: Option<u32>,
}

/// Results of one or more series.
#[derive(Debug, Default)]
struct Results {
    /// Number of jobs that crash no runner.
    jobs: usize,
    done: usize,
    given_up: usize,
    /// Number of jobs that crash their runners, and of those that were given up.
    deadly: usize,
    deadly_given_up: usize,
    /// Largest number of starts of one such job.
    most_starts: usize,
}

impl AddAssign for Results {
    fn add_assign(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.done += other.done;
        self.given_up += other.given_up;
        self.deadly += other.deadly;
        self.deadly_given_up += other.deadly_given_up;
        self.most_starts = self.most_starts.max(other.most_starts);
    }
}

/// Crashes of runners during a test.
struct Crashes {
    rng: StdRng,
    /// When runners crash.
    due: Vec<(Duration, String)>,
    /// When each runner that is down is back.
    back: BTreeMap<String, Duration>,
    /// Number of starts of each job that crashes its runners.
    starts: BTreeMap<u64, usize>,
}

impl Crashes {
    fn crash(&mut self, harness: &mut Harness, id: &str) {
        if !self.back.contains_key(id) {
            let down = Duration::from_millis(self.rng.random_range(300..800));
            self.back.insert(id.to_owned(), harness.now + down);
            harness.unreachable.insert(id.to_owned());
        }
    }

    fn draw(&mut self, harness: &Harness, series: Series) {
        let percent = self.rng.random_range(15..30);
        let percent = series.percent.unwrap_or(percent);
        let together = self.rng.random_range(0..1_000);
        for id in harness.runners.keys() {
            let offset = self.rng.random_range(0..1_000);
            let offset = if series.at_once { together } else { offset };
            if self.rng.random_range(0..100) < percent {
                let at = harness.now + Duration::from_millis(offset);
                self.due.push((at, id.clone()));
            }
        }
    }

    fn advance(&mut self, harness: &mut Harness) {
        harness.run_ms(INTERVAL_MS);
        let now = harness.now;
        let due: Vec<(Duration, String)> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, id) in due {
            self.crash(harness, &id);
        }
        let ids: Vec<String> = harness.runners.keys().cloned().collect();
        for id in ids {
            if harness.unreachable.contains(&id) {
                continue;
            }
            let running = harness.running(&id);
            let jobs = running.iter().map(|run| job_of(run));
            let deadly: Vec<u64> = jobs.filter(|&job| job >= DEADLY_JOB).collect();
            for job in &deadly {
                *self.starts.entry(*job).or_default() += 1;
            }
            if !deadly.is_empty() {
                self.crash(harness, &id);
            }
        }
        let back = self.back.extract_if(.., |_, at| *at <= now);
        for (id, _) in back.collect::<Vec<_>>() {
            harness.unreachable.remove(&id);
            // A host that moves to another pool starts its runner itself.
            let runner = harness.runners.get(&id);
            let up = |host: &str| harness.hosts.hosts[host].phase == Phase::Up;
            if runner.is_some_and(|runner| up(&runner.listed.host)) {
                harness.restart_runner(&id);
            }
        }
    }
}

fn job_of(run: &str) -> u64 {
    let (job, _) = run.split_once('.').expect("a run names its job");
    u64::from_str_radix(job, 16).expect("a job has a hexadecimal number")
}

fn play(series: Series) -> Results {
    let mut harness = Harness::new(RUNNERS, 1);
    harness.task_duration = |task| Some(Duration::from_millis(200 + task.job.0 % 7 * 150));
    let mut crashes = Crashes {
        rng: StdRng::seed_from_u64(series.seed),
        due: Vec::new(),
        back: BTreeMap::new(),
        starts: BTreeMap::new(),
    };
    let mut jobs = Vec::new();
    for elapsed in (0..SERIES_MS + CALM_MS).step_by(INTERVAL_MS as usize) {
        if elapsed < SERIES_MS {
            if elapsed % 1_000 == 0 {
                crashes.draw(&harness, series);
            }
            if elapsed % JOB_INTERVAL_MS == 0 {
                let job = 1 + elapsed / JOB_INTERVAL_MS;
                harness.submit(job, vec![step(1 + job as u16 % 3)]);
                jobs.push(job);
            }
            let spacing = SERIES_MS / (series.deadly + 1) / INTERVAL_MS * INTERVAL_MS;
            if series.deadly > 0 && elapsed % spacing == 0 && elapsed > 0 {
                let job = DEADLY_JOB + elapsed / spacing;
                if job <= DEADLY_JOB + series.deadly {
                    harness.submit(job, vec![step(1)]);
                    crashes.starts.insert(job, 0);
                }
            }
            let spacing = SERIES_MS / (series.takeovers + 1) / INTERVAL_MS * INTERVAL_MS;
            if series.takeovers > 0 && elapsed % spacing == 0 && elapsed > 0 {
                harness.take_over();
            }
        }
        crashes.advance(&mut harness);
    }
    let ended = |job: u64, ending: Ending| {
        let progress = harness.stored_progress.get(&Id(job));
        progress.is_some_and(|progress| progress.outcome == Some(ending))
    };
    let count = |ending| jobs.iter().filter(|&&job| ended(job, ending)).count();
    let deadly = crashes.starts.keys();
    Results {
        jobs: jobs.len(),
        done: count(Ending::Done),
        given_up: count(Ending::Failed),
        deadly: crashes.starts.len(),
        deadly_given_up: deadly.filter(|&&job| ended(job, Ending::Failed)).count(),
        most_starts: crashes.starts.values().copied().max().unwrap_or_default(),
    }
}

/// Plays a series for each seed. Every other one has the crashes of each second at the same moment.
fn play_all(seeds: Range<u64>, deadly: u64, takeovers: u64, percent: Option<u32>) -> Results {
    let mut results = Results::default();
    for seed in seeds {
        results += play(Series {
            seed,
            at_once: seed % 2 == 0,
            takeovers,
            deadly,
            percent,
        });
    }
    results
}

/// Guards against jobs that are given up because their runners crashed for other reasons soon after the starts.
#[test]
fn jobs_in_a_series_of_crashes_are_not_given_up() {
    let results = play_all(0..10, 0, 0, None);
    assert_eq!((results.done, results.given_up), (results.jobs, 0));
    insta::assert_debug_snapshot!(results);
}

/// Guards against the same fault when the lead changes, so that a leader knows only some of the crashes.
#[test]
fn jobs_in_a_series_of_crashes_are_not_given_up_by_later_leaders() {
    let results = play_all(0..10, 0, 4, None);
    assert_eq!((results.done, results.given_up), (results.jobs, 0));
}

/// Guards against a task that crashes its runners without a limit, because other runners crash for other reasons.
#[test]
fn task_that_crashes_its_runners_in_a_series_of_crashes_is_given_up() {
    let results = play_all(0..10, 3, 0, None);
    assert_eq!((results.done, results.given_up), (results.jobs, 0));
    assert_eq!(results.deadly_given_up, results.deadly);
    assert!(results.most_starts <= START_LIMIT, "{results:?}");
    insta::assert_debug_snapshot!(results);
}

fn check_starts_over_leaders(seeds: Range<u64>) {
    let results = play_all(seeds, 3, 4, None);
    assert_eq!(results.deadly_given_up, results.deadly);
    assert!(results.most_starts <= START_LIMIT, "{results:?}");
}

/// Guards against a task that starts too often because crashes are forgotten when the lead changes.
#[test]
fn task_that_crashes_its_runners_is_given_up_by_later_leaders() {
    check_starts_over_leaders(0..10);
}

/// Guards against the same with a crash between two changes of the leader, in which a run has moved to a later incarnation.
#[test]
fn crash_between_two_changes_of_the_leader_is_counted() {
    check_starts_over_leaders(32..33);
}

/// Guards against tasks whose crashes count less because other tasks crash their runners too.
#[test]
fn tasks_that_crash_their_runners_do_not_excuse_each_other() {
    let results = play_all(0..10, 10, 0, Some(0));
    assert_eq!((results.done, results.given_up), (results.jobs, 0));
    assert_eq!(results.deadly_given_up, results.deadly);
    assert_eq!(results.most_starts, 3, "{results:?}");
}
