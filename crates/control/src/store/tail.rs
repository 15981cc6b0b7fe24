//! Following of one topic.

use super::{
    Event,
    outlet::Outlet, //
};
use crate::{
    clock::Clock,
    port::{
        Item,
        Log,
        OperatorRecord,
        Page,
        ReadError,
        Topic, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;
use sassafrascrank_schedule::runner;
use std::{
    cell::Cell,
    rc::Rc, //
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How one topic is followed; the task that follows it reads the values before each read.
pub(super) struct Control {
    /// The topic is followed.
    pub(super) enabled: Cell<bool>,
    /// Shortest time between the beginnings of two reads.
    pub(super) pace: Cell<Duration>,
    /// How long a read waits for a record.
    pub(super) wait: Cell<Duration>,
    /// Ends a pause.
    pub(super) wake: Notify,
}

impl Control {
    pub(super) fn new(enabled: bool, pace: Duration, wait: Duration) -> Rc<Self> {
        Rc::new(Self {
            enabled: Cell::new(enabled),
            pace: Cell::new(pace),
            wait: Cell::new(wait),
            wake: Notify::new(),
        })
    }
}

/// Follows a topic until the thread ends.
pub(super) async fn follow<L: Log>(
    mut log: L,
    topic: Topic,
    control: Rc<Control>,
    clock: Clock,
    outlet: Outlet,
) {
    let mut next = None;
    loop {
        if !control.enabled.get() {
            next = None;
            control.wake.notified().await;
            continue;
        }
        let started = clock.now();
        let result = match next {
            None => log.newest(topic).await,
            Some(from) => log.read(topic, from, control.wait.get()).await,
        };
        match result {
            Ok(page) => {
                let complete = next.is_none();
                next = Some(page.next);
                let last = page.is_last();
                pass_on::<L>(topic, page, started, complete, &outlet).await;
                if !last {
                    continue;
                }
                let spent = clock.now().since(started);
                let pause = control.pace.get().saturating_sub(spent);
                if !pause.is_zero() {
                    // A refresh ends the pause early.
                    let _ = timeout(pause, control.wake.notified()).await;
                }
            }
            Err(ReadError::Expired) => next = None,
            Err(ReadError::Unavailable(_)) => {
                // Of operators and runners only the newest records count, which are fewer than those that were missed.
                if topic != Topic::Jobs {
                    next = None;
                }
                outlet.send(Event::ReadFailed { topic }).await;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Decodes and passes on what was read. A record that can't be decoded is skipped.
async fn pass_on<L: Log>(topic: Topic, page: Page, started: Time, complete: bool, outlet: &Outlet) {
    let mut skipped = Vec::new();
    let last = page.is_last();
    let event = match topic {
        Topic::Jobs => {
            let mut records = Vec::with_capacity(page.items.len());
            for item in &page.items {
                match record::decode(&item.key, &item.value) {
                    Ok(record) => records.push((item.offset, record)),
                    Err(error) => skipped.push(error.to_string()),
                }
            }
            Event::Jobs {
                records,
                started,
                complete,
                last,
            }
        }
        Topic::Operator => Event::Operator(notices::<L>(&page.items, &mut skipped)),
        Topic::Runners => Event::Runners {
            changes: runners::<L>(&page.items, &mut skipped),
            complete,
        },
    };
    for reason in skipped {
        outlet.send(Event::Skipped { topic, reason }).await;
    }
    outlet.send(event).await;
}

fn notices<L: Log>(items: &[Item], skipped: &mut Vec<String>) -> Vec<OperatorRecord> {
    let mut notices = Vec::new();
    for item in items {
        match L::operator_record(item) {
            Ok(notice) => notices.extend(notice),
            Err(reason) => skipped.push(reason),
        }
    }
    notices
}

fn runners<L: Log>(items: &[Item], skipped: &mut Vec<String>) -> Vec<runner::Change> {
    let mut changes = Vec::new();
    for item in items {
        match L::runner(item) {
            Ok(change) => changes.push(change),
            Err(reason) => {
                skipped.push(reason);
                // The record names no runner to use, and hides the one that it replaced.
                changes.push(runner::Change::Removed(item.key.as_str().into()));
            }
        }
    }
    changes
}
