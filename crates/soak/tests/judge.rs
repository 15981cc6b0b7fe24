//! Verdicts on made-up runs.

use sassafrascrank_soak::{
    fault::{
        Kinds,
        Size,
        schedule, //
    },
    job::{
        Job,
        Step, //
    },
    judge::Judge,
    sort::Sort,
};
use sassafrascrank_standin::cluster::{
    Execution,
    Node,
    Record,
    Snapshot, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

const SECOND: Duration = Duration::from_secs(1);

fn jobs(work: Option<u64>, shown: &[(u32, &str)]) -> BTreeMap<String, Job> {
    let step = Step {
        tasks: 1,
        cpu: 1_000,
    };
    let shown = shown
        .iter()
        .map(|(at, state)| (SECOND * *at, 0, (*state).to_owned()));
    let job = Job {
        queue: "queue".to_owned(),
        pool: "pool".to_owned(),
        steps: vec![step],
        work,
        accepted: Some(SECOND),
        cancelled: false,
        shown: shown.collect(),
    };
    BTreeMap::from([("a".to_owned(), job)])
}

fn snapshot(now: u32, runs: &[(u32, u32, &'static str)]) -> Snapshot {
    let record = |(index, (began, ended, outcome)): (usize, &(u32, u32, &'static str))| Record {
        runner: format!("i-{index}"),
        born: 1_000 * index as u64,
        run: Execution {
            task: "a.0.0.0".to_owned(),
            attempt: index as u32 + 1,
            began: SECOND * *began,
            ended: SECOND * *ended,
            outcome,
            acknowledged: true,
        },
    };
    Snapshot {
        now: SECOND * now,
        records: runs.iter().enumerate().map(record).collect(),
        nodes: vec![Node {
            pool: "pool".to_owned(),
            tasks: Vec::new(),
            cpu: 8_000,
        }],
    }
}

/// Observes each second from `begin` to `end`, concludes then, and returns the broken rules.
fn verdict(
    work: Option<u64>,
    shown: &[(u32, &str)],
    runs: &[(u32, u32, &'static str)],
    (begin, end): (u32, u32),
    calm: u32,
) -> String {
    let jobs = jobs(work, shown);
    let mut judge = Judge::default();
    for now in begin..=end {
        judge.observe(&jobs, &snapshot(now, runs), SECOND * calm, true);
    }
    judge.conclude(&jobs, &snapshot(end, runs), SECOND * 20);
    let cases = judge.cases();
    let cases = cases
        .iter()
        .map(|case| format!("{} {}", case.rule, case.at.as_secs()));
    let cases: Vec<String> = cases.collect();
    cases.join(", ")
}

// Guards against a judge that misses an ordinary job that was lost or ran twice, or reports one that is allowed.
#[test]
fn ordinary_jobs_are_judged_by_lost_and_twice() {
    let [done, running] = [[(25, "done")], [(25, "running")]];
    let ordinary = |shown: &[(u32, &str)], runs: &[(u32, u32, &'static str)], end| {
        verdict(Some(1), shown, runs, (20, end), 9)
    };
    let again = [(2, 3, "lapsed"), (4, 5, "done")];
    let failures = [(2, 3, "failed"), (4, 5, "failed")];
    let overlap = [(2, 6, "lapsed"), (5, 7, "done")];
    let repeat = [(2, 3, "done"), (5, 7, "done")];
    let lines = [
        format!("done: {}", ordinary(&done, &again, 24)),
        format!("still for 3 s: {}", ordinary(&running, &again[..1], 23)),
        format!("still for 2 s: {}", ordinary(&running, &again[..1], 22)),
        format!(
            "shown as failed: {}",
            ordinary(&[(9, "failed"), done[0]], &again, 21)
        ),
        format!(
            "failed twice: {}",
            ordinary(&[(25, "failed")], &failures, 21)
        ),
        format!(
            "unknown early: {}",
            ordinary(&[(3, "410"), done[0]], &again, 21)
        ),
        format!("unknown late: {}", ordinary(&[(21, "410")], &again, 21)),
        format!("no answer: {}", ordinary(&[(21, "no answer")], &again, 21)),
        format!("two at once: {}", ordinary(&done, &overlap, 21)),
        format!("again after done: {}", ordinary(&done, &repeat, 21)),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a report in which a late start on a later incarnation looks like a lease that was too long.
#[test]
fn two_runs_are_named_with_their_incarnations() {
    let jobs = jobs(Some(1), &[(25, "done")]);
    let detail = |runs: &[(u32, u32, &'static str)]| {
        let mut judge = Judge::default();
        judge.conclude(&jobs, &snapshot(21, runs), SECOND * 20);
        let details = judge.cases().into_iter().map(|case| case.detail);
        details.collect::<Vec<String>>().join(", ")
    };
    let overlap = detail(&[(2, 6, "lapsed"), (5, 7, "done")]);
    let repeat = detail(&[(2, 3, "done"), (5, 7, "done")]);
    insta::assert_snapshot!(format!("{overlap}\n{repeat}"));
}

// Guards against a judge that misses a long-running task that isn't restarted, or that allows no time for it.
#[test]
fn long_running_tasks_are_judged_while_calm() {
    let lasting = |end, calm| {
        verdict(
            None,
            &[(25, "running")],
            &[(2, 3, "lapsed")],
            (4, end),
            calm,
        )
    };
    let lines = [
        format!("9 s: {}", lasting(12, 7)),
        format!("8 s: {}", lasting(11, 7)),
        format!("9 s, not calm: {}", lasting(12, 6)),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against a schedule that differs between two runs of a seed, or that has no bound.
#[test]
fn schedule_follows_from_the_seed() {
    let size = Size {
        entries: 7,
        hosts: 40,
        millis: 40_000,
    };
    let same = (1..200).all(|seed| {
        schedule(seed, size, Kinds::ALL, &Sort::ALL) == schedule(seed, size, Kinds::ALL, &Sort::ALL)
    });
    let most = (1..200)
        .map(|seed| schedule(seed, size, Kinds::ALL, &Sort::ALL).len())
        .max();
    let late = (1..200)
        .flat_map(|seed| schedule(seed, size, Kinds::ALL, &Sort::ALL))
        .filter(|event| event.end > SECOND * 40);
    insta::assert_snapshot!(format!(
        "same: {same}\nmost faults: {most:?}\ntoo late: {}",
        late.count()
    ));
}
