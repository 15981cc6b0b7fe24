//! Takeover under faults: no task runs twice, and no accepted job is lost.
//!
//! Guards against: a new leader that starts what may still run at a runner that it can't see; orders of a paused former
//! leader; late orders; lost answers of the log; a leader that acts on a claim that another one has replaced.

mod world;

use world::{
    Plan,
    Verdict,
    World, //
};

/// Schedules of the whole test; each is a run of 24 s in virtual time.
const SCHEDULES: u64 = 10_000;
/// Schedules in which a protection is switched off; some of them have to show its lack.
const ABLATIONS: u64 = 1_500;

/// Runs schedules on all but two processors and returns those with a fault.
fn faults(plan: Plan, seeds: core::ops::Range<u64>) -> Vec<(u64, Verdict)> {
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    let threads = threads.saturating_sub(2).max(1) as u64;
    let run = |first: u64| {
        let seeds = (seeds.start + first..seeds.end).step_by(threads as usize);
        let verdicts = seeds.map(|seed| (seed, World::run(plan, seed)));
        let faulty = |(_, verdict): &(u64, Verdict)| {
            let clean = Verdict {
                ran: verdict.ran,
                ..Verdict::default()
            };
            *verdict != clean || verdict.ran == 0
        };
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

/// Returns how many schedules without a protection show two runs of a task at the same time.
fn doubled(plan: Plan) -> usize {
    let found = faults(plan, 0..ABLATIONS);
    let doubled = found.iter().filter(|(_, verdict)| verdict.doubled > 0);
    doubled.count()
}

#[test]
fn no_task_runs_twice_and_no_job_is_lost() {
    let found = faults(Plan::default(), 0..SCHEDULES);
    assert!(
        found.is_empty(),
        "{} schedules with faults, the first: {:?}",
        found.len(),
        &found[..found.len().min(5)]
    );
}

#[test]
fn schedules_show_the_lack_of_fences() {
    let plan = Plan {
        fences: false,
        late: 0.2,
        ..Plan::default()
    };
    assert!(
        doubled(plan) > 0,
        "no schedule shows two runs of a task without fences"
    );
}

#[test]
fn schedules_show_the_lack_of_the_wait() {
    let plan = Plan {
        waits: false,
        ..Plan::default()
    };
    assert!(
        doubled(plan) > 0,
        "no schedule shows two runs of a task without the wait"
    );
}
