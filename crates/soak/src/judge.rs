//! The rules LOST, TWICE, QUOTA and KEYS, judged on what callers, runners and the stand-in have seen.

use crate::{
    account::{
        Call,
        Table, //
    },
    fault::Event,
    job::Job, //
};
use sassafrascrank_standin::cluster::{
    MAX_ATTEMPTS,
    Record,
    Snapshot, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Time for which nothing may stand still.
const STILL: Duration = Duration::from_secs(3);
/// Time after the last run of a long-running task in which it needs no run.
const RESTART: Duration = Duration::from_secs(6);
/// Time without faults before a long-running task is judged, the 3 s of [`STILL`] included.
const CALM: Duration = Duration::from_secs(7);
/// Time after the acknowledgement of a job in which it may be unknown.
const VISIBLE: Duration = Duration::from_secs(3);
/// Time after the publication of a configuration in which an earlier one may count.
const APPLIED: Duration = Duration::from_secs(3);
/// Time after the publication of a lower cap in which the earlier one counts: until it is in force, and then until the
/// longest lease of a start that was ordered before has ended.
const CAP_APPLIED: Duration = Duration::from_secs(6);

/// A broken rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Case {
    /// The rule, and how it was broken.
    pub rule: &'static str,
    /// Id of the job.
    pub job: String,
    /// Task, or empty for the whole job.
    pub task: String,
    /// When it was found.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
}

/// Observes a run.
#[derive(Debug, Default)]
pub struct Judge {
    /// Since when a job has stood still, or a long-running task has had no run though it could.
    idle: BTreeMap<String, Duration>,
    /// Broken rules, one for each job, task and rule.
    cases: BTreeMap<(&'static str, String), Case>,
}

/// Returns the number of the step in a task's name, which has the form ID.K.STEP.INDEX.
fn step(task: &str) -> Option<usize> {
    task.split('.').nth(2)?.parse().ok()
}

/// Returns the attempt of a run with the runner and the incarnation that carried it out.
fn named(record: &Record) -> String {
    let Record { runner, born, run } = record;
    format!("attempt {} on {runner} born {born}", run.attempt)
}

/// Returns the CPU that a task requests.
fn cpu(jobs: &BTreeMap<String, Job>, task: &str) -> u64 {
    let job = task.split('.').next().and_then(|id| jobs.get(id));
    let step = job
        .zip(step(task))
        .and_then(|(job, step)| job.steps.get(step));
    step.map_or(0, |step| step.cpu)
}

/// Tells whether a pool has room for two tasks of this size while under half of it is in use.
fn has_room(jobs: &BTreeMap<String, Job>, snapshot: &Snapshot, pool: &str, wanted: u64) -> bool {
    let (mut total, mut used, mut fits) = (0, 0, 0);
    for node in snapshot.nodes.iter().filter(|node| node.pool == pool) {
        let busy: u64 = node.tasks.iter().map(|task| cpu(jobs, task)).sum();
        total += node.cpu;
        used += busy;
        fits += node.cpu.saturating_sub(busy) / wanted.max(1);
    }
    fits >= 2 && used * 2 < total
}

/// Tells whether the account of a job may start two tasks of this size while under half of its cap is in use.
fn may_start(
    jobs: &BTreeMap<String, Job>,
    accounts: &Table,
    snapshot: &Snapshot,
    job: &Job,
    wanted: u64,
) -> bool {
    let account = job
        .account
        .and_then(|account| accounts.accounts.get(account));
    let Some((_, cap)) = account.and_then(|account| account.caps.last()) else {
        return true;
    };
    let running = snapshot.records.iter();
    let running = running.filter(|record| record.run.outcome == "running");
    let own = running.filter(|record| owner(jobs, &record.run.task) == job.account);
    let used: u64 = own.map(|record| cpu(jobs, &record.run.task)).sum();
    used + 2 * wanted <= *cap && used * 2 < *cap
}

/// Returns the account of a task.
fn owner(jobs: &BTreeMap<String, Job>, task: &str) -> Option<usize> {
    jobs.get(task.split('.').next()?)?.account
}

impl Judge {
    /// Observes one moment. `calm` is the time without faults before it; ordinary jobs are judged if `finished`.
    pub fn observe(
        &mut self,
        jobs: &BTreeMap<String, Job>,
        accounts: &Table,
        snapshot: &Snapshot,
        calm: Duration,
        finished: bool,
    ) {
        let mut runs: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for record in &snapshot.records {
            runs.entry(&record.run.task).or_default().push(record);
        }
        for (id, job) in jobs.iter().filter(|(_, job)| job.is_owed()) {
            let room = |wanted| {
                has_room(jobs, snapshot, &job.pool, wanted)
                    && may_start(jobs, accounts, snapshot, job, wanted)
            };
            match job.work {
                Some(_) => self.observe_ordinary(room, snapshot, &runs, (id, job), finished),
                None => self.observe_lasting(room, snapshot, &runs, (id, job), calm),
            }
        }
    }

