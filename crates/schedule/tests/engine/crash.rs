//! Tasks that crash the runners that start them.

use crate::harness::{
    Harness,
    long_running,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use std::collections::BTreeMap;

/// Job of the task that crashes its runners.
const DEADLY_JOB: u64 = 7;
/// Distance between the numbers of further such jobs.
const CRASHING_STEP: u64 = 1_000;
/// Time between two looks at the runners; a crash follows a start within this time.
const INTERVAL_MS: u64 = 20;
/// Time after which a runner that crashed is back.
const RESTART_TIME: Duration = Duration::from_secs(4);

/// Crashes of runners during a test.
#[derive(Default)]
struct Crashes {
    /// Number of runners that crashed.
    count: usize,
    /// Number of other runs that ended with them.
    victims: usize,
    /// When each runner that is down is back.
    back: BTreeMap<String, Duration>,
}

impl Crashes {
    /// Runs the engine for the given time. A runner that runs the first task of the deadly job crashes.
    fn run_ms(&mut self, harness: &mut Harness, millis: u64) {
        let deadly = |run: &String| {
            let (job, task) = run
                .split_once('.')
                .expect("a run names its job and its task");
            let job = u64::from_str_radix(job, 16).expect("a job has a hexadecimal number");
            job % CRASHING_STEP == DEADLY_JOB && task == "0.0.0"
        };
        for _ in 0..millis / INTERVAL_MS {
            harness.run_ms(INTERVAL_MS);
            let ids: Vec<String> = harness.runners.keys().cloned().collect();
            for id in ids {
                let running = harness.running(&id);
                let hit = running.iter().any(deadly);
                if hit && !self.back.contains_key(&id) {
                    self.count += 1;
                    self.victims += running.len() - 1;
                    self.back.insert(id.clone(), harness.now + RESTART_TIME);
                    harness.unreachable.insert(id);
                }
            }
            self.restart(harness);
        }
    }

    fn restart(&mut self, harness: &mut Harness) {
        let now = harness.now;
        let due: Vec<String> = self
            .back
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.back.remove(&id);
            harness.unreachable.remove(&id);
            harness.restart_runner(&id);
        }
    }
}

fn outcome(harness: &Harness, job: u64) -> Option<Ending> {
    let progress = harness.stored_progress.get(&Id(job));
    progress.and_then(|progress| progress.outcome)
}

/// Guards against a task that crashes one runner after the other, each time with the other tasks there.
#[test]
fn task_that_crashes_its_runners_is_given_up() {
    let mut harness = Harness::new(6, 1);
    harness.submit(DEADLY_JOB, vec![step(2)]);
    let mut crashes = Crashes::default();
    crashes.run_ms(&mut harness, 30_000);
    assert_eq!(crashes.count, 3, "{}", harness.timeline());
    assert_eq!(outcome(&harness, DEADLY_JOB), Some(Ending::Failed));
}

/// Guards against a count of crashes that begins anew with each leader.
#[test]
fn crashes_of_a_task_are_known_to_the_next_leader() {
    let mut harness = Harness::new(6, 1);
    harness.submit(DEADLY_JOB, vec![step(1)]);
    let mut crashes = Crashes::default();
    crashes.run_ms(&mut harness, 5_000);
    harness.take_over();
    crashes.run_ms(&mut harness, 25_000);
    // The run of the earlier leader counts once its runner has restarted.
    assert!(crashes.count <= 4, "{}", harness.timeline());
    assert_eq!(outcome(&harness, DEADLY_JOB), Some(Ending::Failed));
}

/// Guards against jobs that are given up because they shared runners with a task that crashes them.
#[test]
fn tasks_beside_one_that_crashes_its_runners_are_done() {
    let mut harness = Harness::new(8, 1);
    harness.task_duration = |_| Some(Duration::from_millis(600));
    harness.submit(DEADLY_JOB, vec![step(2)]);
    let others = 100..120;
    for job in others.clone() {
        harness.submit(job, vec![step(1)]);
    }
    let mut crashes = Crashes::default();
    crashes.run_ms(&mut harness, 30_000);
    let done = others.filter(|&job| outcome(&harness, job) == Some(Ending::Done));
    assert_eq!(done.count(), 20, "{}", harness.timeline());
    // Only the first crash comes as a surprise.
    assert!(crashes.victims <= 3, "{} victims", crashes.victims);
}

/// Guards against a job that is given up because tasks that crash their runners, and are not suspected yet, started beside
/// its last trial.
#[test]
fn task_beside_new_ones_that_crash_its_runners_is_not_given_up() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(1, 1)]);
    let mut crashes = Crashes::default();
    // Another task that crashes the runner is submitted whenever the runner is back.
    for round in 0..6 {
        harness.submit(DEADLY_JOB + round * CRASHING_STEP, vec![step(1)]);
        crashes.run_ms(&mut harness, 5_000);
    }
    assert_eq!(outcome(&harness, 1), None, "{}", harness.timeline());
}

/// Guards against tasks that have to start apart from each other, and are given up in the end, because their whole rack
/// has failed.
#[test]
fn tasks_of_a_failed_rack_are_not_suspected() {
    let mut harness = Harness::new(6, 2);
    harness.task_duration = |_| None;
    harness.submit(1, vec![step(8)]);
    harness.run_ms(200);
    let rack = ["r0", "r1"].map(str::to_owned);
    let lost: usize = rack.iter().map(|id| harness.running(id).len()).sum();
    harness.unreachable.extend(rack);
    // The leases have ended by then.
    harness.run_ms(5_000);
    let tasks = &harness.stored_progress[&Id(1)].tasks;
    let suspected = tasks.iter().filter(|task| task.crashes > 0).count();
    assert_eq!((lost, suspected), (8, 0), "{}", harness.timeline());
}

