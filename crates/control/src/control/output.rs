//! What the thread sends to others.

use crate::{
    front,
    store, //
};
use sassafrascrank_schedule::Order;
use sassafrascrank_trace::{
    Event,
    Value, //
};

/// What the thread sends to others.
#[derive(Debug, Default)]
pub struct Output {
    /// For callers.
    pub notices: Vec<front::Notice>,
    /// For the log.
    pub requests: Vec<store::Request>,
    /// For runners and hosts.
    pub orders: Vec<Order>,
    /// For logs and metrics.
    pub events: Vec<Event>,
}

/// Returns the event of a note.
pub(super) fn event(note: sassafrascrank_schedule::Note) -> Event {
    let mut event = Event::new(note.kind.as_str(), note.at)
        .with("reason", Value::Word(note.reason))
        .with("age", Value::Span(note.age));
    if let Some(job) = note.job {
        event = event.with("job", Value::Id(job.0));
    }
    if let Some(task) = note.task {
        let position = task.position;
        let text = format!(
            "{}.{}.{}#{}",
            position.occurrence, position.step, position.index, note.attempt
        );
        event = event.with("task", Value::Text(text.into()));
    }
    if let Some(place) = note.place {
        event = event.with("place", Value::Text(place));
    }
    event
}
