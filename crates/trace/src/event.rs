//! One thing that happened, with the inputs that decided it.

use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Fields of one event.
const FIELD_LIMIT: usize = 7;

/// Value of a field.
#[derive(Clone, Debug)]
pub enum Value {
    /// A fixed word.
    Code(&'static str),
    /// A name or a message.
    Text(Arc<str>),
    /// An identity, written as 16 hexadecimal digits.
    Id(u64),
    /// A number.
    Count(u64),
    /// A duration, written in milliseconds.
    Duration(Duration),
}

/// One thing that happened, with the inputs that decided it.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Time,
    /// What happened.
    pub name: &'static str,
    /// It is only counted.
    pub metrics_only: bool,
    /// Its line is among the first to be left out under load.
    pub low_priority: bool,
    /// How often it has happened.
    pub count: u64,
    fields: [Option<(&'static str, Value)>; FIELD_LIMIT],
}

impl Event {
    /// Makes an event without fields.
    pub fn new(name: &'static str, at: Time) -> Self {
        Self {
            at,
            name,
            metrics_only: false,
            low_priority: false,
            count: 1,
            fields: Default::default(),
        }
    }

    /// Adds a field; one more than fits is left out.
    pub fn with(mut self, key: &'static str, value: Value) -> Self {
        if let Some(free) = self.fields.iter_mut().find(|field| field.is_none()) {
            *free = Some((key, value));
        }
        self
    }

    /// Makes it an event that is only counted.
    pub fn metrics_only(mut self) -> Self {
        self.metrics_only = true;
        self
    }

    /// Makes it an event whose line is among the first to be left out under load.
    pub fn low_priority(mut self) -> Self {
        self.low_priority = true;
        self
    }

    /// Sets how often it has happened.
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

    /// Returns the first fixed word among the fields.
    pub fn code(&self) -> Option<&'static str> {
        self.fields
            .iter()
            .flatten()
            .find_map(|(_, value)| match value {
                Value::Code(code) => Some(*code),
                _ => None,
            })
    }

    /// Returns the event as a line of JSON, with the name of its process.
    pub fn to_json(&self, process: &str) -> String {
        let mut line = String::with_capacity(160);
        // Writing into a string does not fail.
        let _ = write!(
            line,
            "{{\"ms\":{},\"process\":{},\"event\":\"{}\"",
            self.at.as_millis(),
            quote(process),
            self.name
        );
        for (key, value) in self.fields.iter().flatten() {
            let _ = write!(line, ",\"{key}\":");
            let _ = match value {
                Value::Code(code) => write!(line, "\"{code}\""),
                Value::Text(text) => write!(line, "{}", quote(text)),
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

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
