//! Start and main loop of the observe thread.

use super::{
    Handle,
    collector::Collector,
    handle::Stop, //
};
use crate::{
    admin,
    event::Source,
    metrics::{
        self,
        Registry, //
    },
    names::Table,
    observer::Observer,
    status::{
        Status,
        Update, //
    },
    timeline::{
        Process,
        Timeline, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::{
    Receiver,
    Signal, //
};
use spdlog::Logger;
use std::{
    io,
    net::TcpListener,
    panic,
    sync::Arc,
    thread, //
};
use tokio::{
    runtime::Builder,
    sync::watch,
    task::JoinError,
    time, //
};
use xtra::{
    Address,
    Mailbox, //
};

/// Pause between two batches, so that recording threads don't wake the observe thread at each event. At 100,000 events
/// a second, 500 events gather in the rings during one pause.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of batches after the request to stop, which take about 1 s, in case threads still record events.
const FINAL_BATCHES_MAX: usize = 200;
/// Capacity of the observer's mailbox in messages: one batch and one request of each admin connection.
const MAILBOX_CAPACITY: usize = admin::CONNECTION_LIMIT as usize + 1;

/// Inputs of the observe thread.
#[derive(Debug)]
pub struct Setup<C> {
    /// Identity of the process.
    pub process: Process,
    /// Name of its availability zone.
    pub zone: Name,
    /// Largest number of records in the time line, such as `timeline::CAPACITY_DEFAULT`.
    pub capacity: usize,
    /// Listener of the admin endpoint.
    pub listener: TcpListener,
    /// Reading ends of the event rings, one for each recording thread.
    pub sources: Vec<Source>,
    /// Reading ends of the rings of name tables.
    pub tables: Vec<Receiver<Table>>,
    /// Reading ends of the rings of status updates.
    pub updates: Vec<Receiver<Update>>,
    /// Signal that all these rings raise when they receive an item.
    pub signal: Signal,
    /// Returns the current time.
    pub clock: C,
    /// Destination of the log lines, such as `spdlog::default_logger()`.
    pub logger: Arc<Logger>,
}

/// The thread can't start or has panicked.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The operating system refused to set up the listener, the runtime or the thread.
    #[error(
        "the observe thread can't start ({0}); raise the limits on file descriptors and threads"
    )]
    System(#[from] io::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// The thread has panicked.
    #[error("the observe thread panicked; report the message above as a fault of sassafrascrank")]
    Panicked,
}

/// Starts the observe thread, which has the name `observe`.
///
/// # Errors
///
/// Fails if the operating system refuses a resource or the metrics can't be set up.
pub fn start<C>(setup: Setup<C>) -> Result<Handle, Error>
where
    C: Fn() -> Time + Clone + Send + Sync + 'static,
{
    let metrics = Registry::new()?;
    setup.listener.set_nonblocking(true)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(setup.listener)?
    };
    let status = Status::new(setup.process.clone(), setup.zone, (setup.clock)());
    let timeline = Timeline::new(setup.process, setup.capacity);
    let logger = Arc::clone(&setup.logger);
    let worker = Worker {
        observer: Observer::new(timeline, metrics, status, setup.logger),
        listener,
        collector: Collector::new(setup.sources, setup.tables, setup.updates),
        signal: setup.signal.clone(),
        clock: setup.clock,
        stop: Stop::default(),
    };
    let stop = worker.stop.clone();
    let thread = thread::Builder::new()
        .name("observe".to_owned())
        .spawn(move || {
            runtime.block_on(worker.run());
            logger.flush();
        })?;
    Ok(Handle {
        stop,
        signal: setup.signal,
        thread,
    })
}

/// State of the running thread.
struct Worker<C> {
    observer: Observer,
    listener: tokio::net::TcpListener,
    collector: Collector,
    signal: Signal,
    clock: C,
    stop: Stop,
}

impl<C> Worker<C>
where
    C: Fn() -> Time + Clone + Send + Sync + 'static,
{
    /// Runs the observer, the admin endpoint and the main loop until the thread has to stop.
    async fn run(self) {
        let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
        let actor = tokio::spawn(xtra::run(mailbox, self.observer));
        let (stopping, stopped) = watch::channel(false);
        let server = admin::serve(self.listener, address.clone(), self.clock.clone(), stopped);
        let server = tokio::spawn(server);
        pass_batches(
            self.collector,
            &self.signal,
            &self.clock,
            &self.stop,
            &address,
        )
        .await;
        stopping.send_replace(true);
        drop(address);
        propagate_panic(server.await);
        propagate_panic(actor.await);
    }
}

/// Resumes the panic of a task, because the thread must not continue without the task.
fn propagate_panic(ended: Result<(), JoinError>) {
    if let Err(panic) = ended.map_err(JoinError::try_into_panic)
        && let Ok(panic) = panic
    {
        panic::resume_unwind(panic);
    }
}

/// Passes batches to the observer until the thread has to stop and all rings are empty, the last of
/// `FINAL_BATCHES_MAX` batches was passed, or the observer has panicked.
async fn pass_batches<C: Fn() -> Time>(
    mut collector: Collector,
    signal: &Signal,
    clock: &C,
    stop: &Stop,
    observer: &Address<Observer>,
) {
    let mut final_batches_left = FINAL_BATCHES_MAX;
    loop {
        signal.wait(|| stop.is_set() || !collector.is_empty()).await;
        let stopping = stop.is_set();
        if observer.send(collector.batch(clock())).await.is_err() {
            return;
        }
        if stopping && (collector.is_empty() || final_batches_left == 0) {
            return;
        }
        final_batches_left -= usize::from(stopping);
        time::sleep(BATCH_INTERVAL).await;
    }
}
