//! The tasks of the thread.

use super::{
    Event, Request,
    append::{
        self,
        Accept,
        Queue,
        Write, //
    },
    lane::Lane,
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

/// What requests act on.
struct Lanes<P> {
    platform: P,
    clock: Clock,
    jobs: Rc<Control>,
    runners: Rc<Control>,
    accepts: Rc<Queue<Accept>>,
    writes: Rc<Queue<Write>>,
    /// Epoch that leads, 0 for none.
    epoch: Rc<Cell<u64>>,
}

/// Runs until the requests end. It needs a local task set.
pub async fn run<P: Platform>(store: Store<P>) {
    let mut requests = store.requests;
    let signal = store.signal;
    let lanes = Lanes {
        jobs: Control::new(true, store.pace, JOBS_WAIT),
        runners: Control::new(false, RUNNERS_PACE, RUNNERS_WAIT),
        accepts: Queue::new(),
        writes: Queue::new(),
        epoch: Rc::new(Cell::new(0)),
        platform: store.platform,
        clock: store.clock,
    };
    let producer = Producer {
        name: Arc::clone(&store.name),
        epoch: store.born,
        sequence: 0,
    };
    lanes.start(producer, &Outlet::new(store.events));
    loop {
        let ready = || !requests.is_empty() || requests.is_closed();
        signal.wait(ready).await;
        while let Some(request) = requests.try_recv() {
            lanes.take(request);
        }
        if requests.is_closed() {
            return;
        }
    }
}

impl<P: Platform> Lanes<P> {
    /// Starts the tasks that read and append.
    fn start(&self, producer: Producer, outlet: &Outlet) {
        let operator = Control::new(true, Duration::ZERO, OPERATOR_WAIT);
        let topics = [
            (Topic::Jobs, &self.jobs),
            (Topic::Operator, &operator),
            (Topic::Runners, &self.runners),
        ];
        for (topic, control) in topics {
            spawn_local(tail::follow(
                self.platform.log(),
                topic,
                Rc::clone(control),
                self.clock,
                outlet.clone(),
            ));
        }
        spawn_local(append::accept(
            self.lane(),
            producer,
            Rc::clone(&self.accepts),
            self.clock,
            outlet.clone(),
        ));
        spawn_local(append::write(
            self.lane(),
            Rc::clone(&self.writes),
            Rc::clone(&self.epoch),
            self.clock,
            outlet.clone(),
        ));
    }

    fn lane(&self) -> Lane<P::Log> {
        Lane::new(|| self.platform.log(), self.clock)
    }

    fn take(&self, request: Request) {
        match request {
            Request::Accept { token, record } => self.accepts.push(Accept {
                token,
                record,
                since: self.clock.now(),
            }),
            Request::Lead { epoch, record } => {
                self.epoch.set(epoch);
                self.writes.clear();
                let records = vec![record];
                self.writes.push(Write { epoch, records });
            }
            Request::Write(records) => self.writes.push(Write {
                epoch: self.epoch.get(),
                records,
            }),
            Request::Abandon => {
                self.epoch.set(0);
                self.writes.clear();
            }
            Request::Pace { jobs, runners } => {
                self.jobs.pace.set(jobs);
                self.runners.enabled.set(runners);
                self.jobs.wake.notify_one();
                self.runners.wake.notify_one();
            }
            Request::Refresh => self.jobs.wake.notify_one(),
            Request::Announce { wave, done } => {
                spawn_local(announce(self.platform.log(), wave, done));
            }
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
