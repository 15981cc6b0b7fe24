//! The records about one host.

use super::State;
use core::fmt::{
    self,
    Display,
    Formatter, //
};

/// What the log records about one host.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Host {
    name: String,
    /// Attempts that may be running there: job, task, attempt and runner.
    runs: Vec<String>,
    /// When a leader last ordered its move or its maintenance, in milliseconds since the Unix epoch.
    ordered: Option<u64>,
    /// Numbers of the waves in which its maintenance has begun.
    waves: Vec<u64>,
}

impl Host {
    /// Collects what the log records about the host `name`.
    pub fn new(state: &State, name: &str) -> Self {
        let mut runs = Vec::new();
        for (_, entry) in state.replica.jobs() {
            let tasks = entry.progress.iter().flat_map(|progress| &progress.tasks);
            for task in tasks {
                let assignments = task
                    .assignments
                    .iter()
                    .filter(|assignment| *assignment.host == *name);
                let position = task.position;
                runs.extend(assignments.map(|assignment| {
                    format!(
                        "{} {}.{}.{} attempt {} at {}",
                        entry.id,
                        position.occurrence,
                        position.step,
                        position.index,
                        assignment.attempt,
                        assignment.runner
                    )
                }));
            }
        }
        runs.sort_unstable();
        let ordered = state.replica.host_orders().get(name);
        let waves = state.replica.waves().values();
        let waves = waves.filter(|wave| wave.begun.iter().any(|host| **host == *name));
        Self {
            name: name.to_owned(),
            runs,
            ordered: ordered.map(|at| at.as_millis()),
            waves: waves.map(|wave| wave.number).collect(),
        }
    }
}

impl Display for Host {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "host {}: {} runs", self.name, self.runs.len())?;
        for run in &self.runs {
            writeln!(f, "  {run}")?;
        }
        if let Some(ordered) = self.ordered {
            writeln!(f, "ordered to move or to its maintenance at {ordered} ms")?;
        }
        for wave in &self.waves {
            writeln!(f, "its maintenance in wave {wave} has begun")?;
        }
        Ok(())
    }
}
