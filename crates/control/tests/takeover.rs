//! Takeovers of the lead under faults: no task runs twice at the same time, and no accepted job is lost.
//!
//! Guards against a new leader that starts a task again while it may still run at a runner that can't be reached,
//! against orders of a former leader that was paused, against orders that arrive late, against lost answers of the log,
//! and against a leader that acts on a claim after another entry has claimed.

mod simulation;

use simulation::{
    Caps,
    Scenario,
    Simulation,
    Verdict, //
};
use std::sync::LazyLock;

/// Number of schedules of faults, one for each seed.
const SCHEDULES: u64 = 10_000;
/// Number of schedules that run without a protection. At least one of them has to show the fault that the protection
/// prevents.
const UNPROTECTED_SCHEDULES: u64 = 1_500;
/// Number of schedules of each scenario with faults of the reads of the log.
const READ_SCHEDULES: u64 = 1_500;
/// Number of schedules in which leaders stop soon.
const SHORT_LEAD_SCHEDULES: u64 = 1_500;
/// Number of these schedules of which at least one has to have a report on an order of an earlier lead.
const REPORT_SCHEDULES: u64 = 100;

/// Schedules with a fault among those of the default scenario.
static FAULTS: LazyLock<Vec<(u64, Verdict)>> =
    LazyLock::new(|| faults(Scenario::default(), 0..SCHEDULES));
/// Schedules with a fault among those in which entries handle reads late.
static LATE_READ_FAULTS: LazyLock<Vec<(u64, Verdict)>> =
    LazyLock::new(|| faults(late_reads(), 0..READ_SCHEDULES));

/// Returns the scenario in which jobs wait while the log drops its history, and each read returns few records.
fn paged() -> Scenario {
    Scenario {
        workers: 2,
        jobs: 12,
        expiries: 8,
        page_limit: 3,
        ..Scenario::default()
    }
}

/// Returns the scenario in which entries handle reads late, up to seconds after they began.
fn late_reads() -> Scenario {
    Scenario {
        jobs: 8,
        late_reads: 8,
        ..paged()
    }
}

/// Returns the scenario in which leaders stop soon, so that an earlier leader leads again while answers to its earlier
/// orders are still to arrive.
fn short_leads() -> Scenario {
    Scenario {
        workers: 2,
        jobs: 12,
        short_leads: 0.9,
        late_reports: 0.4,
        ..Scenario::default()
    }
}

/// Returns the scenario in which runners start again under their names and are cut off soon after.
fn cut_restarts() -> Scenario {
    Scenario {
        cut_restarts: 4,
        ..Scenario::default()
    }
}

/// Returns the scenario in which runners start again under their names behind a cut, while starts wait for them.
fn dark_restarts() -> Scenario {
    Scenario {
        dark_restarts: 4,
        late_orders: 0.1,
        ..Scenario::default()
    }
}

/// Returns the scenario in which half of the jobs are of an account whose cap is lowered.
fn capped(hidden: bool) -> Scenario {
    Scenario {
        jobs: 8,
        caps: Some(Caps {
            first: 4_000,
            lowered: 2_000,
            hidden,
        }),
        ..Scenario::default()
    }
}

/// Runs schedules in parallel on all processors but two, and returns those with a fault.
fn faults(scenario: Scenario, seeds: core::ops::Range<u64>) -> Vec<(u64, Verdict)> {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    let threads = threads.saturating_sub(2).max(1) as u64;
    let run = |first: u64| {
        let seeds = (seeds.start + first..seeds.end).step_by(threads as usize);
        let verdicts = seeds.map(|seed| (seed, Simulation::run(scenario, seed)));
        let faulty = |(_, verdict): &(u64, Verdict)| verdict.is_faulty();
        verdicts.filter(faulty).collect::<Vec<_>>()
    };
    let run = &run;
    let mut found: Vec<(u64, Verdict)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || run(first)))
            .collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a schedule panicked"))
            .collect()
    });
    found.sort_unstable_by_key(|(seed, _)| *seed);
    found
}

