//! Slows down background tasks for the sake of serving tasks on the same runner.

use super::Engine;
use crate::{
    job::run::{
        self,
        Stage, //
    },
    note::Kind,
    order::{
        Order,
        Pace,
        report::Answer, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;

/// Time between two changes of a share. Runners report latencies over the last half second, so an earlier change would
/// not see the effect of the last one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Tail latency in percent of the target above which background tasks are slowed down.
const HIGH_PERCENT: u64 = 85;
/// Tail latency in percent of the target below which they are sped up.
const LOW_PERCENT: u64 = 55;
/// Share in percent after a first slowdown; a second one stops the task's work.
const SLOW_SHARE_PERCENT: u8 = 30;
/// Increase of the share by one step, in percent.
const RAISE_PERCENT: u8 = 25;
/// Share of a task at full speed, in percent.
const FULL_SHARE_PERCENT: u8 = 100;

impl Engine {
    /// Adjusts the shares of background tasks to the latencies of the serving tasks on the same runner.
    pub(super) fn pace(&mut self, now: Time) {
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            if self.runners[key].background > 0
                && let Some(latency_percent) = self.worst_latency_percent(key)
            {
                self.pace_runner(key, latency_percent, now);
            }
        }
    }

    /// Returns the highest tail latency on a runner in percent of its target, or `None` if no serving task runs there.
    fn worst_latency_percent(&self, key: runner::Key) -> Option<u64> {
        let runs = self.runners[key].runs.iter().map(|&run| &self.runs[run]);
        let latency_percent = |run: &crate::job::Run| {
            let target = self.step_spec(run.task)?.target?.as_millis() as u64;
            (run.stage == Stage::Running && target > 0)
                .then(|| run.load.saturating_mul(100) / target)
        };
        runs.filter_map(latency_percent).max()
    }

    fn pace_runner(&mut self, key: runner::Key, latency_percent: u64, now: Time) {
        for run in self.runners[key].runs.clone() {
            let known = &self.runs[run];
            let uses_spare_cpu = self
                .step_spec(known.task)
                .is_some_and(|step| step.uses_spare_cpu);
            if !uses_spare_cpu
                || known.stage != Stage::Running
                || now < known.pace_ordered_at + CHANGE_INTERVAL
            {
                continue;
            }
            let share = next_share(known.pace_percent, latency_percent);
            if share != known.pace_percent {
                self.order_pace(run, share, now);
            }
        }
    }

    fn order_pace(&mut self, key: run::Key, percent: u8, now: Time) {
        let run = &mut self.runs[key];
        run.pace_ordered_at = now;
        let (runner_key, task, attempt) = (run.runner, run.task_id, run.attempt);
        let copy = run.clone();
        if let Some(target) = self.target(runner_key) {
            let reason = if percent < copy.pace_percent {
                "slower"
            } else {
                "faster"
            };
            self.note_run(Kind::Paced, reason, &copy, now);
            self.orders.push(Order::Pace(Pace {
                target,
                run: key,
                task,
                attempt,
                percent,
            }));
        }
    }

    /// Handles the answer to a change of a share. A share that may not have been set is ordered again.
    pub(super) fn handle_pace(
        &mut self,
        key: run::Key,
        percent: u8,
        answer: &Answer<()>,
        now: Time,
    ) {
        if answer.result.is_ok()
            && let Some(run) = self.runs.get_mut(key)
        {
            run.influence.change_share(run.pace_percent, percent, now);
            run.pace_percent = percent;
        }
    }
}

/// Returns the next share of a background task, in percent.
fn next_share(share: u8, latency_percent: u64) -> u8 {
    if latency_percent > HIGH_PERCENT {
        return if share > SLOW_SHARE_PERCENT {
            SLOW_SHARE_PERCENT
        } else {
            0
        };
    }
    if latency_percent < LOW_PERCENT {
        return share.saturating_add(RAISE_PERCENT).min(FULL_SHARE_PERCENT);
    }
    share
}
