//! Messages to the observer.

use crate::{
    event::Event,
    names::Table,
    status::Update,
    timeline::Filter, //
};
use sassafrascrank_base::prelude::Time;

/// Items that the main loop collected from the rings at once.
#[derive(Debug, Default)]
pub struct Batch {
    /// Tables of names; with earlier tables, they hold the names of all keys in the events.
    pub tables: Vec<Table>,
    /// Events in the order in which they are appended to the time line.
    pub events: Vec<Event>,
    /// Changed parts of the status.
    pub updates: Vec<Update>,
    /// Total number of events dropped by each thread.
    pub dropped: Vec<(&'static str, u64)>,
}

/// Requests all metrics in the Prometheus text format.
#[derive(Clone, Copy, Debug)]
pub struct Scrape;

/// Requests records of the time line.
#[derive(Clone, Debug)]
pub struct Query(pub Filter);

/// Requests the status as of a time.
#[derive(Clone, Copy, Debug)]
pub struct Inspect(pub Time);

/// Requests the phase of the process.
#[derive(Clone, Copy, Debug)]
pub struct Health;