/// Fails if one of the schedules with a fault has one for which `is_fault` returns true.
fn assert_none(faults: &[(u64, Verdict)], is_fault: impl Fn(&Verdict) -> bool) {
    let found = faults.iter().filter(|(_, verdict)| is_fault(verdict));
    let found: Vec<_> = found.collect();
    assert!(
        found.is_empty(),
        "{} schedules with faults, the first: {:?}",
        found.len(),
        &found[..found.len().min(5)]
    );
}

/// Tells whether a schedule has a fault other than a wrong answer to a caller.
fn is_job_fault(verdict: &Verdict) -> bool {
    let jobs = Verdict {
        undercounted: 0,
        denied: 0,
        ..*verdict
    };
    jobs.is_faulty()
}

/// Returns the number of schedules in which two attempts of a task ran at the same time.
fn overlapping(scenario: Scenario) -> usize {
    let found = faults(scenario, 0..UNPROTECTED_SCHEDULES);
    let overlapping = found.iter().filter(|(_, verdict)| verdict.overlapping > 0);
    overlapping.count()
}

/// Guards against two attempts of a task at the same time, and against accepted jobs that are lost.
#[test]
fn no_task_runs_twice_and_no_job_is_lost() {
    assert_none(&FAULTS, is_job_fault);
}

/// Guards against callers that are told that few jobs are pending because jobs whose start was refused, was not answered
/// or was never sent count as begun.
#[test]
fn pending_count_includes_jobs_whose_start_was_not_made() {
    assert_none(&FAULTS, |verdict| verdict.undercounted > 0);
}

/// Guards against callers that are told that a job does not exist when they cancel it, because another entry has accepted
/// it since the last read. The job would run on.
#[test]
fn cancel_of_an_accepted_job_is_not_denied() {
    assert_none(&FAULTS, |verdict| verdict.denied > 0);
}

/// Guards against an entry that lacks jobs or their progress after the log has dropped its history, because it reads
/// the newest record of each key in pages between which records are appended, or because one read doesn't reach the end
/// of the log.
#[test]
fn entry_that_reads_the_newest_records_in_pages_lacks_none() {
    assert_none(&faults(paged(), 0..READ_SCHEDULES), |_| true);
}

/// Guards against callers that are told a number of pending jobs from records that were read seconds before they were
/// handled.
#[test]
fn pending_count_does_not_come_from_a_read_that_was_handled_late() {
    assert_none(&LATE_READ_FAULTS, |verdict| verdict.undercounted > 0);
}

/// Guards against callers that are told a number of pending jobs seconds after it was determined, because the threads of
/// the entry pass the answer on late.
#[test]
fn pending_count_does_not_reach_its_caller_late() {
    let scenario = Scenario {
        answer_delay_ms: Some((100, 6_500)),
        ..late_reads()
    };
    assert_none(&faults(scenario, 0..READ_SCHEDULES), |_| true);
}

/// Guards against a leader that starts its own tasks again while they still run. It has lost the lead to a claim that
/// was made from records handled late, and leads again.
#[test]
fn no_task_runs_twice_when_reads_are_handled_late() {
    assert_none(&LATE_READ_FAULTS, is_job_fault);
}

/// Guards against a leader that starts the tasks of an earlier leader again while they still run. It has claimed before
/// it read the records of that leader, since the log answers slowly, but within the timeout of a read.
#[test]
fn no_task_runs_twice_when_reads_are_slow() {
    let scenario = Scenario {
        read_delay_ms: (200, 1_100),
        ..late_reads()
    };
    assert_none(&faults(scenario, 0..READ_SCHEDULES), |_| true);
}

/// Guards against two attempts of a task at the same time, and against jobs that are lost, after an entry has taken the
/// lead from a leader whose reads fail. That leader goes on renewing leases at runners that the new one can't reach.
#[test]
fn no_task_runs_twice_when_the_reads_of_the_leader_fail() {
    let scenario = Scenario {
        failed_reads: 6,
        ..Scenario::default()
    };
    assert_none(&faults(scenario, 0..READ_SCHEDULES), |_| true);
}

