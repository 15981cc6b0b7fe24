//! Threads, each with a current-thread runtime of its own.

use std::{
    io,
    thread::{
        Builder,
        JoinHandle, //
    },
};
use tokio::{
    runtime,
    task::LocalSet, //
};

/// Stack of a thread in bytes; memory counts on small hosts.
const STACK: usize = 512 << 10;

/// Starts a thread that runs the future which `make` returns, and others that it spawns locally.
pub(super) fn spawn<F, T>(name: &'static str, make: F) -> io::Result<JoinHandle<T::Output>>
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
        .stack_size(STACK)
        .spawn(move || LocalSet::new().block_on(&runtime, async move { make().await }))
}
