//! A note on a decision or an event.

use crate::{
    contention::Change,
    order::report::Fault, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    id::Task, //
};
use std::sync::Arc;

macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal;)*) => {
        /// Kind of the decision or event.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Kind {
            $($(#[doc = $doc])* $name,)*
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the name for logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }
        }
    };
}

kinds! {
    /// A task was assigned to a runner.
    Placed = "task-placed";
    /// A runner has started a task.
    Started = "task-started";
    /// A runner refused to start a task.
    StartRefused = "start-refused";
    /// The order to start a task got no answer.
    StartUnknown = "start-unknown";
    /// A task does not start again yet, since a start of it may still be carried out at a runner that does not answer.
    StartAwaited = "start-awaited";
    /// A run was ordered to stop.
    Stopping = "run-stopping";
    /// A run has ended.
    Ended = "run-ended";
    /// A run is known to be over, although its end was not reported.
    Lost = "run-lost";
    /// A run was lost that may have crashed its runner.
    CrashSuspected = "crash-suspected";
    /// A runner that stopped answering soon after the start of a task has crashed.
    CrashConfirmed = "crash-confirmed";
    /// A runner that stopped answering soon after the start of a task has not crashed, or the leader has ended it.
    CrashRefuted = "crash-refuted";
    /// It was decided whether a task crashes its runners.
    CrashAssessed = "crash-assessed";
    /// A crash of a runner was part of the evidence for such a decision.
    CrashEvidence = "crash-evidence";
    /// A run that a former leader started is alive.
    Adopted = "run-adopted";
    /// A run whose start may reach, or may have reached, a later incarnation of its runner.
    Moved = "run-moved";
    /// A runner reports a run that the engine does not know, or has given up; it is stopped.
    Foreign = "run-foreign";
    /// A job counts as begun, since a runner has shown that it started a task.
    JobBegun = "job-begun";
    /// A job has ended.
    JobEnded = "job-ended";
    /// A runner was added.
    RunnerListed = "runner-listed";
    /// A runner has begun to drain.
    RunnerDraining = "runner-draining";
    /// A runner has stopped answering.
    RunnerLost = "runner-lost";
    /// A runner answers again.
    RunnerBack = "runner-back";
    /// An incarnation of a runner has ended.
    RunnerGone = "runner-gone";
    /// A runner has restarted under its name, and may hold a lease by the clock of its earlier incarnation.
    RunnerLeased = "runner-leased";
    /// A runner gets no tasks for a while, since tasks failed or were slow there.
    RunnerQuarantined = "runner-quarantined";
    /// The share of a background task was changed for the sake of serving tasks beside it.
    Paced = "run-paced";
    /// Tasks of one image were found to be slowed down by those of another one beside them, or no longer are.
    Contention = "contention";
    /// A host was ordered to move to another pool.
    HostMoved = "host-move";
    /// A host was ordered to begin its maintenance.
    HostMaintained = "host-maintenance";
    /// An order to a host failed.
    HostFailed = "host-order-failed";
    /// A maintenance wave has begun or ended.
    Wave = "wave";
    /// A report on an order of an earlier lead was dropped.
    ReportOutdated = "report-outdated";
}

/// Failed call to a runner that counts as lost since then.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Miss {
    /// Kind of the order.
    pub call: &'static str,
    /// What has failed, if that is known.
    pub fault: Option<Fault>,
    /// Whether the runner has answered a poll of this leader before.
    pub answered: bool,
}

/// A decision of the engine, or an event that it learned of.
#[derive(Clone, Debug)]
pub struct Note {
    /// Kind of the decision or event.
    pub kind: Kind,
    /// Time of the decision or event.
    pub at: Time,
    /// Job that it is about.
    pub job: Option<Id>,
    /// Task that it is about.
    pub task: Option<Task>,
    /// Attempt of the task.
    pub attempt: u32,
    /// Runner or host that it is about.
    pub place: Option<Arc<str>>,
    /// Reason of the decision, or result of the event.
    pub reason: &'static str,
    /// Age of the input that led to the decision, or time that the event took.
    pub age: Duration,
    /// Failed call that it is about.
    pub miss: Option<Miss>,
    /// Pair of images that it is about.
    pub contention: Option<Change>,
}

impl Note {
    /// Creates a note without a job, a task or a place.
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
            miss: None,
            contention: None,
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

    /// Sets the failed call.
    pub fn with_miss(mut self, miss: Miss) -> Self {
        self.miss = Some(miss);
        self
    }

    /// Sets the pair of images.
    pub fn with_contention(mut self, change: Change) -> Self {
        self.contention = Some(change);
        self
    }

    /// Sets the age of the input, or the time that the event took.
    pub fn with_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }
}
