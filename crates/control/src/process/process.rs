//! Start and shutdown of an entry process.

use super::{
    Listeners,
    Settings,
    Shutdown,
    thread, //
};
use crate::{
    clock::{
        Clock,
        wall, //
    },
    control::{
        self,
        Channels, //
    },
    drive::{
        self,
        Drive, //
    },
    front::{
        self,
        Front, //
    },
    port::Platform,
    store::{
        self,
        Store, //
    },
};
use core::net::SocketAddr;
use sassafrascrank_ring::{
    Signal,
    ring, //
};
use sassafrascrank_trace::{
    Event,
    Setup,
    Sink,
    Source,
    sink, //
};
use spdlog::Logger;
use std::{
    hash::{
        BuildHasher,
        RandomState, //
    },
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::JoinHandle,
};

/// Capacity of the ring of callers' requests to the control thread, which empties it whenever it wakes up.
const CALL_CAPACITY: usize = 1_024;
/// Capacity of the ring of answers to callers.
const NOTICE_CAPACITY: usize = 1_024;
/// Capacity of the ring of events of the log. One event holds all records of a read.
const EVENT_CAPACITY: usize = 256;
/// Capacity of the ring of requests to the log.
const REQUEST_CAPACITY: usize = 1_024;
/// Capacity of the ring of orders and of the ring of reports on them.
const ORDER_CAPACITY: usize = 4_096;
/// Capacity of each ring of events for logs and metrics.
const TRACE_CAPACITY: usize = 4_096;
/// Log lines of the drive thread that wait to be written: at most two for each executor within 2 s.
const DRIVE_TRACE_CAPACITY: usize = 64;

