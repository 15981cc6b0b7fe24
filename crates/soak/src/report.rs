//! The report of a run.

use crate::{
    account::Table,
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
    accounts: &Table,
    snapshot: &Snapshot,
    cases: &[Case],
    offset: Duration,
) -> String {
    let mut lines = vec![summary(options, jobs, snapshot, cases.len())];
    lines.extend((!accounts.accounts.is_empty()).then(|| calls(accounts)));
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

/// Counts the answers to calls with foreign keys.
fn calls(accounts: &Table) -> String {
    let mut answers = BTreeMap::<(&str, u16), usize>::new();
    for call in &accounts.calls {
        let key = match call.withdrawn {
            Some(_) => "withdrawn",
            None => "never",
        };
        let status = call.status.map_or(0, |status| status.as_u16());
        *answers.entry((key, status)).or_default() += 1;
    }
    format!(
        "soak: {} accounts, calls with foreign keys {answers:?}",
        accounts.accounts.len()
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
        "  queue {}, account {:?}, work {:?} ms, accepted {:?}, {:?}",
        job.queue, job.account, job.work, job.accepted, job.steps
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
