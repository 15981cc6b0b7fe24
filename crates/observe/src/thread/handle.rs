//! Handle to the running observe thread.

use super::Error;
use sassafrascrank_ring::Signal;
use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::JoinHandle, //
};

/// Flag that asks the thread to stop, shared with it.
#[derive(Clone, Debug, Default)]
pub(super) struct Stop(Arc<AtomicBool>);

impl Stop {
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Handle to stop the observe thread. If it is dropped, the thread runs until the process ends.
#[derive(Debug)]
pub struct Handle {
    pub(super) stop: Stop,
    pub(super) signal: Signal,
    pub(super) thread: JoinHandle<()>,
}

impl Handle {
    /// Stops the thread and waits until it has ended. The thread first processes the events in the rings, lets open
    /// admin requests finish for at most about 2 s and flushes the log.
    ///
    /// # Errors
    ///
    /// Fails if the thread has panicked.
    pub fn stop(self) -> Result<(), Error> {
        self.stop.0.store(true, Ordering::SeqCst);
        self.signal.raise();
        self.thread.join().map_err(|_| Error::Panicked)
    }
}
