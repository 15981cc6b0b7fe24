//! The drive thread of an entry whose runners are stubs.

use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::Full;
use hyper::{
    Response,
    http::request, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    clock::Clock,
    drive::{
        self,
        Drive,
        Executor,
        Request, //
    },
    port::{
        self,
        Answer,
        AppendError,
        Call,
        Dialect,
        Item,
        OperatorRecord,
        Page,
        Platform,
        Producer,
        ReadError,
        Reply,
        Runners,
        Topic, //
    },
};
use sassafrascrank_job::{
    Id,
    Repeat,
    Step,
    id::Task, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal,
    ring, //
};
use sassafrascrank_schedule::{
    fleet::host,
    order::{
        self, Envelope,
        report::{
            Approval,
            Failure,
            Report,
            View, //
        },
    },
    runner::Change,
};
use sassafrascrank_trace::{
    Source,
    sink, //
};
use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
};
use tokio::{
    runtime::Builder,
    sync::oneshot,
    task::LocalSet, //
};

/// Capacity of each ring.
const CAPACITY: usize = 256;

/// Names of the runners that an entry has polled.
pub(crate) type Polled = Arc<Mutex<Vec<String>>>;

/// What becomes of a start at the runners that an entry calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Starts {
    /// It is answered.
    Answered,
    /// It is carried out, and the answer does not arrive.
    Unanswered,
    /// It fails in this way.
    Failed(Failure),
}

/// A platform whose runners answer polls at once.
#[derive(Clone)]
struct Stub {
    polled: Polled,
    starts: Starts,
    /// Number of starts.
    started: Arc<AtomicUsize>,
}

/// What the drive thread does not use of a platform.
#[derive(Clone, Copy)]
enum Unused {}

impl port::Log for Unused {
    async fn newest(&mut self, _: Topic) -> Result<Page, ReadError> {
        match *self {}
    }

    async fn read(&mut self, _: Topic, _: u64, _: Duration) -> Result<Page, ReadError> {
        match *self {}
    }

    async fn append(
        &mut self,
        _: &Producer,
        _: &[(String, Vec<u8>)],
        _: Duration,
    ) -> Result<u64, AppendError> {
        match *self {}
    }

    async fn write_seat(&mut self, _: &str, _: &[u8]) -> Result<(), AppendError> {
        match *self {}
    }

    async fn announce(&mut self, _: u64, _: bool) -> Result<(), AppendError> {
        match *self {}
    }

    fn operator_record(_: &Item) -> Result<Option<OperatorRecord>, String> {
        Ok(None)
    }

    fn runner(item: &Item) -> Result<Change, String> {
        Ok(Change::Removed(item.key.as_str().into()))
    }
}

impl Dialect for Unused {
    fn call(&self, _: &request::Parts) -> Result<Call, String> {
        match *self {}
    }

    fn job(&self, _: &[u8]) -> Result<(String, Vec<Step>, Option<Repeat>), String> {
        match *self {}
    }

    fn id(&self, _: &str) -> Result<Id, String> {
        match *self {}
    }

    fn answer(&self, _: &Reply) -> Response<Full<Bytes>> {
        match *self {}
    }
}

impl Runners for Stub {
    async fn start(&self, _: &order::Start) -> Answer<()> {
        self.started.fetch_add(1, Ordering::Relaxed);
        match self.starts {
            Starts::Answered => (None, Ok(())),
            Starts::Unanswered => std::future::pending().await,
            Starts::Failed(failure) => (None, Err(failure.into())),
        }
    }

    async fn stop(&self, _: &order::Stop) -> Answer<()> {
        (None, Ok(()))
    }

    async fn poll(&self, order: &order::Poll) -> Answer<View> {
        self.polled
            .lock()
            .unwrap()
            .push(order.target.id.to_string());
        (Some(7), Ok(View::default()))
    }

    async fn pace(&self, _: &order::Pace) -> Answer<()> {
        (None, Ok(()))
    }

    fn close(&self, _: Option<SocketAddr>) {}

    async fn advise(&self, _: Task, _: &[Arc<str>]) -> Option<Approval> {
        None
    }
}

impl port::Fleet for Stub {
    async fn hosts(&self) -> Option<Vec<host::Listed>> {
        None
    }

    async fn relocate(&self, _: &str, _: &str, _: u64) -> host::Outcome {
        host::Outcome::Rejected
    }

    async fn maintain(&self, _: &str, _: u64, _: u64) -> host::Outcome {
        host::Outcome::Rejected
    }
}

impl Platform for Stub {
    type Log = Unused;
    type Runners = Self;
    type Fleet = Self;
    type Dialect = Unused;

    fn log(&self) -> Unused {
        panic!("the drive thread does not use the log")
    }

    fn runners(&self) -> Self {
        self.clone()
    }

    fn fleet(&self) -> Self {
        self.clone()
    }

    fn dialect(&self) -> Unused {
        panic!("the drive thread answers no callers")
    }
}

/// The drive thread of an entry.
pub(crate) struct Entry {
    pub(crate) polled: Polled,
    pub(crate) started: Arc<AtomicUsize>,
    pub(crate) requests: Sender<Request>,
    pub(crate) reports: Receiver<Envelope<Report>>,
    /// Keeps the ring of the thread's log lines open.
    _lines: Source,
    pub(crate) executor: Executor,
    /// Ends the thread and its connections.
    pub(crate) end: oneshot::Sender<()>,
}

pub(crate) fn entry() -> Entry {
    entry_with(Starts::Answered)
}

pub(crate) fn entry_with(starts: Starts) -> Entry {
    let (polled, started) = (Polled::default(), Arc::default());
    let platform = Stub {
        polled: Arc::clone(&polled),
        starts,
        started: Arc::clone(&started),
    };
    let [signal, other, trace] = [(); 3].map(|()| Signal::new());
    let (sink, source) = sink("drive", CAPACITY, &trace);
    let (requests, receiver) = ring(CAPACITY, &signal);
    let (report_sender, reports) = ring(CAPACITY, &other);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let executor = Executor {
        address: listener.local_addr().unwrap(),
        zone: "zone".into(),
    };
    let (end, ended) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let drive = Drive {
            platform,
            requests: receiver,
            signal,
            reports: report_sender,
            sink,
            clock: Clock::new(),
            executor: Some(listener),
        };
        LocalSet::new().block_on(&runtime, async {
            tokio::select! {
                () = drive::run(drive) => {}
                _ = ended => {}
            }
        });
    });
    Entry {
        polled,
        started,
        requests,
        reports,
        _lines: source,
        executor,
        end,
    }
}
