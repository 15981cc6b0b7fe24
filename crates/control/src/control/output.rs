//! Messages from the control thread to the other threads.

use crate::{
    drive::Executor,
    front,
    store, //
};
use sassafrascrank_schedule::{
    Note,
    Order,
    note::{
        self,
        Group,
        Kind,
        Subject, //
    },
    order::Envelope, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};

/// Messages from the control thread to the other threads.
#[derive(Debug, Default)]
pub struct Output {
    /// To the front thread.
    pub notices: Vec<front::Notice>,
    /// To the store thread.
    pub requests: Vec<store::Request>,
    /// To the drive thread: the entries to which it gives orders to runners, if they have changed.
    pub executors: Option<Vec<Executor>>,
    /// To the drive thread.
    pub orders: Vec<Envelope<Order>>,
    /// To the thread that writes logs and metrics.
    pub events: Vec<Event>,
}

/// Returns the log events for the scheduler's notes. Those on jobs are frequent, so their lines are among the first to
/// be left out under load.
pub(super) fn events(notes: Vec<Note>) -> impl Iterator<Item = Event> {
    note::group(notes).into_iter().map(event)
}

fn event(group: Group) -> Event {
    let mut event = Event::new(group.kind.as_str(), group.at)
        .with("reason", Value::Code(group.reason))
        .with_count(group.count());
    // A runner that has never answered has no last answer whose age could be told.
    let never = group.miss.as_ref().is_some_and(|miss| !miss.answered);
    event = match never {
        true => event.with("age", Value::Code("never")),
        false => event.with("age", Value::Duration(group.age)),
    };
    if let Some(miss) = &group.miss {
        event = event.with("call", Value::Code(miss.call));
    }
    if let Some(fault) = group.miss.and_then(|miss| miss.fault) {
        event = event.with("cause", Value::Code(fault.cause.as_str()));
        if !fault.detail.is_empty() {
            event = event.with("detail", Value::Text(fault.detail));
        }
    }
    if let Some(job) = group.job {
        event = event.with("job", Value::Id(job.0)).low_priority();
    }
    if let Some(change) = group.contention {
        event = event
            .with("affected", Value::Text(change.affected))
            .with("beside", Value::Text(change.beside))
            .with("percent", Value::Count(change.percent));
    }
    if !group.subjects.is_empty() {
        let tasks: Vec<String> = group.subjects.iter().map(subject).collect();
        event = event.with("tasks", Value::Text(tasks.join(" ").into()));
    }
    if !group.places.is_empty() {
        event = event.with("place", Value::Text(group.places.join(" ").into()));
    }
    // A placement is followed by a start, which has a line of its own with the time since the placement.
    match group.kind {
        Kind::Placed => event.metrics_only(),
        _ => event,
    }
}

/// Formats the attempt of a task as `occurrence.step.index#attempt@runner`.
fn subject(subject: &Subject) -> String {
    let position = subject.task.position;
    format!(
        "{}.{}.{}#{}@{}",
        position.occurrence,
        position.step,
        position.index,
        subject.attempt,
        subject.place.as_deref().unwrap_or_default()
    )
}