    /// Records since when `key` has stood still, and tells for how long.
    fn stood(&mut self, key: String, still: bool, now: Duration) -> Duration {
        if !still {
            self.idle.remove(&key);
            return Duration::ZERO;
        }
        now - *self.idle.entry(key).or_insert(now)
    }

    fn observe_ordinary(
        &mut self,
        room: impl Fn(u64) -> bool,
        snapshot: &Snapshot,
        runs: &BTreeMap<&str, Vec<&Record>>,
        (id, job): (&str, &Job),
        finished: bool,
    ) {
        let ended = |task: &str, outcome: &str| {
            let runs = runs.get(task).into_iter().flatten();
            runs.filter(|record| record.run.outcome == outcome).count()
        };
        let names = |step: usize| {
            (0..job.steps[step].tasks).map(move |index| format!("{id}.0.{step}.{index}"))
        };
        let turn = (0..job.steps.len()).find_map(|step| {
            names(step)
                .find(|task| ended(task, "done") == 0)
                .map(|task| (step, task))
        });
        let Some((step, task)) = turn else {
            self.idle.remove(id);
            return;
        };
        let runs_now = (0..job.steps.len())
            .flat_map(names)
            .any(|task| ended(&task, "running") > 0);
        let room = room(job.steps[step].cpu);
        let still = finished && !runs_now && room;
        let stood = self.stood(id.to_owned(), still, snapshot.now);
        if stood >= STILL {
            let since = snapshot.now - stood;
            let detail = format!("nothing running since {since:.1?}, though this task could run");
            self.find("LOST still", id, &task, snapshot.now, detail);
        }
    }

    fn observe_lasting(
        &mut self,
        room: impl Fn(u64) -> bool,
        snapshot: &Snapshot,
        runs: &BTreeMap<&str, Vec<&Record>>,
        (id, job): (&str, &Job),
        calm: Duration,
    ) {
        for index in 0..job.steps[0].tasks {
            let task = format!("{id}.0.0.{index}");
            let runs = runs.get(task.as_str()).map_or(&[][..], Vec::as_slice);
            let running = runs.iter().any(|record| record.run.outcome == "running");
            let last = runs.iter().map(|record| record.run.ended).max();
            let since = last.or(job.accepted).unwrap_or_default() + RESTART;
            let room = room(job.steps[0].cpu);
            let still = !running && since <= snapshot.now && room;
            let stood = self.stood(task.clone(), still, snapshot.now);
            if stood >= STILL && calm >= CALM {
                let from = snapshot.now - stood;
                let detail = format!("no run since {from:.1?}, {RESTART:?} after its last one");
                self.find("LOST lasting", id, &task, snapshot.now, detail);
            }
        }
    }

    /// Judges what callers were told, and the runs of each task.
    pub fn conclude(
        &mut self,
        jobs: &BTreeMap<String, Job>,
        snapshot: &Snapshot,
        finished: Duration,
    ) {
        let mut runs: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for record in &snapshot.records {
            runs.entry(&record.run.task).or_default().push(record);
        }
        for (id, job) in jobs.iter().filter(|(_, job)| job.is_owed()) {
            self.conclude_shown((id, job), &runs, finished);
        }
        for (task, mut runs) in runs {
            runs.sort_by_key(|record| record.run.began);
            let id = task.split('.').next().unwrap_or_default();
            for pair in runs.windows(2) {
                if pair[1].run.began < pair[0].run.ended {
                    let detail = format!(
                        "two runs at the same time: {}, {}",
                        named(pair[0]),
                        named(pair[1])
                    );
                    self.find("TWICE", id, task, pair[1].run.began, detail);
                }
            }
            let done = runs
                .iter()
                .position(|record| record.run.outcome == "done" && record.run.acknowledged);
            if let Some([done, again, ..]) = done.map(|done| &runs[done..]) {
                let detail = format!(
                    "a start after an end `done` that was taken note of: {}, {}",
                    named(done),
                    named(again)
                );
                self.find("TWICE", id, task, again.run.began, detail);
            }
        }
    }

