//! Starts of long-running tasks that got no answer.
//!
//! Such a start may have been carried out, or may be until it expires. A stop would end a task that works, without regard
//! to the disruption budget of its step. So the start is repeated, which a runner answers without effect if the run is
//! already there.

use super::{
    Engine,
    loss::Loss, //
};
use crate::{
    job::{
        Run,
        run::{
            self,
            Doubt,
            Stage, //
        },
    },
    note::Kind,
    order::report::Failure,
    runner::Runner, //
};
use sassafrascrank_base::prelude::*;

/// Time before the first repeat of a start without an answer. A runner that is only slow has listed the run by then.
const REPEAT_DELAY: Duration = Duration::from_millis(300);

impl Engine {
    /// Tells whether a start of the run that got no answer is repeated, and not prevented by a stop.
    pub(super) fn repeats_start(&self, run: &Run) -> bool {
        let repeated = |step: &sassafrascrank_job::Step| step.long_running && !step.gang;
        matches!(run.stage, Stage::Ordered | Stage::Running)
            && self.step_spec(run.task).is_some_and(repeated)
    }

    /// Handles the failure of a start that may have been carried out, or whose earlier copy may have been.
    pub(super) fn doubt_start(&mut self, key: run::Key, failure: Failure, now: Time) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.stage == Stage::Running {
            // A poll has listed the run meanwhile.
            return;
        }
        let repeat_at = Some(now + REPEAT_DELAY);
        run.doubt = Some(Doubt { repeat_at });
        let run = run.clone();
        let reason = match failure {
            Failure::Unknown => "no-answer",
            other => other.as_str(),
        };
        self.note_run(Kind::StartUnknown, reason, &run, now);
    }

    /// Repeats the starts in doubt at runners that answer again. A repeat may be what starts the task, so it is sent only where tasks
    /// may start.
    pub(super) fn repeat_starts(&mut self, now: Time) {
        let accepts = |runner: &Runner| runner.accepts_tasks(now);
        let due = |run: &Run| {
            let repeat_at = run.doubt.and_then(|doubt| doubt.repeat_at);
            // A start that was not carried out yet may bring the account over a cap that was lowered since.
            run.stage == Stage::Ordered
                && self.may_return(run)
                && repeat_at.is_some_and(|at| now >= at)
                && self.runners.get(run.runner).is_some_and(accepts)
        };
        let keys = self.runs.iter().filter(|(_, run)| due(run));
        let keys: Vec<run::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.runs[key].doubt = Some(Doubt { repeat_at: None });
            self.send_start(key, now);
        }
    }

    /// Gives up the runs in doubt whose starts have all expired, unless the runner lists them. Refused repeats do not put that off.
    /// `sent` is the time at which the runner was asked.
    pub(super) fn resolve_doubts(
        &mut self,
        runner: crate::runner::Key,
        listed: &[run::Key],
        sent: Time,
        now: Time,
    ) {
        let Some(runner) = self.runners.get(runner) else {
            return;
        };
        let expired = |key: &run::Key| {
            let run = &self.runs[*key];
            run.stage == Stage::Ordered && run.doubt.is_some() && run.starts.have_expired(sent)
        };
        let runs = runner.runs.iter().copied();
        let lost: Vec<run::Key> = runs
            .filter(|run| expired(run) && !listed.contains(run))
            .collect();
        for run in lost {
            self.lose(run, Loss::NotListed, now);
        }
    }
}
