//! Grouping of notes.

use crate::harness::START_TIME;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    id::{
        Position,
        Task, //
    },
};
use sassafrascrank_schedule::{
    Note,
    note::{
        self,
        Kind, //
    },
};
use std::fmt::Write;

fn note(kind: Kind, reason: &'static str, job: u64, index: u16) -> Note {
    let position = Position {
        occurrence: 0,
        step: 1,
        index,
    };
    let job = Id(job);
    Note::new(kind, reason, START_TIME)
        .with_task(Task { job, position }, 1)
        .with_place(&format!("r{}", index % 3).into())
        .with_age(Duration::from_millis(u64::from(index)))
}

/// Guards against a log line for each task, runner or host, most of which the log would drop under load, and against log
/// lines of unbounded length.
#[test]
fn notes_that_are_alike_share_a_line() {
    let mut notes: Vec<Note> = (0..30)
        .map(|index| note(Kind::Started, "answered", 1, index))
        .collect();
    notes.push(Note::new(Kind::RunnerLost, "unknown", START_TIME).with_place(&"r9".into()));
    notes.extend((0..2).map(|index| note(Kind::Started, "answered", 2, index)));
    notes.push(note(Kind::Ended, "done", 1, 0));
    notes.push(note(Kind::Ended, "failed", 1, 1));
    notes.push(Note::new(Kind::RunnerLost, "unknown", START_TIME).with_place(&"r8".into()));
    let mut table = String::new();
    for group in note::group(notes) {
        let job = group.job.map_or(0, |job| job.0);
        let kind = group.kind.as_str();
        let count = group.count();
        let (reason, age, places) = (group.reason, group.age, group.places);
        writeln!(
            table,
            "{kind} {reason} job {job}: {count}, age {age:?}, places {places:?}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
