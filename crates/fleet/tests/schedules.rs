//! Seeded fault schedules: failed hosts, racing processes, log outages, lost answers, paused processes and partitions.

mod common;

use common::{
    Random, SECOND,
    process::{
        Pending,
        Process, //
    },
    world::{
        self,
        World, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Step,
    Subject,
    Value, //
};
use sassafrascrank_fleet::{
    Rules,
    wave::Action, //
};
use sassafrascrank_ledger::Verdict;
use std::collections::BTreeSet;

/// Schedules in each test; the five tests run 10,000 together.
const SCHEDULES: u64 = 2_000;
const STEP: Duration = Duration::from_secs(30);
const STEPS: u64 = 60;

/// Probability in millionths that a host fails or restarts in a step of 30 s, from 182 failures a day on 1,400 hosts.
const FAILURE_RATE_PPM: u64 = 182 * 1_000_000 / 1_400 / 2_880;

#[derive(Clone, Copy)]
enum Scenario {
    Ordinary,
    /// Hosts fail a hundred times as often as in `Ordinary`; this holds for the following scenarios too.
    ManyFailures,
    /// All hosts of a rack fail at once.
    Rack,
    /// All hosts of a zone fail at once.
    Zone,
    /// Every third append fails or its answer is lost, and the log is down for up to 20 steps.
    Log,
}

/// Returns time limits short enough for most of a wave to fit into one schedule.
fn rules() -> Rules {
    Rules {
        drain_limit: SECOND * 60,
        reboot: SECOND * 30,
        probation: SECOND * 30,
        return_limit: SECOND * 180,
        recovery_delay: SECOND * 90,
        report_age_limit: SECOND * 90,
        ..Rules::default()
    }
}

struct Run {
    world: World,
    random: Random,
    scenario: Scenario,
    violation: Option<String>,
    /// Whether all processes fail to reach the log.
    log_down: bool,
    drains: u64,
    repeats: u64,
}

/// Checks the invariant `budget`.
///
/// No proposal takes hosts out of service so that the pool falls below its budget. Counted as failed are the hosts that
/// the proposing process knew to have failed, and the recorded failures that the proposal does not clear. Only one zone
/// of a pool has reserved hosts at a time.
fn check_budget(
    world: &World,
    pool: &Name,
    known_failures: &BTreeSet<Name>,
    failed: &BTreeSet<Name>,
) -> Option<String> {
    let reservation = world.reservation(pool);
    let mut hosts = world.hosts.iter().filter(|host| host.pool == *pool);
    let is_out = |host: &&world::Host| {
        let name = &host.name;
        reservation.hosts.contains_key(name)
            || known_failures.contains(name)
            || failed.contains(name)
            || host.rebooting
    };
    let assigned = hosts.clone().count();
    let out = hosts.clone().filter(is_out).count();
    let needed = (assigned * world.percent[pool]).div_ceil(100);
    if assigned - out < needed {
        return Some(format!(
            "budget: {pool}: {out} of {assigned} out, {needed} needed"
        ));
    }
    let zones = |host: &world::Host| {
        let reserved = reservation.hosts.contains_key(&host.name)
            || host.rebooting && !known_failures.contains(&host.name);
        reserved.then(|| host.zone.clone())
    };
    let zones: BTreeSet<Name> = hosts.by_ref().filter_map(zones).collect();
    (zones.len() > 1).then(|| format!("budget: {pool}: works on {zones:?} at once"))
}

/// Checks the invariant `graceful`: a host goes out of service only when its work is complete or its drain limit has
/// passed.
fn check_graceful(world: &World, out: &BTreeSet<Name>) -> Option<String> {
    let hosts = world.hosts.iter().filter(|host| out.contains(&host.name));
    let mut early = hosts.filter(|host| {
        let started = host.drained_at.map(|at| at - host.drain);
        let ended = host.drained_at.is_some_and(|at| at <= world.now);
        let limit = started.is_some_and(|at| world.now.since(at) >= rules().drain_limit);
        // A host that failed has no work left to interrupt.
        let down = host.up_at.is_some_and(|_| !host.rebooting);
        !ended && !limit && !down
    });
    let host = early.next()?;
    Some(format!(
        "graceful: {} goes out with work: {host:?}",
        host.name
    ))
}

/// Checks the invariant `one-pool`: a host is reserved only by the pool that it is assigned to.
fn check_one_pool(world: &World) -> Option<String> {
    let mut seen = BTreeSet::new();
    for pool in world.percent.keys() {
        for host in world.reservation(pool).hosts.keys() {
            let revision = world.state.get(&Subject::Host(host.clone()));
            let assigned = matches!(
                revision.map(|revision| &revision.value),
                Some(Value::Assignment(assignment)) if assignment.pool == *pool
            );
            if !assigned || !seen.insert(host.clone()) {
                return Some(format!("one-pool: {host} is reserved in {pool}"));
            }
        }
    }
    None
}

impl Run {
    /// Appends a proposal; returns false if the log is down or the answer is lost, so that it must be sent again.
    fn append(&mut self, pending: &Pending) -> bool {
        let fault_rate_ppm = if matches!(self.scenario, Scenario::Log) {
            330_000
        } else {
            10_000
        };
        if self.log_down || self.random.chance(fault_rate_ppm) {
            return false;
        }
        let Subject::Reservation(pool) = &pending.proposal.subject else {
            unreachable!()
        };
        let before = self.world.reservation(pool);
        match self.world.append(pending.record.clone()) {
            Verdict::Repeat => self.repeats += 1,
            Verdict::Accepted { .. } => {
                let after = self.world.reservation(pool);
                let leaves_service =
                    |(host, absence): (&Name, &sassafrascrank_contract::model::Absence)| {
                        let old = before.hosts.get(host).map(|old| old.step);
                        old != Some(absence.step) && absence.step != Step::Returning
                    };
                if after.hosts.iter().any(leaves_service) {
                    self.drains += 1;
                    let actions = &pending.proposal.actions;
                    let still_failed =
                        |host: &&Name| !actions.contains(&Action::Recovered((*host).clone()));
                    let failed = before.failed.keys().filter(still_failed).cloned().collect();
                    let found = check_budget(&self.world, pool, &pending.known_failures, &failed);
                    self.violation = self.violation.take().or(found);
                }
                let out = after.hosts.iter().filter(|(host, absence)| {
                    let old = before.hosts.get(*host).map(|old| old.step);
                    absence.step == Step::Out && old != Some(Step::Out)
                });
                let out = out.map(|(host, _)| host.clone()).collect();
                let found = check_graceful(&self.world, &out).or(check_one_pool(&self.world));
                self.violation = self.violation.take().or(found);
            }
            Verdict::Stale { .. } => {}
            Verdict::Invalid(_) if self.world.unchecked => {}
            other => panic!("{other:?}"),
        }
        !self.random.chance(fault_rate_ppm)
    }

    /// Fails all hosts of a random rack or zone after a third of the schedule.
    fn fail_domain(&mut self, step: u64) {
        if step != STEPS / 3 {
            return;
        }
        let failed_host = self.random.below(self.world.hosts.len() as u64) as usize;
        let failed_host = self.world.hosts[failed_host].clone();
        let now = self.world.now;
        for host in &mut self.world.hosts {
            let hit = match self.scenario {
                Scenario::Rack => host.rack == failed_host.rack,
                Scenario::Zone => host.zone == failed_host.zone,
                _ => false,
            };
            if hit {
                host.fail(now, STEP * 20);
            }
        }
    }
}

fn run(seed: u64, scenario: Scenario, unchecked: bool) -> Run {
    let rules = rules();
    let start = Time::from_millis(rules.deadline(900).as_millis() + 1);
    let pools = [("alba".to_string(), 8, 70), ("comun".to_string(), 6, 80)];
    let mut run = Run {
        world: world::build(&pools, 3, start),
        random: Random(seed << 20),
        scenario,
        violation: None,
        log_down: false,
        drains: 0,
        repeats: 0,
    };
    run.world.unchecked = unchecked;
    let rate = if matches!(scenario, Scenario::Ordinary) {
        FAILURE_RATE_PPM
    } else {
        FAILURE_RATE_PPM * 100
    };
    for host in &mut run.world.hosts {
        host.drain = SECOND * (run.random.below(120) as u32);
        host.declared = SECOND * (run.random.below(120) as u32);
        host.reboot = SECOND * (30 + run.random.below(60) as u32);
    }
    let count = 2 + run.random.below(3);
    let mut processes: Vec<(Process, u64)> = (0..count)
        .map(|number| (Process::new(&format!("p{number}"), &run.world), 0))
        .collect();
    let outage = match scenario {
        Scenario::Log => {
            let from = run.random.below(STEPS);
            from..from + run.random.below(20)
        }
        _ => 0..0,
    };
    for step in 0..STEPS {
        run.log_down = outage.contains(&step);
        run.world.advance(start + STEP * (step as u32));
        run.world.inject_failures(&mut run.random, rate, STEP);
        run.fail_domain(step);
        for (process, paused_until) in &mut processes {
            run_process(&mut run, process, paused_until, step, &rules);
        }
    }
    run
}

/// Runs one step of a process. It may be partitioned from log and reports, read them with a delay, or be paused between
/// decision and append.
fn run_process(
    run: &mut Run,
    process: &mut Process,
    paused_until: &mut u64,
    step: u64,
    rules: &Rules,
) {
    if *paused_until > step {
        return;
    }
    while let Some(pending) = process.pending.pop_front() {
        if !run.append(&pending) {
            process.pending.push_front(pending);
            return;
        }
    }
    let partitioned = run.random.chance(50_000);
    if !partitioned {
        let log_lag = run.random.below(3);
        if !run.log_down {
            process.read_log(&run.world, log_lag.saturating_sub(1));
        }
        process.read_reports(&run.world, run.random.below(2) as usize);
    }
    process.decide(rules, run.world.now);
    // The demand shifts from `alba` to `comun` for the second third of the schedule.
    let (alba, comun) = if step * 3 / STEPS == 1 {
        (6, 8)
    } else {
        (9, 5)
    };
    let needs = [("alba", alba, SECOND * 900), ("comun", comun, SECOND * 900)];
    process.decide_moves(rules, &needs, run.world.now);
    if run.random.chance(50_000) {
        *paused_until = step + 1 + run.random.below(10);
        return;
    }
    if partitioned || run.random.chance(300_000) {
        return;
    }
    while let Some(pending) = process.pending.pop_front() {
        if !run.append(&pending) {
            process.pending.push_front(pending);
            return;
        }
    }
}

/// Runs the schedules of one test on two threads; the sums do not depend on the order of the schedules.
fn run_all(scenario: Scenario, base: u64) -> String {
    let half = SCHEDULES / 2;
    let counts = std::thread::scope(|scope| {
        let second = scope.spawn(move || run_seeds(scenario, base + half, half));
        let first = run_seeds(scenario, base, half);
        let second = second
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        [0, 1, 2, 3].map(|index| first[index] + second[index])
    });
    let [drains, joins, stale, repeats] = counts;
    format!(
        "schedules {SCHEDULES}, acts {drains}, moves {joins}, stale {stale}, repeats {repeats}, violations 0"
    )
}

fn run_seeds(scenario: Scenario, base: u64, count: u64) -> [u64; 4] {
    let mut counts = [0; 4];
    for seed in base..base + count {
        let run = run(seed, scenario, false);
        if let Some(violation) = run.violation {
            panic!("seed {seed}: {violation}");
        }
        let found = [run.drains, run.world.joins, run.world.stale, run.repeats];
        for (count, found) in counts.iter_mut().zip(found) {
            *count += found;
        }
    }
    counts
}

/// Guards against racing processes that together drain more hosts than the budget allows, at an ordinary failure rate.
#[test]
fn ordinary_failures_keep_budgets() {
    insta::assert_snapshot!(run_all(Scenario::Ordinary, 0));
}

/// Guards against drains that don't count failed hosts against the budget.
#[test]
fn many_failures_keep_budgets() {
    insta::assert_snapshot!(run_all(Scenario::ManyFailures, 10_000));
}

/// Guards against drains that exceed the budget after a whole rack failed.
#[test]
fn lost_rack_keeps_budgets() {
    insta::assert_snapshot!(run_all(Scenario::Rack, 20_000));
}

/// Guards against drains that exceed the budget after a whole zone failed.
#[test]
fn lost_zone_keeps_budgets() {
    insta::assert_snapshot!(run_all(Scenario::Zone, 30_000));
}

/// Guards against a proposal that is applied twice, or on an outdated state, after the answer to its append was lost.
#[test]
fn log_faults_keep_budgets() {
    insta::assert_snapshot!(run_all(Scenario::Log, 40_000));
}

/// Guards against schedules that cannot detect a violation: with compare-and-set disabled, some must find one.
#[test]
fn schedules_find_violations_without_basis_check() {
    let found = (50_000..50_200)
        .filter(|&seed| run(seed, Scenario::ManyFailures, true).violation.is_some());
    let count = found.count();
    assert!(
        count > 0,
        "no violation in 200 schedules without the basis check"
    );
    insta::assert_snapshot!(format!(
        "{count} of 200 schedules violate `budget` without the basis check"
    ));
}
