//! The tasks of the thread.

use super::{
    Event, Request,
    append::{
        self,
        Accept,
        Queue,
        Write, //
    },
    outlet::Outlet,
    tail::{
        self,
        Control, //
    },
};
use crate::{
    clock::Clock,
    port::{
        Log,
        Platform,
        Producer,
        Topic, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc, //
};
use tokio::{
    task::spawn_local,
    time::sleep, //
};

/// How long a read of the jobs waits for a record. A follower that reads nothing for longer than the silence of a
/// leader could not tell a silent leader from a silent log.
const JOBS_WAIT: Duration = Duration::from_millis(400);
/// How long a read of the operators' records waits. A read on a connection that a partition has silenced fails only
/// after this time and the slack of the call; a configuration has to be in force 2 s after it was published.
const OPERATOR_WAIT: Duration = Duration::from_millis(900);
/// How long a read of the service list waits.
const RUNNERS_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest time between two reads of the service list, which changes at each heartbeat of a runner.
const RUNNERS_PACE: Duration = Duration::from_millis(250);
/// Time after which a wave's state is published again if that failed.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);

/// What the thread needs.
pub struct Store<P> {
    /// The platform.
    pub platform: P,
    /// Name of the process as a producer.
    pub name: Arc<str>,
    /// Start of the process.
    pub born: u64,
    /// Requests of the thread that decides.
    pub requests: Receiver<Request>,
    /// Signal of that ring.
    pub signal: Signal,
    /// Events for the thread that decides.
    pub events: Sender<Event>,
    /// The clock of the process.
    pub clock: Clock,
    /// Shortest time between two reads of the jobs, at the start.
    pub pace: Duration,
}

/// Runs until the requests end. It needs a local task set.
pub async fn run<P: Platform>(mut store: Store<P>) {
    let outlet = Outlet::new(store.events);
    let jobs = Control::new(true, store.pace, JOBS_WAIT);
    let operator = Control::new(true, Duration::ZERO, OPERATOR_WAIT);
    let runners = Control::new(false, RUNNERS_PACE, RUNNERS_WAIT);
    let topics = [
        (Topic::Jobs, &jobs),
        (Topic::Operator, &operator),
        (Topic::Runners, &runners),
    ];
    for (topic, control) in topics {
        spawn_local(tail::follow(
            store.platform.log(),
            topic,
            Rc::clone(control),
            store.clock,
            outlet.clone(),
        ));
    }
    let accepts = Queue::new();
    let writes = Queue::new();
    let epoch = Rc::new(Cell::new(0));
    let producer = Producer {
        name: Arc::clone(&store.name),
        epoch: store.born,
        sequence: 0,
    };
    spawn_local(append::accept(
        store.platform.log(),
        producer,
        Rc::clone(&accepts),
        store.clock,
        outlet.clone(),
    ));
    spawn_local(append::write(
        store.platform.log(),
        Rc::clone(&writes),
        Rc::clone(&epoch),
        store.clock,
        outlet.clone(),
    ));
    loop {
        let ready = || !store.requests.is_empty() || store.requests.is_closed();
        store.signal.wait(ready).await;
        while let Some(request) = store.requests.try_recv() {
            match request {
                Request::Accept { token, record } => accepts.push(Accept {
                    token,
                    record,
                    since: store.clock.now(),
                }),
                Request::Lead {
                    epoch: claimed,
                    record,
                } => {
                    epoch.set(claimed);
                    writes.clear();
                    let records = vec![record];
                    writes.push(Write {
                        epoch: claimed,
                        records,
                    });
                }
                Request::Write(records) => writes.push(Write {
                    epoch: epoch.get(),
                    records,
                }),
                Request::Abandon => {
                    epoch.set(0);
                    writes.clear();
                }
                Request::Pace {
                    jobs: pace,
                    runners: enabled,
                } => {
                    jobs.pace.set(pace);
                    runners.enabled.set(enabled);
                    jobs.wake.notify_one();
                    runners.wake.notify_one();
                }
                Request::Refresh => jobs.wake.notify_one(),
                Request::Announce { wave, done } => {
                    spawn_local(announce(store.platform.log(), wave, done));
                }
            }
        }
        if store.requests.is_closed() {
            return;
        }
    }
}

/// Publishes the state of a wave, and tries again until that succeeds. The state "done" follows "running", so that a
/// late try of the latter would be wrong; it is given up after one failure.
async fn announce<L: Log>(mut log: L, wave: u64, done: bool) {
    while log.announce(wave, done).await.is_err() && done {
        sleep(ANNOUNCE_RETRY).await;
    }
}
