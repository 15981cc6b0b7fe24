//! Tasks of the store thread.

use super::{
    Event, Request,
    appender::Appender,
    sender::EventSender,
    tail::{
        self,
        Handle, //
    },
    writer::{
        self,
        Accept,
        Queue,
        Write, //
    },
};
use crate::{
    clock::Clock,
    port::{
        AppendError,
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
use sassafrascrank_roster::{
    Candidate,
    seat, //
};
use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

/// How long a read of the jobs waits for a record. It has to be shorter than the election timeout, or a follower could
/// not tell a leader that has stopped from a log that does not answer.
const JOBS_WAIT: Duration = Duration::from_millis(400);
/// How long a read of the operators' records waits for a record. A read on a connection that a network partition has
/// cut fails only after this time and the margin of the call, and a configuration has to be in force 2 s after it was
/// published.
const OPERATOR_WAIT: Duration = Duration::from_millis(900);
/// How long a read of the service list waits for a record.
const RUNNERS_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest time between two reads of the service list, which changes with each heartbeat of a runner.
const RUNNERS_INTERVAL: Duration = Duration::from_millis(250);
/// How long a read of the seats waits for a record. An entry that relies on candidates has to know within two seconds
/// that the log does not answer.
const SEATS_WAIT: Duration = Duration::from_millis(800);
/// Shortest time between two reads of the seats, each of which is renewed every 1.5 s.
const SEATS_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before the state of a wave is published again after a failure.
const ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Epoch of the appends of callers' records. No other process appends under the same name, so it never changes.
const ACCEPT_EPOCH: u64 = 1;

/// Parts of the store thread.
pub struct Store<P> {
    /// The platform.
    pub platform: P,
    /// Name of the entry. Callers' records are appended under this name and the number of the process.
    pub name: Arc<str>,
    /// Random number that differs from those of all earlier processes of the entry.
    pub number: u64,
    /// Requests of the control thread.
    pub requests: Receiver<Request>,
    /// Signal of `requests`.
    pub signal: Signal,
    /// Events for the control thread.
    pub events: Sender<Event>,
    /// The clock of the process.
    pub clock: Clock,
    /// Shortest time between two reads of the jobs, until a request sets another one.
    pub jobs_interval: Duration,
    /// Largest size of one append in bytes.
    pub append_limit: usize,
    /// Whether the entries take seats: then the seats are read, and the jobs only on request.
    pub seats: bool,
}

/// Handles to the tasks that read and append.
struct Tasks<P> {
    platform: P,
    clock: Clock,
    jobs: Rc<Handle>,
    runners: Rc<Handle>,
    seats: Rc<Handle>,
    append_limit: usize,
    accepts: Rc<Queue<Accept>>,
    writes: Rc<Queue<Write>>,
    /// Epoch in which this entry leads, 0 if it does not.
    epoch: Rc<Cell<u64>>,
    events: EventSender,
}

/// Runs until the sender of requests is gone. It has to run in a local task set.
pub async fn run<P: Platform>(store: Store<P>) {
    let mut requests = store.requests;
    let signal = store.signal;
    let tasks = Tasks {
        jobs: Handle::new((!store.seats).then_some(0), store.jobs_interval, JOBS_WAIT),
        seats: Handle::new(store.seats.then_some(0), SEATS_INTERVAL, SEATS_WAIT),
        runners: Handle::new(None, RUNNERS_INTERVAL, RUNNERS_WAIT),
        append_limit: store.append_limit,
        accepts: Queue::new(),
        writes: Queue::new(),
        epoch: Rc::new(Cell::new(0)),
        platform: store.platform,
        clock: store.clock,
        events: EventSender::new(store.events),
    };
    // The log need not reject late appends of an earlier process of the entry, since their callers got no final answer.
    // An epoch by the time of day would reject all appends of this process if the clock was set back.
    let producer = Producer {
        name: format!("{}-{:016x}", store.name, store.number).into(),
        epoch: ACCEPT_EPOCH,
        sequence: 0,
    };
    tasks.start(producer);
    loop {
        let ready = || !requests.is_empty() || requests.is_closed();
        signal.wait(ready).await;
        while let Some(request) = requests.try_recv() {
            tasks.handle(request);
        }
        if requests.is_closed() {
            return;
        }
    }
}

impl<P: Platform> Tasks<P> {
    /// Starts the tasks that read and append.
    fn start(&self, producer: Producer) {
        let events = &self.events;
        let operator = Handle::new(Some(0), Duration::ZERO, OPERATOR_WAIT);
        let topics = [
            (Topic::Jobs, &self.jobs),
            (Topic::Operator, &operator),
            (Topic::Runners, &self.runners),
            (Topic::Seats, &self.seats),
        ];
        for (topic, handle) in topics {
            spawn_local(tail::follow(
                self.platform.log(),
                topic,
                Rc::clone(handle),
                self.clock,
                events.clone(),
            ));
        }
        spawn_local(writer::accept(
            self.appender(),
            producer,
            self.append_limit,
            Rc::clone(&self.accepts),
            events.clone(),
        ));
        spawn_local(writer::write(
            self.appender(),
            self.append_limit,
            Rc::clone(&self.writes),
            Rc::clone(&self.epoch),
            self.clock,
            events.clone(),
        ));
    }

    fn appender(&self) -> Appender<P::Log> {
        Appender::new(|| self.platform.log())
    }

    fn handle(&self, request: Request) {
        match request {
            Request::Accept { token, record } => self.accepts.push(Accept {
                token,
                record,
                since: Instant::now(),
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
            Request::SetReads {
                jobs,
                jobs_interval,
                runners,
            } => {
                self.jobs.generation.set(jobs);
                self.jobs.interval.set(jobs_interval);
                self.runners.generation.set(runners);
                self.jobs.wake.notify_one();
                self.runners.wake.notify_one();
            }
            Request::Refresh => self.jobs.wake.notify_one(),
            Request::WriteSeat { key, candidate } => {
                let log = self.platform.log();
                spawn_local(write_seat(log, key, candidate, self.events.clone()));
            }
            Request::Announce { wave, done } => {
                spawn_local(announce(self.platform.log(), wave, done));
            }
        }
    }
}

/// Writes the record of a seat, and reports the result. A record without an answer counts as stored: it is read if it is.
async fn write_seat<L: Log>(
    mut log: L,
    key: seat::Key,
    candidate: Option<Candidate>,
    events: EventSender,
) {
    let (key, value) = seat::encode(&key, candidate.as_ref());
    let result = log.write_seat(&key, &value).await;
    let stored = !matches!(result, Err(AppendError::Refused(_)));
    events.send(Event::SeatWritten { stored }).await;
}

/// Publishes the state of a wave. "done" is retried until it succeeds. "running" is not retried, since the retry could
/// overtake the "done" that follows.
async fn announce<L: Log>(mut log: L, wave: u64, done: bool) {
    while log.announce(wave, done).await.is_err() && done {
        sleep(ANNOUNCE_RETRY_PAUSE).await;
    }
}
