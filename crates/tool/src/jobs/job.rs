//! The records about one job.

use super::{
    State,
    overview::describe_state, //
};
use core::fmt::{
    self,
    Display,
    Formatter, //
};
use sassafrascrank_job::{
    self as job,
    Id,
    progress::Task, //
};

/// A step with its tasks.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Step {
    tasks: u16,
    after: Vec<u16>,
    /// Resources of each task: thousandths of a core, megabytes of memory, accelerators.
    needs: [u64; 3],
}

/// A task that has a record in the log.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Row {
    /// Occurrence, step and index.
    task: String,
    done: bool,
    attempts: u32,
    failures: u16,
    /// Runners and hosts where attempts may be running.
    places: Vec<String>,
}

/// What the log records about one job.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Job {
    id: String,
    state: &'static str,
    queue: Option<String>,
    pool: Option<String>,
    steps: Vec<Step>,
    occurrences: u32,
    finished: u32,
    tasks: Vec<Row>,
    reason: String,
}

impl Job {
    /// Collects what the log records about a job, or returns `None` if it has no record of it.
    pub fn find(state: &State, id: Id) -> Option<Self> {
        let entry = state.replica.get(state.replica.find(id)?)?;
        let submitted = state.jobs.get(&id);
        let progress = entry.progress.as_ref();
        let tasks = progress.map(|progress| progress.tasks.iter().map(Row::from).collect());
        let mut job = Self {
            id: id.to_string(),
            state: describe_state(state, id),
            queue: entry.queue.as_deref().map(str::to_owned),
            pool: submitted.map(|job| job.policy.pool.to_string()),
            steps: submitted
                .map_or_else(Vec::new, |job| job.steps.iter().map(Step::from).collect()),
            occurrences: submitted.map_or(1, |job| job.occurrences()),
            finished: progress.map_or(0, |progress| progress.finished),
            tasks: tasks.unwrap_or_default(),
            reason: String::new(),
        };
        job.reason = job.explain(state);
        Some(job)
    }

    /// Returns the reason for the state as text.
    fn explain(&self, state: &State) -> String {
        let open = self
            .tasks
            .iter()
            .filter(|task| !task.places.is_empty())
            .count();
        let done = self.tasks.iter().filter(|task| task.done).count();
        match self.state {
            "queued" => match state.replica.leader() {
                None => "no entry leads, so nothing starts".to_owned(),
                Some(leader) if leader.resigned => {
                    format!(
                        "{} has resigned and nobody has claimed since",
                        leader.holder
                    )
                }
                Some(leader) => format!(
                    "{} has started none of its tasks: its pool has no room, its time has not come, or the leader is \
                     gone; see the latest lines of that entry",
                    leader.holder
                ),
            },
            "running" => format!("{open} tasks have a run, {done} are done"),
            "failed" => {
                let worst = self.tasks.iter().max_by_key(|task| task.failures);
                let worst = worst.filter(|task| task.failures > 0);
                match worst {
                    Some(task) => format!("task {} failed {} times", task.task, task.failures),
                    None => "a task failed as often as the queue allows".to_owned(),
                }
            }
            "cancelled" if open > 0 => format!("{open} runs are being stopped"),
            _ => "nothing is left to do".to_owned(),
        }
    }
}

impl From<&job::Step> for Step {
    fn from(step: &job::Step) -> Self {
        Self {
            tasks: step.count,
            after: step.after.to_vec(),
            needs: [step.need.cpu, step.need.memory, step.need.gpu],
        }
    }
}

impl From<&Task> for Row {
    fn from(task: &Task) -> Self {
        let position = task.position;
        let places = task.assignments.iter().map(|assignment| {
            format!(
                "{} on {}, attempt {}",
                assignment.runner, assignment.host, assignment.attempt
            )
        });
        let awaited = task.late_starts.iter().map(|start| {
            format!(
                "waits for a start without an answer at {} on {}",
                start.runner, start.host
            )
        });
        Self {
            task: format!(
                "{}.{}.{}",
                position.occurrence, position.step, position.index
            ),
            done: task.done,
            attempts: task.attempt,
            failures: task.failures,
            places: places.chain(awaited).collect(),
        }
    }
}

impl Display for Job {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let unknown = || "unknown".to_owned();
        let queue = self.queue.clone().unwrap_or_else(unknown);
        let pool = self.pool.clone().unwrap_or_else(unknown);
        writeln!(f, "job {}: {}, {}", self.id, self.state, self.reason)?;
        writeln!(
            f,
            "queue {queue}, pool {pool}, {} of {} occurrences done",
            self.finished, self.occurrences
        )?;
        for (number, step) in self.steps.iter().enumerate() {
            let [cpu, memory, gpu] = step.needs;
            write!(
                f,
                "step {number}: {} tasks of {cpu} thousandths of a core, {memory} MB, {gpu} accelerators",
                step.tasks
            )?;
            match step.after.as_slice() {
                [] => writeln!(f)?,
                after => writeln!(f, ", after {after:?}")?,
            }
        }
        for task in &self.tasks {
            let done = if task.done { "done" } else { "open" };
            write!(
                f,
                "task {}: {done}, {} attempts, {} failed",
                task.task, task.attempts, task.failures
            )?;
            match task.places.as_slice() {
                [] => writeln!(f)?,
                places => writeln!(f, ", at {}", places.join(" and "))?,
            }
        }
        Ok(())
    }
}
