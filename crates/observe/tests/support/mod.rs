//! Names, request ids and records for tests.

// Each test file is a crate of its own and uses only a part of this module.
#![allow(dead_code)]

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::{
        Kind,
        request, //
    },
    timeline::{
        Process,
        Record, //
    },
};
use std::sync::Arc;

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("test names are valid")
}

pub(crate) fn process(host: &str) -> Arc<Process> {
    Arc::new(Process {
        host: name(host),
        incarnation: 7,
    })
}

/// Returns the id of request number `count` that arrived first at `suva-1`.
pub(crate) fn request(count: u64) -> request::Id {
    let origin = request::Origin::new(&name("suva-1"), 7);
    request::Id { origin, count }
}

/// Returns a record without optional fields.
pub(crate) fn record(process: &Arc<Process>, sequence: u64, millis: u64, kind: Kind) -> Record {
    Record {
        process: Arc::clone(process),
        sequence,
        time: Time::from_millis(millis),
        kind,
        outcome: None,
        reason: None,
        request: None,
        configuration: 0,
        customer: None,
        class: None,
        pool: None,
        upstream: None,
        member: None,
        detail: 0,
    }
}

/// Formats the records, one a line.
pub(crate) fn lines(records: &[Record]) -> String {
    records.iter().map(|record| format!("{record}\n")).collect()
}
