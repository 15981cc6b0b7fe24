//! What leaders can know of a runner that has started again under its name.

use super::Simulation;
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    Rules,
    order::Order, //
};
use sassafrascrank_standin::cluster::Execution;

/// Time in which a leader that has learned of a later incarnation reaches it, if one of its calls is lost.
const CONTACT_TIME: Duration = Duration::from_millis(500);
/// Time in which a leader that is told of a run stops to start other attempts of the task.
const REACTION_TIME: Duration = Duration::from_millis(50);

/// What leaders can know of an incarnation of a runner.
#[derive(Default)]
pub(super) struct Contact {
    /// When it began, if it has started under the name of an earlier one and no leader has had the time to reach it.
    unreached_since: Option<Duration>,
    /// When an earlier incarnation last answered a poll.
    answered_earlier: Option<Duration>,
    /// Entry, its incarnation and the time of each answered poll.
    answers: Vec<(usize, u64, Duration)>,
}

impl Contact {
    /// Creates that of an incarnation that begins at `now`, perhaps under the name of an earlier one.
    pub(super) fn new(renamed: bool, answered_earlier: Option<Duration>, now: Duration) -> Self {
        Self {
            unreached_since: (!renamed).then_some(now),
            answered_earlier,
            answers: Vec::new(),
        }
    }

    /// Returns when this incarnation or an earlier one last answered a poll.
    pub(super) fn answered(&self) -> Option<Duration> {
        let latest = self.answers.iter().map(|&(_, _, at)| at).max();
        latest.or(self.answered_earlier)
    }
}

/// A start that no leader can prevent.
pub(super) struct LateStart {
    task: String,
    attempt: u32,
    began: Duration,
    runner: usize,
    /// Incarnation of the runner that has carried it out.
    incarnation: u64,
    /// When that incarnation has next answered a poll.
    shown: Option<Duration>,
}

impl LateStart {
    fn is(&self, run: &Execution) -> bool {
        (&self.task, self.attempt, self.began) == (&run.task, run.attempt, run.began)
    }
}

impl Simulation {
    /// Notes that an entry sends an order. It has reached the runners whose answers it got before.
    pub(super) fn note_order(&mut self, entry: usize) {
        let (incarnation, now) = (self.entries[entry].incarnation, self.now);
        for runner in &mut self.runners {
            let contact = &mut runner.contact;
            let knows = |&(by, life, at): &(usize, u64, Duration)| {
                (by, life) == (entry, incarnation) && now > at + CONTACT_TIME
            };
            if contact.answers.iter().any(knows) {
                contact.unreached_since = None;
            }
        }
    }

    /// Notes that a runner has answered a poll of an entry.
    pub(super) fn note_answer(&mut self, runner: usize, entry: usize, incarnation: u64) {
        let now = self.now;
        let answer = (entry, incarnation, now);
        self.runners[runner].contact.answers.push(answer);
        // A later incarnation does not know what an earlier one ran.
        let present = (runner, self.runners[runner].incarnation);
        let starts = self.late_starts.iter_mut();
        for start in starts.filter(|start| (start.runner, start.incarnation) == present) {
            start.shown.get_or_insert(now);
        }
    }

    /// Notes a start that no leader can prevent: it was sent before this incarnation of the runner began, and arrives seconds
    /// late, before a leader could reach that. Until then no order tells it from one for the earlier incarnation. The earlier
    /// one had answered meanwhile, so that the leader no longer waits for the start.
    pub(super) fn note_start(&mut self, runner: usize, order: &Order, sent: Duration) {
        let contact = &self.runners[runner].contact;
        let since = contact.unreached_since;
        let has_answered = contact.answered_earlier.is_some_and(|at| sent < at);
        if let Order::Start(start) = order
            && self.now > sent + Rules::default().order_limit
            && since.is_some_and(|began| sent < began)
            && has_answered
        {
            self.late_starts.push(LateStart {
                task: start.task.to_string(),
                attempt: start.attempt,
                began: self.now,
                runner,
                incarnation: self.runners[runner].incarnation,
                shown: None,
            });
        }
    }
}

/// Tells whether no leader could prevent that the second run began: its start was late, or that of the first was, of which no
/// answer had told.
pub(super) fn is_unpreventable(
    starts: &[LateStart],
    first: &Execution,
    second: &Execution,
) -> bool {
    let unknown = |start: &LateStart| {
        let shown = start.shown;
        start.is(first) && shown.is_none_or(|at| second.began < at + REACTION_TIME)
    };
    starts
        .iter()
        .any(|start| start.is(second) || unknown(start))
}
