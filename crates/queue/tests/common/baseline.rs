//! Baseline queueing disciplines: one FIFO, strict priority by class, and a static partition.

use super::{
    Discipline,
    load::{
        Job,
        Stream, //
    },
};
use sassafrascrank_base::prelude::*;
use std::collections::VecDeque;

/// FIFO queues in order of priority, each with a maximum number of slots.
pub(crate) struct Baseline {
    /// Job and latest start of each waiting request.
    lanes: Vec<VecDeque<(usize, Time)>>,
    lane_of: fn(&Job) -> usize,
    limits: Vec<usize>,
    running: Vec<usize>,
    /// Lane of each job.
    lane_by_job: Vec<usize>,
    expired: Vec<usize>,
}

impl Baseline {
    pub(crate) fn fifo() -> Self {
        Self::new(|_| 0, vec![usize::MAX])
    }

    pub(crate) fn priority() -> Self {
        Self::new(|job| usize::from(job.class), vec![usize::MAX; 3])
    }

    /// Creates a partition in which each stream has the slots of its share for itself.
    pub(crate) fn partition(slots: usize, streams: &[Stream]) -> Self {
        let whole: f64 = streams.iter().map(|stream| stream.share).sum();
        let part = |stream: &Stream| (slots as f64 * stream.share / whole) as usize;
        Self::new(|job| job.stream, streams.iter().map(part).collect())
    }

    fn new(lane_of: fn(&Job) -> usize, limits: Vec<usize>) -> Self {
        Self {
            lanes: vec![VecDeque::new(); limits.len()],
            lane_of,
            running: vec![0; limits.len()],
            limits,
            lane_by_job: Vec::new(),
            expired: Vec::new(),
        }
    }
}

impl Discipline for Baseline {
    fn push(&mut self, _now: Time, id: usize, job: &Job) -> bool {
        self.lane_by_job
            .resize(self.lane_by_job.len().max(id + 1), 0);
        self.lane_by_job[id] = (self.lane_of)(job);
        self.lanes[self.lane_by_job[id]].push_back((id, job.deadline - job.cost));
        true
    }

    fn pop(&mut self, now: Time) -> Option<usize> {
        for (lane, queue) in self.lanes.iter_mut().enumerate() {
            while queue.front().is_some_and(|(_, expiry)| *expiry <= now) {
                self.expired.extend(queue.pop_front().map(|(id, _)| id));
            }
            if self.running[lane] < self.limits[lane]
                && let Some((id, _)) = queue.pop_front()
            {
                self.running[lane] += 1;
                return Some(id);
            }
        }
        None
    }

    fn finish(&mut self, _now: Time, id: usize, _actual: Duration) {
        self.running[self.lane_by_job[id]] -= 1;
    }

    fn expire(&mut self, _now: Time, expired: &mut Vec<usize>) {
        expired.append(&mut self.expired);
    }

    fn next_expiry(&self) -> Option<Time> {
        (!self.expired.is_empty()).then_some(Time::MIN)
    }

    fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }
}
