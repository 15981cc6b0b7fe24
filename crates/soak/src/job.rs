//! Jobs of a run: what was submitted, and what callers were told.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

/// Number of tasks of a step, and the CPU that each requests in thousandths of a core.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: usize,
    /// CPU of a task.
    pub cpu: u64,
}

/// A job that callers have submitted. Each step depends on the one before.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of its queue.
    pub queue: String,
    /// Index of the account that submits it; `None` if its queue needs no key.
    pub account: Option<usize>,
    /// Pool of its queue.
    pub pool: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Duration of a task in milliseconds; `None` if it runs until the job is cancelled.
    pub work: Option<u64>,
    /// Time of the acknowledgement; `None` if there is none yet.
    pub accepted: Option<Duration>,
    /// Whether a caller has sent a request to cancel it.
    pub cancelled: bool,
    /// States that callers were shown, or the reason why there is none, with the time and the entry.
    pub shown: Vec<(Duration, usize, String)>,
}

impl Job {
    /// Tells whether it was accepted and not cancelled.
    pub fn is_owed(&self) -> bool {
        self.accepted.is_some() && !self.cancelled
    }

    /// Returns the body of the request that submits it.
    pub fn body(&self) -> String {
        let text = match self.work {
            Some(work) => format!("work={work}"),
            None => "lasting".to_owned(),
        };
        let step = |(index, step): (usize, &Step)| {
            let mut value = serde_json::json!({
                "count": step.tasks,
                "cpu": step.cpu,
                "memMb": 1_000,
                "estimateMs": self.work.unwrap_or(500),
            });
            if let Some(before) = index.checked_sub(1) {
                value["dependsOn"] = serde_json::json!([before]);
            }
            if self.work.is_none() {
                value["longRunning"] = serde_json::json!(true);
            }
            value
        };
        let steps: Vec<_> = self.steps.iter().enumerate().map(step).collect();
        serde_json::json!({ "spec": text, "phases": steps }).to_string()
    }
}

/// All jobs by id, shared by the callers and the judge, which run on one thread.
pub type Jobs = Rc<RefCell<BTreeMap<String, Job>>>;
