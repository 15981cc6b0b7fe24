//! A thread that serves one runner on a loopback address.

use super::{
    Faults,
    service::{
        State,
        lock,
        serve, //
    },
};
use crate::listener::listen;
use core::{
    net::SocketAddr,
    time::Duration, //
};
use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use std::{
    io,
    net::TcpListener,
    sync::{
        Arc,
        Mutex, //
    },
    thread, //
};
use tokio::{
    net::TcpStream,
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        oneshot, //
    },
};

/// Settings of a runner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback address; port 0 chooses a free one.
    pub address: SocketAddr,
    /// Name of the runner, which its responses carry in a header.
    pub name: String,
    /// Largest number of requests that run at once; further requests wait.
    pub slots: usize,
    /// Largest number of open connections; further connections are closed.
    pub connections: usize,
    /// Service time of a request that names none.
    pub service_time: Duration,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "runner".to_owned(),
            slots: 8,
            connections: 64,
            service_time: Duration::from_millis(5),
            seed: 1,
        }
    }
}

/// A running runner; dropping it stops its thread.
pub struct Runner {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Runner {
    /// Starts a thread that serves requests.
    ///
    /// # Errors
    ///
    /// Fails if the address is not a loopback address or can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let listener = listen(settings.address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::new(settings.seed)));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let shared = state.clone();
        let thread = thread::Builder::new()
            .name("runner-standin".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        _ = stopped => {}
                        () = accept(listener, settings, shared) => {}
                    }
                });
            })?;
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the number of requests that have started to run.
    pub fn runs(&self) -> u64 {
        lock(&self.state).runs
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn most_running(&self) -> u32 {
        lock(&self.state).most_running
    }

    /// Returns each idempotency key with the number of its runs.
    pub fn runs_by_key(&self) -> Vec<(String, u32)> {
        let state = lock(&self.state);
        state
            .keys
            .iter()
            .map(|(key, runs)| (key.clone(), *runs))
            .collect()
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, settings: Settings, state: Arc<Mutex<State>>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let slots = Arc::new(Semaphore::new(settings.slots));
    let connections = Arc::new(Semaphore::new(settings.connections));
    let settings = Arc::new(settings);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process is out of file descriptors until open connections end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        let work = connection(
            stream,
            settings.clone(),
            state.clone(),
            slots.clone(),
            permit,
        );
        tokio::spawn(work);
    }
}

async fn connection(
    stream: TcpStream,
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    _permit: OwnedSemaphorePermit,
) {
    // An error closes the connection, and the client notices that.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| async {
        let _slot = slots.acquire().await.map_err(io::Error::other)?;
        serve(&state, &settings.name, settings.service_time, request).await
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
