//! Groups of notes that differ only in the task, the runner or the host, so that they share a log line.

use super::{
    Kind,
    Miss,
    Note, //
};
use crate::contention::Change;
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_job::{
    Id,
    id::Task, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Largest number of tasks, runners or hosts in one group, which bounds the length of its log line.
const SUBJECT_LIMIT: usize = 24;

/// An attempt of a task at a runner.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// The runner.
    pub place: Option<Arc<str>>,
}

/// Groups of notes that differ only in the task, the runner or the host, so that they share a log line.
#[derive(Clone, Debug)]
pub struct Group {
    /// Kind of the decision or event.
    pub kind: Kind,
    /// Time of the first note.
    pub at: Time,
    /// Reason of the decision, or result of the event.
    pub reason: &'static str,
    /// Job that it is about.
    pub job: Option<Id>,
    /// Tasks that it is about.
    pub subjects: Vec<Subject>,
    /// Runners or hosts that it is about, unless it is about tasks.
    pub places: Vec<Arc<str>>,
    /// Largest age of the notes.
    pub age: Duration,
    /// First failed call; those of the others differ in the detail only.
    pub miss: Option<Miss>,
    /// Pair of images that it is about.
    pub contention: Option<Change>,
}

impl Group {
    /// Returns the number of notes.
    pub fn count(&self) -> u64 {
        self.subjects.len().max(self.places.len()).max(1) as u64
    }
}

impl From<Note> for Group {
    fn from(note: Note) -> Self {
        let Note {
            kind,
            at,
            job,
            task,
            attempt,
            place,
            reason,
            age,
            miss,
            contention,
        } = note;
        let subject = task.map(|task| Subject {
            task,
            attempt,
            place: place.clone(),
        });
        Self {
            kind,
            at,
            reason,
            job,
            places: place.into_iter().filter(|_| subject.is_none()).collect(),
            subjects: subject.into_iter().collect(),
            age,
            miss,
            contention,
        }
    }
}

/// What is the same in all notes of a group.
#[derive(Eq, Hash, PartialEq)]
struct Shared {
    kind: Kind,
    reason: &'static str,
    job: Option<Id>,
    /// Kind of the failed order, what has failed, and whether the runner had answered before.
    miss: Option<(&'static str, Option<Cause>, bool)>,
}

impl From<&Note> for Shared {
    fn from(note: &Note) -> Self {
        let miss = note.miss.as_ref().map(|miss| {
            let cause = miss.fault.as_ref().map(|fault| fault.cause);
            (miss.call, cause, miss.answered)
        });
        Self {
            kind: note.kind,
            reason: note.reason,
            job: note.job,
            miss,
        }
    }
}

/// Groups notes by kind, reason, job and cause. Groups come in the order of their first notes.
pub fn group(notes: Vec<Note>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    let mut index: HashMap<Shared, usize> = HashMap::new();
    for note in notes {
        let key = Shared::from(&note);
        let grouped = note.task.is_some() || note.place.is_some();
        let next = Group::from(note);
        let known = index.get(&key).filter(|_| grouped);
        let known = known.and_then(|&place| groups.get_mut(place));
        if let Some(group) = known.filter(|group| (group.count() as usize) < SUBJECT_LIMIT) {
            group.age = group.age.max(next.age);
            group.subjects.extend(next.subjects);
            group.places.extend(next.places);
            continue;
        }
        if grouped {
            index.insert(key, groups.len());
        }
        groups.push(next);
    }
    groups
}
