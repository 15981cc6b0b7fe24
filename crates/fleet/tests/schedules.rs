//! Seeded schedules of failures, races, outages, lost answers, pauses and partitions.

mod common;

use common::{
    Draw, SECOND,
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

/// Schedules of each test; five tests make 10,000.
const SCHEDULES: u64 = 2_000;
const STEP: Duration = Duration::from_secs(30);
const STEPS: u64 = 60;

/// Failures and restarts of an ordinary day (182 over 1,400 hosts), in millionths per host and step of 30 s.
const ORDINARY: u64 = 182 * 1_000_000 / 1_400 / 2_880;

#[derive(Clone, Copy)]
enum Day {
    Ordinary,
    /// A hundred times the failures.
    Bad,
    Rack,
    Zone,
    /// Every third append fails or loses its answer, and the log is down for up to 20 steps.
    Log,
}

/// Times short enough that most of a wave fits into one schedule.
fn rules() -> Rules {
    Rules {
        drain_limit: SECOND * 60,
        reboot: SECOND * 30,
        proof: SECOND * 30,
        return_limit: SECOND * 180,
        settle: SECOND * 90,
        freshness: SECOND * 90,
        ..Rules::default()
    }
}

struct Run {
    world: World,
    draw: Draw,
    day: Day,
    violation: Option<String>,
    /// Whether the log is down for all processes.
    down: bool,
    drains: u64,
    repeats: u64,
}

/// Invariant `budget`: no voluntary act takes a pool below its budget, given the failures that its author knew of
/// or that were on record and that the act did not declare recovered; and one zone of a pool is worked on at a time.
fn check_budget(
    world: &World,
    pool: &Name,
    known: &BTreeSet<Name>,
    failed: &BTreeSet<Name>,
) -> Option<String> {
    let reservation = world.reservation(pool);
    let mut hosts = world.hosts.iter().filter(|host| host.pool == *pool);
    let is_out = |host: &&world::Host| {
        let name = &host.name;
        reservation.hosts.contains_key(name)
            || known.contains(name)
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
            || host.rebooting && !known.contains(&host.name);
        reserved.then(|| host.zone.clone())
    };
    let zones: BTreeSet<Name> = hosts.by_ref().filter_map(zones).collect();
    (zones.len() > 1).then(|| format!("budget: {pool}: works on {zones:?} at once"))
}

/// Invariant `graceful`: a host goes out only when its work has ended or its drain limit has passed.
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

/// Invariant `one-pool`: a host is reserved by the one pool that it is assigned to.
fn check_one_pool(world: &World) -> Option<String> {
    let mut seen = BTreeSet::new();
    for pool in world.percent.keys() {
        for host in world.reservation(pool).hosts.keys() {
            let held = world.state.get(&Subject::Host(host.clone()));
            let assigned = matches!(held.map(|held| &held.value), Some(Value::Assignment(theirs)) if theirs.pool == *pool);
            if !assigned || !seen.insert(host.clone()) {
                return Some(format!("one-pool: {host} is reserved in {pool}"));
            }
        }
    }
    None
}

impl Run {
    /// Appends a decision; returns false if its answer is lost or the log is down, so that it is sent again.
    fn append(&mut self, pending: &Pending) -> bool {
        let faults = if matches!(self.day, Day::Log) {
            330_000
        } else {
            10_000
        };
        if self.down || self.draw.hits(faults) {
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
                let step = |(host, absence): (&Name, &sassafrascrank_contract::model::Absence)| {
                    let old = before.hosts.get(host).map(|old| old.step);
                    old != Some(absence.step) && absence.step != Step::Returning
                };
                if after.hosts.iter().any(step) {
                    self.drains += 1;
                    let actions = &pending.proposal.actions;
                    let kept =
                        |host: &&Name| !actions.contains(&Action::Recovered((*host).clone()));
                    let failed = before.failed.keys().filter(kept).cloned().collect();
                    let found = check_budget(&self.world, pool, &pending.known, &failed);
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
        !self.draw.hits(faults)
    }

    /// Loses a rack or zone in the middle.
    fn strike(&mut self, step: u64) {
        if step != STEPS / 3 {
            return;
        }
        let victim = self.draw.below(self.world.hosts.len() as u64) as usize;
        let victim = self.world.hosts[victim].clone();
        let now = self.world.now;
        for host in &mut self.world.hosts {
            let hit = match self.day {
                Day::Rack => host.rack == victim.rack,
                Day::Zone => host.zone == victim.zone,
                _ => false,
            };
            if hit {
                host.fail(now, STEP * 20);
            }
        }
    }
}

fn run(seed: u64, day: Day, unchecked: bool) -> Run {
    let rules = rules();
    let start = Time::from_millis(rules.deadline(900).as_millis() + 1);
    let pools = [("alba".to_string(), 8, 70), ("comun".to_string(), 6, 80)];
    let mut run = Run {
        world: world::build(&pools, 3, start),
        draw: Draw(seed << 20),
        day,
        violation: None,
        down: false,
        drains: 0,
        repeats: 0,
    };
    run.world.unchecked = unchecked;
    let rate = if matches!(day, Day::Ordinary) {
        ORDINARY
    } else {
        ORDINARY * 100
    };
    for host in &mut run.world.hosts {
        host.drain = SECOND * (run.draw.below(120) as u32);
        host.declared = SECOND * (run.draw.below(120) as u32);
        host.reboot = SECOND * (30 + run.draw.below(60) as u32);
    }
    let count = 2 + run.draw.below(3);
    let mut processes: Vec<(Process, u64)> = (0..count)
        .map(|number| (Process::new(&format!("p{number}"), &run.world), 0))
        .collect();
    let outage = match day {
        Day::Log => {
            let from = run.draw.below(STEPS);
            from..from + run.draw.below(20)
        }
        _ => 0..0,
    };
    for step in 0..STEPS {
        run.down = outage.contains(&step);
        run.world.advance(start + STEP * (step as u32));
        run.world.break_hosts(&mut run.draw, rate, STEP);
        run.strike(step);
        for (process, away) in &mut processes {
            step_process(&mut run, process, away, step, &rules);
        }
    }
    run
}

/// One turn of a process: it may be paused between decision and append, cut off, or behind.
fn step_process(run: &mut Run, process: &mut Process, away: &mut u64, step: u64, rules: &Rules) {
    if *away > step {
        return;
    }
    while let Some(pending) = process.pending.pop_front() {
        if !run.append(&pending) {
            process.pending.push_front(pending);
            return;
        }
    }
    let cut = run.draw.hits(50_000);
    if !cut {
        let behind = run.draw.below(3);
        if !run.down {
            process.read_log(&run.world, behind.saturating_sub(1));
        }
        process.read_reports(&run.world, run.draw.below(2) as usize);
    }
    process.decide(rules, run.world.now);
    // Half of the hosts change sides with every third of the schedule.
    let (alba, comun) = if step * 3 / STEPS == 1 {
        (6, 8)
    } else {
        (9, 5)
    };
    let needs = [("alba", alba, SECOND * 900), ("comun", comun, SECOND * 900)];
    process.decide_moves(rules, &needs, run.world.now);
    if run.draw.hits(50_000) {
        *away = step + 1 + run.draw.below(10);
        return;
    }
    if cut || run.draw.hits(300_000) {
        return;
    }
    while let Some(pending) = process.pending.pop_front() {
        if !run.append(&pending) {
            process.pending.push_front(pending);
            return;
        }
    }
}

/// Runs the schedules of one test on two threads; the sums don't depend on their order.
fn run_all(day: Day, base: u64) -> String {
    let half = SCHEDULES / 2;
    let counts = std::thread::scope(|scope| {
        let second = scope.spawn(move || run_seeds(day, base + half, half));
        let first = run_seeds(day, base, half);
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

fn run_seeds(day: Day, base: u64, count: u64) -> [u64; 4] {
    let mut counts = [0; 4];
    for seed in base..base + count {
        let run = run(seed, day, false);
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

/// Guards against a drain that the budget forbids on an ordinary day with racing processes.
#[test]
fn ordinary_day_keeps_budgets() {
    insta::assert_snapshot!(run_all(Day::Ordinary, 0));
}

/// Guards against drains that ignore hosts that failed on their own.
#[test]
fn bad_day_keeps_budgets() {
    insta::assert_snapshot!(run_all(Day::Bad, 10_000));
}

/// Guards against a wave that goes on through the loss of a rack.
#[test]
fn lost_rack_keeps_budgets() {
    insta::assert_snapshot!(run_all(Day::Rack, 20_000));
}

/// Guards against a wave that goes on through the loss of a zone.
#[test]
fn lost_zone_keeps_budgets() {
    insta::assert_snapshot!(run_all(Day::Zone, 30_000));
}

/// Guards against an append that takes effect twice, or late, after its answer was lost.
#[test]
fn log_faults_keep_budgets() {
    insta::assert_snapshot!(run_all(Day::Log, 40_000));
}

/// Guards against schedules too mild to find a violation: without compare-and-set there must be some.
#[test]
fn schedules_find_violations_without_basis_check() {
    let found = (50_000..50_200).filter(|&seed| run(seed, Day::Bad, true).violation.is_some());
    let count = found.count();
    assert!(
        count > 0,
        "no violation in 200 schedules without the basis check"
    );
    insta::assert_snapshot!(format!(
        "{count} of 200 schedules violate `budget` without the basis check"
    ));
}
