//! A thread that serves the log and the host list on a loopback address.

use super::{
    faults::{
        Faults,
        Outage, //
    },
    service::{
        lock,
        serve, //
    },
    store::{
        Host,
        Store, //
    },
};
use crate::listener::listen;
use core::net::SocketAddr;
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
    sync::mpsc,
    task::JoinSet, //
};

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Loopback address; port 0 chooses a free one.
    pub address: SocketAddr,
    /// Number of records retained in each stream.
    pub retention: usize,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention: 10_000,
            seed: 1,
        }
    }
}

/// Handle that the thread drops when it has carried out a command.
type Done = std::sync::mpsc::Sender<()>;

/// A running stand-in; dropping it stops its thread.
pub struct Platform {
    address: SocketAddr,
    store: Arc<Mutex<Store>>,
    /// Each message makes the thread close the open connections. Dropping the sender stops the thread.
    commands: Option<mpsc::Sender<Done>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Platform {
    /// Starts a thread that serves the platform's interface.
    ///
    /// # Errors
    ///
    /// Fails if the address is not a loopback address or can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let listener = listen(settings.address)?;
        let address = listener.local_addr()?;
        let store = Arc::new(Mutex::new(Store::new(settings.retention, settings.seed)));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (commands, received) = mpsc::channel(1);
        let shared = store.clone();
        let thread = thread::Builder::new()
            .name("platform-standin".to_owned())
            .spawn(move || runtime.block_on(accept(listener, shared, received)))?;
        Ok(Self {
            address,
            store,
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.store).faults = faults;
    }

    /// Replaces the host list. The new list becomes visible after the current lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.store).set_hosts(hosts);
    }

    /// Closes the open connections and returns when they are closed. New connections are accepted.
    pub fn close_connections(&self) {
        let (done, wait) = std::sync::mpsc::channel();
        let commands = self.commands.as_ref();
        // The channel is full only if another thread has just sent the same command.
        let _ = commands.map(|commands| commands.try_send(done));
        // The thread signals completion by dropping the sender, which `recv` reports as an error.
        let _ = wait.recv();
    }

    /// Appends a record without HTTP and returns its offset.
    pub fn append(&self, stream: &str, record: &str) -> u64 {
        lock(&self.store).append(stream, record.to_owned())
    }

    /// Returns the offset of the newest record.
    pub fn end(&self, stream: &str) -> u64 {
        lock(&self.store).end(stream)
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.store).appends
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: TcpListener,
    store: Arc<Mutex<Store>>,
    mut commands: mpsc::Receiver<Done>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(done) => {
                    connections.shutdown().await;
                    drop(done);
                }
                None => return,
            },
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok(_) if lock(&store).faults.outage == Outage::Closed => {}
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, store.clone()));
                }
                // The process is out of file descriptors until open connections end.
                Err(_) => tokio::time::sleep(core::time::Duration::from_millis(10)).await,
            },
        }
    }
}

async fn connection(stream: TcpStream, store: Arc<Mutex<Store>>) {
    // An error closes the connection, and the client notices that.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| serve(&store, request));
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