    /// Judges for each account how much ran whenever a task started: never more than its cap and a tenth, and one task.
    pub fn conclude_quota(
        &mut self,
        jobs: &BTreeMap<String, Job>,
        accounts: &Table,
        snapshot: &Snapshot,
    ) {
        for (index, account) in accounts.accounts.iter().enumerate() {
            let own = snapshot.records.iter();
            let own = own.filter(|record| owner(jobs, &record.run.task) == Some(index));
            let own: Vec<&Record> = own.collect();
            let ends = own.iter().map(|record| (record.run.ended, false, *record));
            let begins = own.iter().map(|record| (record.run.began, true, *record));
            let mut moments: Vec<(Duration, bool, &Record)> = ends.chain(begins).collect();
            // What ends at a moment makes room for what begins then.
            moments.sort_by_key(|(at, begins, _)| (*at, *begins));
            let (mut used, mut excesses) = (0, Vec::new());
            for (at, begins, record) in moments {
                let cpu = cpu(jobs, &record.run.task) as i64;
                let allowed = (account.highest_cap(at, CAP_APPLIED) * 11 / 10) as i64;
                if begins && used > allowed {
                    excesses.push((used - allowed, at, used, allowed, record));
                }
                used += if begins { cpu } else { -cpu };
            }
            let starts = excesses.len();
            let worst = excesses.into_iter().max_by_key(|(excess, ..)| *excess);
            if let Some((_, at, used, allowed, record)) = worst {
                let id = record.run.task.split('.').next().unwrap_or_default();
                let detail = format!(
                    "{starts} starts of account {} while it had more than allowed; most at this one: {used} of {allowed}",
                    account.name
                );
                self.find("QUOTA", id, &record.run.task, at, detail);
            }
        }
    }

    /// Judges the answers to calls with keys that were withdrawn or never existed. Times of faults are relative to
    /// `offset`.
    pub fn conclude_keys(&mut self, accounts: &Table, faults: &[Event], offset: Duration) {
        let cut_off = |call: &Call| {
            let since = call.sent.saturating_sub(APPLIED);
            let mut faults = faults.iter();
            faults.any(|event| {
                let (begin, end) = (offset + event.begin, offset + event.end);
                event.fault.cuts_off(call.entry) && begin <= call.sent && since <= end
            })
        };
        for call in &accounts.calls {
            let success = call.status.is_some_and(|status| status.is_success());
            let known = match call.withdrawn {
                Some(at) if call.sent <= at + APPLIED || cut_off(call) => continue,
                Some(at) => format!("withdrawn at {at:.3?}"),
                None => "that never existed".to_owned(),
            };
            if success {
                let detail = format!("success at entry {} with a key {known}", call.entry);
                self.find("KEYS", &call.job, "", call.sent, detail);
            }
        }
    }

    fn conclude_shown(
        &mut self,
        (id, job): (&str, &Job),
        runs: &BTreeMap<&str, Vec<&Record>>,
        finished: Duration,
    ) {
        let prefix = format!("{id}.");
        let of_job = runs.iter().filter(|(task, _)| task.starts_with(&prefix));
        let most = of_job
            .map(|(_, runs)| {
                runs.iter()
                    .filter(|record| record.run.outcome == "failed")
                    .count()
            })
            .max();
        let most = most.unwrap_or(0);
        for (at, entry, state) in &job.shown {
            let known = job.accepted.unwrap_or_default() + VISIBLE;
            let wrong = match state.as_str() {
                "failed" if most < MAX_ATTEMPTS => Some("LOST failed"),
                "cancelled" => Some("LOST cancelled"),
                "410" if *at >= finished.max(known) => Some("LOST unknown"),
                _ => None,
            };
            if let Some(rule) = wrong {
                let detail =
                    format!("{state} at entry {entry}; at most {most} ends of a task are `failed`");
                self.find(rule, id, "", *at, detail);
            }
        }
        let answered = |state: &str| {
            matches!(
                state,
                "queued" | "running" | "done" | "failed" | "cancelled" | "410"
            )
        };
        let mut late = job.shown.iter().filter(|(at, _, _)| *at >= finished);
        if !late.any(|(_, _, state)| answered(state)) {
            let detail = "no answer at the end".to_owned();
            self.find("LOST unanswered", id, "", finished, detail);
        }
    }

    fn find(&mut self, rule: &'static str, job: &str, task: &str, at: Duration, detail: String) {
        let key = (rule, format!("{job} {task}"));
        self.cases.entry(key).or_insert_with(|| Case {
            rule,
            job: job.to_owned(),
            task: task.to_owned(),
            at,
            detail,
        });
    }

    /// Returns the broken rules.
    pub fn cases(&self) -> Vec<Case> {
        self.cases.values().cloned().collect()
    }
}
