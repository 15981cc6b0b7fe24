//! Notes of a short time that say the same about several tasks of a job.

use super::{
    Kind,
    Note, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    id::Task, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Tasks of one group, which bounds the length of its line.
const TASK_LIMIT: usize = 24;

/// A task with its attempt and its runner.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// The runner.
    pub place: Option<Arc<str>>,
}

/// Notes of a short time that say the same about several tasks of a job.
#[derive(Clone, Debug)]
pub struct Group {
    /// What was decided or learned.
    pub kind: Kind,
    /// When, for the first task.
    pub at: Time,
    /// Why, or how it ended.
    pub reason: &'static str,
    /// Job that it concerns.
    pub job: Option<Id>,
    /// Tasks that it concerns.
    pub subjects: Vec<Subject>,
    /// Runner or host that it concerns, if it concerns no task.
    pub place: Option<Arc<str>>,
    /// Longest age of the inputs that decided it, or how long it took at most.
    pub age: Duration,
}

impl Group {
    /// Returns the number of notes.
    pub fn count(&self) -> u64 {
        self.subjects.len().max(1) as u64
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
            place: place.filter(|_| subject.is_none()),
            subjects: subject.into_iter().collect(),
            age,
        }
    }
}

/// Groups notes, in the order of the first of each group.
pub fn group(notes: Vec<Note>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    let mut index: HashMap<(Kind, &'static str, Option<Id>), usize> = HashMap::new();
    for note in notes {
        let key = (note.kind, note.reason, note.job);
        let grouped = note.task.is_some();
        let next = Group::from(note);
        let known = index.get(&key).filter(|_| grouped);
        let known = known.and_then(|&place| groups.get_mut(place));
        if let Some(group) = known.filter(|group| group.subjects.len() < TASK_LIMIT) {
            group.age = group.age.max(next.age);
            group.subjects.extend(next.subjects);
            continue;
        }
        if grouped {
            index.insert(key, groups.len());
        }
        groups.push(next);
    }
    groups
}
