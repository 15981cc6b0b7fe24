//! Threads that each have a current-thread runtime.

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

/// Stack size of each thread. It is smaller than the usual 2 MiB to save memory on small hosts.
const STACK_BYTES: usize = 512 << 10;

/// Starts a thread with a runtime and a local task set of its own. The thread runs the future that `make` returns, and
/// ends with it.
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
        .stack_size(STACK_BYTES)
        .spawn(move || LocalSet::new().block_on(&runtime, async move { make().await }))
}
