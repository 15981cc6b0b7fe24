//! The report of a run.

use crate::{
    job::Job,
    judge::Case,
    run::Options, //
};
use sassafrascrank_standin::cluster::{
    Record,
    Snapshot, //
};
use std::{
    collections::BTreeMap,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Renders what happened in a run, with all that is known of each broken rule. Faults begin at `offset`.
pub fn render(
    options: &Options,
    jobs: &BTreeMap<String, Job>,
    snapshot: &Snapshot,
    cases: &[Case],
    offset: Duration,
) -> String {
    let mut lines = vec![summary(options, jobs, snapshot, cases.len())];
    if !cases.is_empty() {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let zero = unix.unwrap_or_default().saturating_sub(snapshot.now);
        lines.push(format!(
            "times since {} ms of the Unix epoch",
            zero.as_millis()
        ));
        for case in cases {
            describe(case, jobs.get(&case.job), &snapshot.records, &mut lines);
        }
        let faults = options.faults.iter().map(|event| {
            let (begin, end) = (offset + event.begin, offset + event.end);
            format!("fault {begin:.3?} to {end:.3?} {:?}", event.fault)
        });
        lines.extend(faults);
    }
    lines.push(String::new());
    lines.join("\n")
}

fn summary(
    options: &Options,
    jobs: &BTreeMap<String, Job>,
    snapshot: &Snapshot,
    broken: usize,
) -> String {
    let accepted = jobs.values().filter(|job| job.accepted.is_some()).count();
    let cancelled = jobs.values().filter(|job| job.cancelled).count();
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for record in &snapshot.records {
        *outcomes.entry(record.run.outcome).or_default() += 1;
    }
    format!(
        "soak: seed {}, {} entries, {} ms, {} faults, {} jobs, {accepted} accepted, {cancelled} cancelled, runs \
         {outcomes:?}, {broken} broken",
        options.seed,
        options.size.entries,
        options.size.millis,
        options.faults.len(),
        jobs.len(),
    )
}

fn describe(case: &Case, job: Option<&Job>, records: &[Record], lines: &mut Vec<String>) {
    let Case {
        rule,
        job: id,
        task,
        at,
        detail,
    } = case;
    lines.push(format!(
        "{rule}: job {id} task {task} at {at:.3?}: {detail}"
    ));
    let Some(job) = job else {
        lines.push("  no caller has submitted this job".to_owned());
        return;
    };
    lines.push(format!(
        "  queue {}, work {:?} ms, accepted {:?}, {:?}",
        job.queue, job.work, job.accepted, job.steps
    ));
    let shown = job.shown.iter();
    lines.extend(
        shown.map(|(at, entry, state)| format!("  shown {state} at {at:.3?} by entry {entry}")),
    );
    let of_case = |record: &&Record| match task.is_empty() {
        true => record.run.task.split('.').next() == Some(id.as_str()),
        false => record.run.task == *task,
    };
    lines.extend(records.iter().filter(of_case).map(|record| {
        let run = &record.run;
        format!(
            "  run {} {} on {} born {}: {:.3?} to {:.3?} {}",
            run.task, run.attempt, record.runner, record.born, run.began, run.ended, run.outcome
        )
    }));
}