/// The process can't start or a thread has panicked.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The process can't listen on an address.
    #[error("can't listen on {0} ({1}): free the address or change the settings")]
    Listen(SocketAddr, io::Error),
    /// A thread can't be started.
    #[error("the thread {0} can't start ({1}): raise the limits on threads and memory")]
    Thread(&'static str, io::Error),
    /// A thread has panicked.
    #[error("the thread {0} panicked: report the message above as a fault of sassafrascrank")]
    Panicked(&'static str),
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    stop: Arc<AtomicBool>,
    trace_stop: Arc<AtomicBool>,
    wake: Signal,
    trace_wake: Signal,
    control: JoinHandle<()>,
    front: JoinHandle<()>,
    trace: JoinHandle<Result<(), sassafrascrank_trace::Error>>,
}

impl Process {
    /// Starts the threads of the process.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a thread.
    pub fn start<P: Platform>(
        settings: Settings,
        listeners: Listeners,
        platform: P,
        logger: Arc<Logger>,
    ) -> Result<Self, Error> {
        let (clock, shutdown) = (Clock::new(), Shutdown::within(settings.grace));
        let [wake, trace_wake, front_signal, store_signal, drive_signal] = signals();
        let (call_sender, calls) = ring(CALL_CAPACITY, &wake);
        let (event_sender, events) = ring(EVENT_CAPACITY, &wake);
        let (report_sender, reports) = ring(ORDER_CAPACITY, &wake);
        let (notice_sender, notices) = ring(NOTICE_CAPACITY, &front_signal);
        let (request_sender, requests) = ring(REQUEST_CAPACITY, &store_signal);
        let (order_sender, orders) = ring(ORDER_CAPACITY, &drive_signal);
        let ([front_sink, control_sink, drive_sink], sources) = sinks(&trace_wake, clock);
        let [stop, trace_stop] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let trace = Trace {
            process: Arc::clone(&settings.name),
            sources,
            wake: trace_wake.clone(),
            stop: Arc::clone(&trace_stop),
            metrics: listeners.metrics,
            logger,
        }
        .start(clock)?;
        let front = Front {
            platform: platform.clone(),
            callers: listeners.callers,
            readiness: listeners.readiness,
            relayed: listeners.relayed,
            requests: call_sender,
            notices,
            signal: front_signal,
            sink: front_sink,
            clock,
            credential_limit: settings.credential_limit,
            drain: shutdown.drop.saturating_sub(shutdown.close),
            limits: settings.limits,
        };
        let front = start("front", move || front::run(front))?;
        let store = Store {
            platform: platform.clone(),
            name: Arc::clone(&settings.name),
            number: random(),
            requests,
            signal: store_signal,
            events: event_sender,
            clock,
            jobs_interval: control::FOLLOWER_READ_INTERVAL,
            append_limit: settings.append_limit,
            seats: settings.seats.is_some(),
        };
        start("store", move || store::run(store))?;
        let drive = Drive {
            platform,
            requests: orders,
            signal: drive_signal,
            reports: report_sender,
            sink: drive_sink,
            clock,
            executor: listeners.executor,
        };
        start("drive", move || drive::run(drive))?;
        let channels = Channels {
            calls,
            notices: notice_sender,
            events,
            requests: request_sender,
            reports,
            orders: order_sender,
            signal: wake.clone(),
            sink: control_sink,
            stop: Arc::clone(&stop),
            shutdown,
        };
        let control = start_control(&settings, channels, clock)?;
        Ok(Self {
            stop,
            trace_stop,
            wake,
            trace_wake,
            control,
            front,
            trace,
        })
    }

    /// Shuts the process down: it resigns if it leads, completes the requests in progress, and ends its threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread has panicked.
    pub fn shut_down(self) -> Result<(), Error> {
        self.stop.store(true, Ordering::SeqCst);
        self.wake.raise();
        self.control
            .join()
            .map_err(|_| Error::Panicked("control"))?;
        self.front.join().map_err(|_| Error::Panicked("front"))?;
        self.trace_stop.store(true, Ordering::SeqCst);
        self.trace_wake.raise();
        let trace = self.trace.join().map_err(|_| Error::Panicked("observe"))?;
        // An error of the metrics endpoint does not concern the shutdown.
        drop(trace);
        Ok(())
    }
}

/// Parts of the thread that writes logs and metrics.
struct Trace {
    process: Arc<str>,
    sources: Vec<Source>,
    wake: Signal,
    stop: Arc<AtomicBool>,
    metrics: Option<TcpListener>,
    logger: Arc<Logger>,
}

impl Trace {
    fn start(
        self,
        clock: Clock,
    ) -> Result<JoinHandle<Result<(), sassafrascrank_trace::Error>>, Error> {
        let setup = Setup {
            process: self.process,
            sources: self.sources,
            signal: self.wake,
            clock: move || clock.now(),
            logger: self.logger,
            listener: self.metrics,
            stop: self.stop,
        };
        start("observe", move || sassafrascrank_trace::run(setup))
    }
}

/// Returns the rings of log lines of the threads `front`, `control` and `drive`, with the line that the process has started.
fn sinks(wake: &Signal, clock: Clock) -> ([Sink; 3], Vec<Source>) {
    let threads = [
        ("front", TRACE_CAPACITY),
        ("control", TRACE_CAPACITY),
        ("drive", DRIVE_TRACE_CAPACITY),
    ];
    let mut sources = Vec::new();
    let mut sinks = threads.map(|(thread, capacity)| {
        let (sink, source) = sink(thread, capacity, wake);
        sources.push(source);
        sink
    });
    sinks[1].record(Event::new("start", clock.now()));
    (sinks, sources)
}

fn signals<const COUNT: usize>() -> [Signal; COUNT] {
    [(); COUNT].map(|()| Signal::new())
}

/// Returns a random number.
fn random() -> u64 {
    RandomState::new().hash_one(())
}

fn start_control(
    settings: &Settings,
    channels: Channels,
    clock: Clock,
) -> Result<JoinHandle<()>, Error> {
    let control = settings.control(settings.identity(wall()), clock.now());
    let time = move || clock.now();
    start("control", move || control::run(control, channels, time))
}

fn start<F, T>(name: &'static str, make: F) -> Result<JoinHandle<T::Output>, Error>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future,
    T::Output: Send + 'static,
{
    thread::spawn(name, make).map_err(|error| Error::Thread(name, error))
}
