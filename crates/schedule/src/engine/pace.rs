//! Slowing down tasks that fill, for the sake of tasks that serve beside them.

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

/// Time between two changes; a runner's figures cover the last half second.
const INTERVAL: Duration = Duration::from_millis(700);
/// Percentage of the target above which the tasks that fill are slowed down.
const HIGH_PERCENT: u64 = 85;
/// Percentage of the target below which they are sped up.
const LOW_PERCENT: u64 = 55;
/// Share of a first slowdown in percent; the second one stops the work.
const SLOW_SHARE_PERCENT: u8 = 30;
/// Increase of the share in percent.
const RAISE_PERCENT: u8 = 25;
/// The whole share in percent.
const FULL_SHARE_PERCENT: u8 = 100;

impl Engine {
    /// Adapts the share of the tasks that fill to the response times of the tasks that serve beside them.
    pub(super) fn pace(&mut self, now: Time) {
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            if !self.runners[key].runs.is_empty()
                && self.has_background_run(key)
                && let Some(latency_percent) = self.worst_latency_percent(key)
            {
                self.pace_runner(key, latency_percent, now);
            }
        }
    }

    /// Returns the worst response time at a runner in percent of its target.
    fn worst_latency_percent(&self, key: runner::Key) -> Option<u64> {
        let runs = self.runners[key].runs.iter().map(|&run| &self.runs[run]);
        let latency_percent = |run: &crate::job::Run| {
            let target = self.step_spec(run.task)?.target?.as_millis() as u64;
            (run.stage == Stage::Running && target > 0).then(|| run.load * 100 / target)
        };
        runs.filter_map(latency_percent).max()
    }

    fn pace_runner(&mut self, key: runner::Key, latency_percent: u64, now: Time) {
        for run in self.runners[key].runs.clone() {
            let known = &self.runs[run];
            let fills = self.step_spec(known.task).is_some_and(|step| step.fills);
            if !fills || known.stage != Stage::Running || now < known.pace_ordered_at + INTERVAL {
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

    /// Takes the answer to a change of pace. A share that may not have been set is ordered again.
    pub(super) fn handle_pace(&mut self, key: run::Key, percent: u8, answer: &Answer<()>) {
        if answer.result.is_ok()
            && let Some(run) = self.runs.get_mut(key)
        {
            run.pace_percent = percent;
        }
    }
}

/// Returns the next share of a task that fills.
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
