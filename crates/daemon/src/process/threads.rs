//! Threads, each with a current-thread runtime of its own.

use super::Error;
use core::time::Duration;
use sassafrascrank_ring::Sender;
use std::{
    io,
    thread::{
        Builder,
        JoinHandle, //
    },
    time::Instant, //
};
use tokio::{
    runtime,
    task::LocalSet, //
};

/// Interval at which a thread is checked for its end.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A thread and the ring that controls it.
#[derive(Debug)]
pub(super) struct Thread<C, T> {
    name: &'static str,
    pub(super) control: Sender<C>,
    pub(super) handle: JoinHandle<T>,
}

/// Spawns a thread that runs the future returned by `make` on a `LocalSet`.
fn spawn<F, T>(name: &str, make: F) -> io::Result<JoinHandle<T::Output>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future,
    T::Output: Send + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Builder::new()
        .name(name.to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, make()))
}

impl<C, T> Thread<C, T> {
    pub(super) fn join(self) -> Result<T, Error> {
        self.handle.join().map_err(|_| Error::Panicked(self.name))
    }
}

/// Waits for a thread to end; returns whether it ended before the deadline.
pub(super) fn wait_for_end<T>(handle: &JoinHandle<T>, deadline: Instant) -> bool {
    while !handle.is_finished() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(JOIN_POLL_INTERVAL);
    }
    true
}

/// Starts a named thread with its control ring.
pub(super) fn start<C, F, T>(
    name: &'static str,
    control: Sender<C>,
    make: F,
) -> Result<Thread<C, T::Output>, Error>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future,
    T::Output: Send + 'static,
{
    let handle = spawn(name, make).map_err(|error| Error::Thread(name, error))?;
    Ok(Thread {
        name,
        control,
        handle,
    })
}