/// Guards against a long-running task that is given up because its runners crashed long after they had started it.
#[test]
fn long_running_task_survives_crashes_that_it_does_not_cause() {
    let mut harness = Harness::new(6, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(1, 1)]);
    for _ in 0..5 {
        harness.run_ms(3_000);
        let ids: Vec<String> = harness.runners.keys().cloned().collect();
        let place = ids.into_iter().find(|id| !harness.running(id).is_empty());
        let place = place.expect("the task runs");
        harness.unreachable.insert(place.clone());
        harness.run_ms(4_000);
        harness.unreachable.remove(&place);
        harness.restart_runner(&place);
    }
    harness.run_ms(3_000);
    assert_eq!(outcome(&harness, 1), None, "{}", harness.timeline());
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
}

/// Guards against starts on a runner whose capacity has shrunk while it runs.
#[test]
fn runner_whose_capacity_has_shrunk_gets_no_more_than_fits() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(Duration::from_millis(500));
    harness.submit(1, vec![step(2)]);
    harness.run_ms(100);
    for (cpu, job) in [(1_000, 2), (4_000, 3)] {
        let runner = harness.runners.get_mut("r0").expect("the runner exists");
        runner.listed.capacity.cpu = cpu;
        harness.list_runners();
        harness.submit(job, vec![step(3)]);
        harness.run_ms(200);
        let running = harness.running_count();
        harness.add_line(&format!(
            "{running} tasks run with {cpu} thousandths of a core"
        ));
        harness.run_ms(600);
        let running = harness.running_count();
        harness.add_line(&format!("later {running} tasks run"));
    }
    let timeline = harness.timeline().lines();
    let counts: Vec<&str> = timeline.filter(|line| line.contains("tasks run")).collect();
    insta::assert_snapshot!(counts.join("\n"));
}

/// Times after a crash at which another leader takes over: none, before the loss of the runner is noticed, after it, and
/// once the runner is back.
const TAKEOVERS_MS: [Option<u64>; 5] = [None, Some(40), Some(1_500), Some(3_900), Some(4_400)];

/// Guards against crashes that are never counted because the lead changes between any two of them.
#[test]
fn crashes_are_counted_whenever_the_lead_changes() {
    let mut counts = BTreeMap::new();
    let schedules = (0..125).map(|number| [number % 5, number / 5 % 5, number / 25]);
    for schedule in schedules {
        let mut harness = Harness::new(6, 1);
        harness.submit(DEADLY_JOB, vec![step(1)]);
        let mut crashes = Crashes::default();
        for (crash, takeover) in schedule.into_iter().enumerate() {
            while crashes.count <= crash && outcome(&harness, DEADLY_JOB).is_none() {
                crashes.run_ms(&mut harness, INTERVAL_MS);
            }
            if let Some(delay) = TAKEOVERS_MS[takeover] {
                crashes.run_ms(&mut harness, delay);
                harness.take_over();
            }
        }
        crashes.run_ms(&mut harness, 40_000);
        assert_eq!(
            outcome(&harness, DEADLY_JOB),
            Some(Ending::Failed),
            "{schedule:?} {}",
            harness.timeline()
        );
        // A sixth start would break the rule on such tasks.
        assert!(crashes.count <= 5, "{schedule:?} {}", harness.timeline());
        let takeovers = schedule.iter().filter(|&&takeover| takeover > 0).count();
        *counts.entry((takeovers, crashes.count)).or_insert(0) += 1;
    }
    let row = |((takeovers, crashes), count): (&(usize, usize), &usize)| {
        format!("{takeovers} takeovers, {crashes} crashes: {count} schedules")
    };
    let rows: Vec<String> = counts.iter().map(row).collect();
    insta::assert_snapshot!(rows.join("\n"));
}

/// Guards against a crash that only a leader has counted which could not store the count, because its successor finds a
/// later runner on the host.
#[test]
fn crash_is_counted_although_the_host_has_a_later_runner() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![step(1)]);
    harness.run_ms(100);
    let mut list = harness.service_list();
    list[0].id = "r0-later".into();
    list[0].incarnation += 1;
    harness.take_over_with(list);
    harness.decide();
    assert_eq!(harness.stored_progress[&Id(1)].tasks[0].crashes, 1);
}

/// Guards against a long-running task that is given up because its runners crash while the lead changes.
#[test]
fn long_running_task_survives_crashes_during_changes_of_the_lead() {
    let mut harness = Harness::new(6, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(1, 1)]);
    for _ in 0..6 {
        harness.run_ms(3_000);
        let ids: Vec<String> = harness.runners.keys().cloned().collect();
        let place = ids.into_iter().find(|id| !harness.running(id).is_empty());
        let place = place.expect("the task runs");
        harness.unreachable.insert(place.clone());
        harness.take_over();
        harness.run_ms(1_000);
        harness.unreachable.remove(&place);
        harness.restart_runner(&place);
    }
    harness.run_ms(3_000);
    assert_eq!(outcome(&harness, 1), None, "{}", harness.timeline());
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
}
