//! Slowing down tasks that fill, for the sake of tasks that serve beside them.

use super::Engine;
use crate::{
    note::Kind,
    order::{
        Order,
        Pace,
        report::Answer, //
    },
    runner,
    work::run::{
        self,
        Stage, //
    },
};
use sassafrascrank_base::prelude::*;

/// Time between two changes; a runner's figures cover the last half second.
const INTERVAL: Duration = Duration::from_millis(700);
/// Percentage of the target above which the tasks that fill are slowed down.
const HIGH: u64 = 85;
/// Percentage of the target below which they are sped up.
const LOW: u64 = 55;
/// Share of a first slowdown in percent; the second one stops the work.
const SLOW: u8 = 30;
/// Increase of the share in percent.
const RAISE: u8 = 25;
/// The whole share in percent.
const WHOLE: u8 = 100;

impl Engine {
    /// Adapts the share of the tasks that fill to the response times of the tasks that serve beside them.
    pub(super) fn pace(&mut self, now: Time) {
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            if !self.runners[key].runs.is_empty()
                && self.fills(key)
                && let Some(strain) = self.strain(key)
            {
                self.pace_runner(key, strain, now);
            }
        }
    }

    /// Returns the worst response time at a runner in percent of its target.
    fn strain(&self, key: runner::Key) -> Option<u64> {
        let runs = self.runners[key].runs.iter().map(|&run| &self.runs[run]);
        let strain = |run: &crate::work::Run| {
            let target = self.shape(run.task)?.target?.as_millis() as u64;
            (run.stage == Stage::Running && target > 0).then(|| run.load * 100 / target)
        };
        runs.filter_map(strain).max()
    }

    fn pace_runner(&mut self, key: runner::Key, strain: u64, now: Time) {
        for run in self.runners[key].runs.clone() {
            let known = &self.runs[run];
            let fills = self
                .shape(known.task)
                .is_some_and(|step| step.uses_spare_cpu);
            if !fills || known.stage != Stage::Running || now < known.paced + INTERVAL {
                continue;
            }
            let share = share(known.pace, strain);
            if share != known.pace {
                self.order_pace(run, share, now);
            }
        }
    }

    fn order_pace(&mut self, key: run::Key, percent: u8, now: Time) {
        let run = &mut self.runs[key];
        run.paced = now;
        let (place, task, attempt) = (run.runner, run.name, run.attempt);
        let copy = run.clone();
        if let Some(target) = self.target(place) {
            let reason = if percent < copy.pace {
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
    pub(super) fn take_pace(&mut self, key: run::Key, percent: u8, answer: &Answer<()>) {
        if answer.result.is_ok()
            && let Some(run) = self.runs.get_mut(key)
        {
            run.pace = percent;
        }
    }
}

/// Returns the next share of a task that fills.
fn share(share: u8, strain: u64) -> u8 {
    if strain > HIGH {
        return if share > SLOW { SLOW } else { 0 };
    }
    if strain < LOW {
        return share.saturating_add(RAISE).min(WHOLE);
    }
    share
}
