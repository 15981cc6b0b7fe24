//! What the log has to hold, and what may happen once it does.

use super::{
    Engine,
    engine::Effect, //
};
use crate::work::{
    Occurrence,
    Work, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Progress, Record,
    id::Position,
    progress::{
        self,
        Assignment, //
    },
    record,
};
use std::sync::Arc;

impl Engine {
    /// Tells whether the log lacks anything.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
            || !self.effects.is_empty()
            || !self.fleet.unstored.is_empty()
            || !self.fleet.unnamed.is_empty()
            || self.fleet.demand.unstored
    }

    /// Returns the records that the log lacks, unless earlier ones are on their way. Call [`records_stored`](Self::records_stored)
    /// once the log holds them.
    pub fn take_records(&mut self) -> Option<Vec<Record>> {
        if self.storing.is_some() || !self.is_dirty() {
            return None;
        }
        let mut records = Vec::new();
        for key in core::mem::take(&mut self.dirty) {
            if let Some(work) = self.works.get_mut(key) {
                work.dirty = false;
                let ended = work.outcome.is_some();
                records.push(Record::Progress(Arc::new(self.progress(&self.works[key]))));
                if ended {
                    self.drop_when_stored(key);
                }
            }
        }
        for (number, host) in core::mem::take(&mut self.fleet.unstored) {
            records.push(Record::Wave(record::Wave {
                number,
                epoch: self.epoch,
                done: host.is_none(),
                begun: host.into_iter().collect(),
            }));
        }
        for key in core::mem::take(&mut self.fleet.unnamed) {
            if let Some(host) = self.fleet.hosts.get(key) {
                records.push(Record::Ordered(record::Ordered {
                    epoch: self.epoch,
                    host: Arc::clone(&host.listed.name),
                    at: host.ordered,
                }));
            }
        }
        if core::mem::take(&mut self.fleet.demand.unstored) {
            records.push(Record::Turns(self.turns()));
        }
        self.storing = Some(core::mem::take(&mut self.effects));
        Some(records)
    }

    /// Notes that the log holds the records that were last taken.
    pub fn records_stored(&mut self, now: Time) {
        for effect in self.storing.take().unwrap_or_default() {
            match effect {
                Effect::Start(run) => self.startable.push(run),
                Effect::Acknowledge(runner, number) => {
                    if let Some(runner) = self.runners.get_mut(runner) {
                        runner.durable = runner.durable.max(number);
                        runner.look_at = runner.look_at.min(now);
                    }
                }
                Effect::Drop(work) => self.drop_ended(work),
                Effect::Order(host) => self.orderable.push(host),
            }
        }
    }

    /// Orders the starts that the log holds.
    pub(super) fn start_stored(&mut self, now: Time) {
        for run in core::mem::take(&mut self.startable) {
            self.order_start(run, now);
        }
    }

    /// Orders the hosts that the log names as ordered.
    pub(super) fn order_stored(&mut self, now: Time) {
        let mut hosts = core::mem::take(&mut self.orderable);
        // A host that was named again while the log was away has one order.
        hosts.sort_unstable();
        hosts.dedup();
        for host in hosts {
            if self.fleet.hosts.contains_key(host) {
                self.order_host(host, now);
            }
        }
    }

    /// Returns the durable state of a job.
    fn progress(&self, work: &Work) -> Progress {
        let tasks = work.occurrences.iter();
        let tasks = tasks.filter(|found| found.number >= work.finished || work.outcome.is_some());
        Progress {
            id: work.job.id,
            epoch: self.epoch,
            outcome: work.outcome,
            begun: work.begun,
            finished: work.finished,
            tasks: tasks.flat_map(|found| self.tasks(work, found)).collect(),
        }
    }

    /// Returns the tasks of an occurrence that the log has to hold.
    fn tasks<'a>(
        &'a self,
        work: &'a Work,
        found: &'a Occurrence,
    ) -> impl Iterator<Item = progress::Task> + use<'a> {
        let ended = work.outcome.is_some();
        let steps = work.job.steps.iter().zip(&found.steps).enumerate();
        steps.flat_map(move |(step, (shape, state))| {
            (0..shape.count).filter_map(move |index| {
                let task = &found.tasks[state.first + usize::from(index)];
                if task.is_initial() || (ended && task.runs.is_empty()) {
                    return None;
                }
                Some(progress::Task {
                    position: Position {
                        occurrence: found.number,
                        step: step as u16,
                        index,
                    },
                    done: task.state == crate::work::State::Done,
                    failures: task.failures,
                    attempt: task.attempt,
                    assignments: self.assignments(task),
                    checkpoint: task.checkpoint.clone(),
                })
            })
        })
    }

    fn assignments(&self, task: &crate::work::Task) -> Vec<Assignment> {
        let runs = task.runs.iter().filter_map(|&run| self.runs.get(run));
        let place = |run: &crate::work::Run| {
            let runner = self.runners.get(run.runner)?;
            Some(Assignment {
                runner: Arc::clone(&runner.id),
                born: runner.born,
                host: Arc::clone(&runner.host),
                attempt: run.attempt,
            })
        };
        runs.filter_map(place).collect()
    }
}
