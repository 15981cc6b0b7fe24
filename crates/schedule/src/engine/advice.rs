//! Approval of runners by the advice service.

use super::Engine;
use crate::{
    job::StepKey,
    order::{
        Order,
        report::Approval, //
    },
    runner, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Largest number of runners in one request. The service takes time for each, so a request has only some more than are
/// needed.
const RUNNER_LIMIT: usize = 30;
/// Time after which an unanswered request is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time before its expiry from which a ticket is not used any more, since a start takes time to arrive.
const TICKET_RESERVE: Duration = Duration::from_millis(300);

impl Engine {
    /// Returns the ticket of a runner for a step, if it has one that is valid.
    pub(super) fn ticket(&self, step: StepKey, key: runner::Key, now: Time) -> Option<Arc<str>> {
        let occurrence = self.jobs.get(step.job_key)?.occurrence(step.occurrence)?;
        let advice = &occurrence.steps.get(usize::from(step.step))?.advice;
        let valid = |(runner, _, end): &&(runner::Key, Arc<str>, Time)| {
            *runner == key && now + TICKET_RESERVE < *end
        };
        let row = advice.approved.iter().find(valid);
        row.map(|(_, ticket, _)| Arc::clone(ticket))
    }

    /// Asks the advice service about runners for a step, unless a request is pending.
    pub(super) fn ask_advice(&mut self, step: StepKey, now: Time) {
        let Some(active) = self.jobs.get(step.job_key) else {
            return;
        };
        let queue = &self.queues[active.queue];
        if !queue.advised {
            return;
        }
        let Some(occurrence) = active.occurrence(step.occurrence) else {
            return;
        };
        let advice = &occurrence.steps[usize::from(step.step)].advice;
        if advice
            .asked
            .is_some_and(|asked| now < asked + ANSWER_TIMEOUT)
        {
            return;
        }
        let spec = &active.job.steps[usize::from(step.step)];
        let need = spec.reserved();
        let wanted = usize::from(spec.count) * 3;
        let runners = self.pools[queue.pool].runners.iter().copied();
        let mut open: Vec<runner::Key> = runners
            .filter(|&key| {
                let runner = &self.runners[key];
                runner.accepts_tasks(now)
                    && runner.fits(need)
                    && spec
                        .label
                        .as_ref()
                        .is_none_or(|label| runner.has_label(label))
                    && !advice.refused.contains(&key)
            })
            .collect();
        open.truncate(wanted.clamp(4, RUNNER_LIMIT));
        if open.is_empty() {
            return;
        }
        let names = open.iter().map(|&key| Arc::clone(&self.runners[key].id));
        let runners: Vec<Arc<str>> = names.collect();
        let name = super::run::task_id(active.job.id, step.task(0));
        if let Some(active) = self.jobs.get_mut(step.job_key)
            && let Some(occurrence) = active.occurrence_mut(step.occurrence)
        {
            let advice = &mut occurrence.steps[usize::from(step.step)].advice;
            advice.asked = Some(now);
            advice.refused.extend(open);
        }
        self.orders.push(Order::Advise {
            step,
            name,
            runners,
        });
    }

    /// Handles an answer of the advice service.
    pub(super) fn handle_advice(&mut self, step: StepKey, approved: Option<Approval>, now: Time) {
        let rows = approved.map(|approval| {
            let known = approval.tickets.into_iter().filter_map(|(id, ticket)| {
                let key = *self.runner_index.get(&id)?;
                Some((key, ticket, now + approval.valid))
            });
            known.collect::<Vec<_>>()
        });
        let Some(active) = self.jobs.get_mut(step.job_key) else {
            return;
        };
        let Some(occurrence) = active.occurrence_mut(step.occurrence) else {
            return;
        };
        let advice = &mut occurrence.steps[usize::from(step.step)].advice;
        match rows {
            Some(rows) => {
                advice.asked = None;
                advice.approved.retain(|(_, _, end)| now < *end);
                // Once their tickets have expired, the service is asked about approved runners again.
                advice
                    .refused
                    .retain(|key| !rows.iter().any(|(row, _, _)| row == key));
                advice.approved.extend(rows);
            }
            // Without an answer, the runners of the request are neither approved nor refused.
            None => advice.refused.clear(),
        }
    }

    /// Discards the tickets of a step after a runner rejected one.
    pub(super) fn drop_tickets(&mut self, step: StepKey) {
        if let Some(active) = self.jobs.get_mut(step.job_key)
            && let Some(occurrence) = active.occurrence_mut(step.occurrence)
        {
            occurrence.steps[usize::from(step.step)].advice = Default::default();
        }
    }
}
