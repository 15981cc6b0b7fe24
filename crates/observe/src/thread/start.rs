//! Start and main loop of the thread.

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

/// Time between two batches. While the thread pauses, producers don't pay for a wake-up; at 100,000 events a second
/// 500 of them gather in the rings.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Batches drained at most after the request to stop (1 s), even if threads still record events.
const LAST_BATCH_LIMIT: usize = 200;
/// Messages that wait for the observer: one batch and one request of each connection.
const MAILBOX_CAPACITY: usize = admin::CONNECTION_LIMIT as usize + 1;

/// What the thread needs.
#[derive(Debug)]
pub struct Setup<C> {
    /// This process.
    pub process: Process,
    /// Name of its availability zone.
    pub zone: Name,
    /// Number of records in the time line, such as `timeline::CAPACITY_DEFAULT`.
    pub capacity: usize,
    /// Listener of the endpoint for operators.
    pub listener: TcpListener,
    /// Event rings, one for each recording thread.
    pub sources: Vec<Source>,
    /// Rings of name tables.
    pub tables: Vec<Receiver<Table>>,
    /// Rings of status updates.
    pub updates: Vec<Receiver<Update>>,
    /// Signal of all these rings.
    pub signal: Signal,
    /// Tells the present time.
    pub clock: C,
    /// Where log lines go, such as `spdlog::default_logger()`.
    pub logger: Arc<Logger>,
}

/// The thread can't start or has panicked.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The system refused a listener, a runtime or a thread.
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

/// Starts the thread `observe`.
///
/// # Errors
///
/// Fails if the system refuses a resource or the metrics can't be set up.
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
    let work = Work {
        observer: Observer::new(timeline, metrics, status, setup.logger),
        listener,
        collector: Collector::new(setup.sources, setup.tables, setup.updates),
        signal: setup.signal.clone(),
        clock: setup.clock,
        stop: Stop::default(),
    };
    let stop = work.stop.clone();
    let thread = thread::Builder::new()
        .name("observe".to_owned())
        .spawn(move || {
            runtime.block_on(work.run());
            logger.flush();
        })?;
    Ok(Handle {
        stop,
        signal: setup.signal,
        thread,
    })
}

/// State of the running thread.
struct Work<C> {
    observer: Observer,
    listener: tokio::net::TcpListener,
    collector: Collector,
    signal: Signal,
    clock: C,
    stop: Stop,
}

impl<C> Work<C>
where
    C: Fn() -> Time + Clone + Send + Sync + 'static,
{
    /// Runs the actor, the endpoint and the main loop until the thread has to stop.
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
        propagate(server.await);
        propagate(actor.await);
    }
}

/// Continues the panic of a task, because the thread must not go on without it.
fn propagate(ended: Result<(), JoinError>) {
    if let Err(panic) = ended.map_err(JoinError::try_into_panic)
        && let Ok(panic) = panic
    {
        panic::resume_unwind(panic);
    }
}

/// Passes batches to the observer until the thread has to stop and nothing waits, or the observer has panicked.
async fn pass_batches<C: Fn() -> Time>(
    mut collector: Collector,
    signal: &Signal,
    clock: &C,
    stop: &Stop,
    observer: &Address<Observer>,
) {
    let mut last_batches = LAST_BATCH_LIMIT;
    loop {
        signal.wait(|| stop.is_set() || !collector.is_empty()).await;
        let stopping = stop.is_set();
        if observer.send(collector.batch(clock())).await.is_err() {
            return;
        }
        if stopping && (collector.is_empty() || last_batches == 0) {
            return;
        }
        last_batches -= usize::from(stopping);
        time::sleep(BATCH_INTERVAL).await;
    }
}