/// Guards against two attempts of a task at the same time, and against jobs that are lost, when runners start again under
/// their names and are cut off soon after, with a lease by the clock of the earlier incarnation.
#[test]
fn no_task_runs_twice_when_restarted_runners_are_cut_off() {
    let scenario = Scenario {
        late_orders: 0.0,
        ..cut_restarts()
    };
    assert_none(&faults(scenario, 0..READ_SCHEDULES), is_job_fault);
}

/// Guards against two attempts of a task at the same time, and against a task that starts again after it was done, when a
/// restarted runner carries out orders that were sent seconds ago to its earlier incarnation: a start that was prevented
/// there by a stop, a poll that asks for a lease by the earlier clock, or one that acknowledges ends by their earlier numbers.
#[test]
fn orders_for_an_earlier_incarnation_do_nothing_when_they_arrive_late() {
    let found = faults(cut_restarts(), 0..READ_SCHEDULES);
    assert_none(&found, is_job_fault);
}

/// Guards against two attempts of a task at the same time, and against a task that starts again after it was done, when a runner that
/// has started again behind a cut carries out a start without an answer before any leader has reached it.
#[test]
fn starts_without_an_answer_are_waited_for_while_their_runners_are_cut_off() {
    assert_none(&faults(dark_restarts(), 0..READ_SCHEDULES), is_job_fault);
}

/// Guards against reports on orders of an earlier lead that count for the runs and runners of a later lead of the same
/// entry: a run counts as started or lost that is not, and the leader gives up the lead.
#[test]
fn reports_on_orders_of_an_earlier_lead_change_nothing() {
    assert_none(&faults(short_leads(), 0..SHORT_LEAD_SCHEDULES), |_| true);
}

/// Load: takeovers, partitions and starts without an answer, while a cap is lowered below what is running and some entries can't
/// read that. Guards against an account that exceeds its cap, against a leader that starts tasks by an old configuration, against two attempts of a task at the same time, and against jobs that are lost because they
/// wait for a cap.
#[test]
fn account_stays_within_its_cap() {
    assert_none(&faults(capped(false), 0..READ_SCHEDULES), |_| true);
}

/// Guards against a simulation that would not notice if entries ignored the cap.
#[test]
fn simulation_shows_a_missing_cap() {
    let found = faults(capped(true), 0..REPORT_SCHEDULES);
    let exceeded = found.iter().filter(|(_, verdict)| verdict.exceeded > 0);
    assert!(
        exceeded.count() > 0,
        "no schedule shows an account above its cap"
    );
}

/// Guards against a simulation that would not notice if runners accepted the orders of former leaders.
#[test]
fn simulation_shows_missing_fences() {
    let scenario = Scenario {
        fences: false,
        late_orders: 0.2,
        ..Scenario::default()
    };
    assert!(
        overlapping(scenario) > 0,
        "no schedule shows two runs of a task without fences"
    );
}

/// Guards against a simulation that would not notice if a new leader did not wait for the leases of earlier attempts.
#[test]
fn simulation_shows_a_missing_wait_for_leases() {
    let scenario = Scenario {
        waits_for_leases: false,
        ..Scenario::default()
    };
    assert!(
        overlapping(scenario) > 0,
        "no schedule shows two runs of a task without the wait"
    );
}

/// Guards against a simulation in which no report arrives in a later lead of the entry that gave the order.
#[test]
fn simulation_shows_reports_on_orders_of_an_earlier_lead() {
    let outdated = |seed| Simulation::run(short_leads(), seed).outdated;
    let reports: usize = (0..REPORT_SCHEDULES).map(outdated).sum();
    assert!(
        reports > 0,
        "no schedule has a report on an order of an earlier lead"
    );
}
