//! Events to log and count.

use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Largest number of fields of an event.
const FIELD_LIMIT: usize = 7;

/// Value of an event field.
#[derive(Clone, Debug)]
pub enum Value {
    /// A machine-readable code from a fixed set, such as a reason.
    Code(&'static str),
    /// Free text, such as a name or a message.
    Text(Arc<str>),
    /// A 64-bit identifier, written as 16 hexadecimal digits.
    Id(u64),
    /// An integer, such as a count or a version.
    Count(u64),
    /// A duration, written in milliseconds with one decimal.
    Duration(Duration),
}

/// A decision or state change of the process, with the inputs that led to it.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it happened.
    pub at: Time,
    /// Name of the event, written to the log line and used as a metric label.
    pub name: &'static str,
    /// Whether the event appears in metrics only and gets no log line.
    pub metrics_only: bool,
    /// Whether its log line is among the first to be suppressed under load.
    pub low_priority: bool,
    /// Whether its counts are levels, which metrics show as gauges.
    pub is_level: bool,
    /// Number of occurrences that this event stands for.
    pub count: u64,
    fields: [Option<(&'static str, Value)>; FIELD_LIMIT],
}

impl Event {
    /// Creates an event with one occurrence and no fields.
    pub fn new(name: &'static str, at: Time) -> Self {
        Self {
            at,
            name,
            metrics_only: false,
            low_priority: false,
            is_level: false,
            count: 1,
            fields: Default::default(),
        }
    }

    /// Adds a field. Ignores it if the event already has `FIELD_LIMIT` fields.
    pub fn with(mut self, key: &'static str, value: Value) -> Self {
        if let Some(empty) = self.fields.iter_mut().find(|field| field.is_none()) {
            *empty = Some((key, value));
        }
        self
    }

    /// Excludes the event from the log, so that it appears in metrics only.
    pub fn metrics_only(mut self) -> Self {
        self.metrics_only = true;
        self
    }

    /// Marks the log line as one of the first to be suppressed under load.
    pub fn low_priority(mut self) -> Self {
        self.low_priority = true;
        self
    }

    /// Marks the counts among the fields as levels, which metrics show as gauges.
    pub fn level(mut self) -> Self {
        self.is_level = true;
        self
    }

    /// Returns the counts among the fields, with their keys.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.fields
            .iter()
            .flatten()
            .filter_map(|(key, value)| match value {
                Value::Count(count) => Some((*key, *count)),
                _ => None,
            })
    }

    /// Sets the number of occurrences that this event stands for.
    pub fn with_count(mut self, count: u64) -> Self {
        self.count = count;
        self
    }

    /// Returns the first duration among the fields.
    pub fn duration(&self) -> Option<Duration> {
        self.fields
            .iter()
            .flatten()
            .find_map(|(_, value)| match value {
                Value::Duration(duration) => Some(*duration),
                _ => None,
            })
    }

    /// Returns the first code among the fields.
    pub fn code(&self) -> Option<&'static str> {
        self.fields
            .iter()
            .flatten()
            .find_map(|(_, value)| match value {
                Value::Code(code) => Some(*code),
                _ => None,
            })
    }

    /// Formats the event as one JSON object on one line, with the name of its process.
    pub fn to_json(&self, process: &str) -> String {
        let mut line = String::with_capacity(160);
        // Writing into a string does not fail.
        let _ = write!(
            line,
            "{{\"ms\":{},\"process\":{},\"event\":\"{}\"",
            self.at.as_millis(),
            json_string(process),
            self.name
        );
        for (key, value) in self.fields.iter().flatten() {
            let _ = write!(line, ",\"{key}\":");
            let _ = match value {
                Value::Code(code) => write!(line, "\"{code}\""),
                Value::Text(text) => write!(line, "{}", json_string(text)),
                Value::Id(id) => write!(line, "\"{id:016x}\""),
                Value::Count(count) => write!(line, "{count}"),
                Value::Duration(duration) => {
                    write!(line, "{:.1}", duration.as_secs_f64() * 1_000.0)
                }
            };
        }
        line.push('}');
        line
    }
}

/// Returns the text as a quoted and escaped JSON string.
fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
