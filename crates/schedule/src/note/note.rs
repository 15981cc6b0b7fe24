//! One decision.

use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    id::Task, //
};
use std::sync::Arc;

macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal;)*) => {
        /// What was decided or learned.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Kind {
            $($(#[doc = $doc])* $name,)*
        }

        impl Kind {
            /// Every kind, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the name in logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }
        }
    };
}

kinds! {
    /// A task is to start on a runner.
    Placed = "task-placed";
    /// A runner has started a task.
    Started = "task-started";
    /// A runner did not start a task.
    StartRefused = "start-refused";
    /// A start got no answer.
    StartUnknown = "start-unknown";
    /// A run is to stop.
    Stopping = "run-stopping";
    /// A run has ended.
    Ended = "run-ended";
    /// A run can't exist any more, although its end was not seen.
    Lost = "run-lost";
    /// A run of the predecessor goes on.
    Adopted = "run-adopted";
    /// A runner runs what nobody should run.
    Foreign = "run-foreign";
    /// A job has ended.
    JobEnded = "job-ended";
    /// A runner is known from here on.
    RunnerListed = "runner-listed";
    /// A runner drains.
    RunnerDraining = "runner-draining";
    /// A runner does not answer.
    RunnerLost = "runner-lost";
    /// A runner answers again.
    RunnerBack = "runner-back";
    /// A life of a runner is over.
    RunnerGone = "runner-gone";
    /// A runner failed tasks of several jobs and gets no work for a while.
    RunnerQuarantined = "runner-quarantined";
    /// A serving task slows down because of its neighbours.
    Paced = "run-paced";
    /// A host is ordered to another pool.
    HostMoved = "host-move";
    /// A host is ordered to its maintenance.
    HostMaintained = "host-maintenance";
    /// An order to a host failed.
    HostFailed = "host-order-failed";
    /// A wave begins or ends.
    Wave = "wave";
}

/// One decision with the inputs that decided it.
#[derive(Clone, Debug)]
pub struct Note {
    /// What was decided or learned.
    pub kind: Kind,
    /// When.
    pub at: Time,
    /// Job that it concerns.
    pub job: Option<Id>,
    /// Task that it concerns.
    pub task: Option<Task>,
    /// Attempt of the task.
    pub attempt: u32,
    /// Runner or host that it concerns.
    pub place: Option<Arc<str>>,
    /// Why, or how it ended.
    pub reason: &'static str,
    /// Age of the input that decided it, or how long it took.
    pub age: Duration,
}

impl Note {
    /// Makes a note that concerns nothing yet.
    pub fn new(kind: Kind, reason: &'static str, at: Time) -> Self {
        Self {
            kind,
            at,
            job: None,
            task: None,
            attempt: 0,
            place: None,
            reason,
            age: Duration::ZERO,
        }
    }

    /// Sets the job.
    pub fn with_job(mut self, job: Id) -> Self {
        self.job = Some(job);
        self
    }

    /// Sets the task, its job and its attempt.
    pub fn with_task(mut self, task: Task, attempt: u32) -> Self {
        self.job = Some(task.job);
        self.task = Some(task);
        self.attempt = attempt;
        self
    }

    /// Sets the runner or host.
    pub fn with_place(mut self, place: &Arc<str>) -> Self {
        self.place = Some(Arc::clone(place));
        self
    }

    /// Sets the age of the input, or how long it took.
    pub fn with_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }
}
