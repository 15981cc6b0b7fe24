//! The observe thread as a whole: its admin endpoint, its log and its stop.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::{
        self,
        Event,
        Kind,
        Sink, //
    },
    names::Table,
    status::{
        Update,
        update::{
            Engine,
            Member,
            Phase,
            Platform,
            Pool,
            State,
            Upstream, //
        },
    },
    thread::{
        self,
        Handle,
        Setup, //
    },
    timeline::Process, //
};
use sassafrascrank_ring::{
    Sender,
    Signal,
    ring, //
};
use slotmap::SlotMap;
use spdlog::{
    Logger,
    formatter::{
        PatternFormatter,
        pattern, //
    },
    sink::WriteSink, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::Arc, //
};

mod support;
use support::{
    name,
    request, //
};

/// Producing ends of the rings of the observe thread under test.
struct Rings {
    exchange: Sink,
    dispatch: Sink,
    tables: Sender<Table>,
    updates: Sender<Update>,
}

/// A running observe thread with the producing ends of its rings.
struct Fixture {
    address: SocketAddr,
    rings: Rings,
    log: Arc<WriteSink<Vec<u8>>>,
    handle: Handle,
}

/// Current time of the observe thread under test.
const NOW: Time = Time::from_millis(90_000);

impl Fixture {
    /// Starts the thread after `prepare` has filled the rings.
    fn start(prepare: impl FnOnce(&mut Rings)) -> Self {
        let signal = Signal::new();
        let (exchange, first) = event::ring("exchange", 64, &signal);
        let (dispatch, second) = event::ring("dispatch", 64, &signal);
        let (tables, table_ring) = ring(4, &signal);
        let (updates, update_ring) = ring(4, &signal);
        let mut rings = Rings {
            exchange,
            dispatch,
            tables,
            updates,
        };
        prepare(&mut rings);
        let formatter = PatternFormatter::new(pattern!("{level} {payload}{eol}"));
        let log = WriteSink::builder().formatter(formatter).target(Vec::new());
        let log = log.build_arc().expect("the sink is valid");
        let logger = Logger::builder().sink(log.clone()).build_arc();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let handle = thread::start(Setup {
            process: Process {
                host: name("suva-1"),
                incarnation: 7,
            },
            zone: name("suva"),
            capacity: 100,
            listener,
            sources: vec![first, second],
            tables: vec![table_ring],
            updates: vec![update_ring],
            signal,
            clock: || NOW,
            logger: logger.expect("the logger is valid"),
        });
        Self {
            address,
            rings,
            log,
            handle: handle.expect("the thread starts"),
        }
    }

    /// Sends a request and returns the response with only its status line, content type and body.
    fn request(&self, method: &str, target: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("the endpoint listens");
        write!(
            stream,
            "{method} {target} HTTP/1.1\r\nhost: suva-1\r\nconnection: close\r\n\r\n"
        )
        .expect("the request can be sent");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("the answer is text");
        let (head, body) = answer
            .split_once("\r\n\r\n")
            .expect("the answer has a head");
        let head = head
            .lines()
            .filter(|line| line.starts_with("HTTP") || line.starts_with("content-type"));
        format!(
            "{method} {target}\n{}\n{body}\n",
            head.collect::<Vec<_>>().join("\n")
        )
    }

    /// Repeats a GET request until the response contains `text`, because the rings are read at intervals.
    fn get_until(&self, target: &str, text: &str) -> String {
        for _ in 0..2_000 {
            let answer = self.request("GET", target);
            if answer.contains(text) {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        panic!("no {text:?} in {}", self.request("GET", target));
    }
}

impl Rings {
    fn update(&mut self, update: Update) {
        self.updates.send(update).expect("the ring has room");
    }

    /// Records the events of a request that two threads handle, of a draining upstream and of the loss of the log.
    fn record(&mut self) {
        let mut customers = SlotMap::<customer::Key, ()>::with_key();
        let mut pools = SlotMap::<pool::Key, ()>::with_key();
        let mut upstreams = SlotMap::<upstream::Key, ()>::with_key();
        let (alba, quoting, runner) =
            (customers.insert(()), pools.insert(()), upstreams.insert(()));
        let table = Table {
            customers: vec![(alba, name("alba"))],
            pools: vec![(quoting, name("quoting"))],
            upstreams: vec![(runner, name("runner-1"))],
            members: Vec::new(),
        };
        self.tables.send(table).expect("the ring has room");
        let at = Time::from_millis;
        let about = |event: Event| event.request(request(1)).customer(alba).pool(quoting);
        self.dispatch
            .record(Event::new(at(10), Kind::ConfigurationInForce).detail(12));
        self.exchange
            .record(about(Event::new(at(20), Kind::Arrived)));
        self.dispatch
            .record(about(Event::new(at(20), Kind::Queued)).detail(1));
        let granted = about(Event::new(at(21), Kind::Granted)).upstream(runner);
        self.dispatch
            .record(granted.duration(Duration::from_millis(1)));
        let answered = about(Event::answered(at(31), Duration::from_millis(10)));
        self.exchange.record(answered.upstream(runner));
        self.dispatch
            .record(Event::new(at(40), Kind::UpstreamDraining).upstream(runner));
        self.dispatch.record(Event::new(at(50), Kind::AppendFailed));
        self.dispatch.record(Event::new(at(51), Kind::LogLost));
    }
}

fn platform() -> Platform {
    Platform {
        configuration: 12,
        membership: 3,
        members: vec![Member {
            host: name("suva-2"),
            incarnation: 4,
            zone: name("suva"),
            address: SocketAddr::from(([127, 0, 0, 1], 8_080)),
            reachable: true,
        }],
        log_lost: Some(Time::from_millis(51)),
    }
}

fn engine() -> Engine {
    let pool = Pool {
        name: name("quoting"),
        slots: 8,
        running: 1,
        queued: 0,
    };
    let upstream = Upstream {
        host: name("runner-1"),
        pool: name("quoting"),
        zone: name("suva"),
        state: State::Draining,
        slots: 8,
        running: 1,
    };
    Engine {
        pools: vec![pool],
        upstreams: vec![upstream],
    }
}

/// Guards against a path that gives a wrong response or none, and against events of two threads shown out of order.
#[test]
fn paths_return_what_threads_recorded() {
    let mut fixture = Fixture::start(Rings::record);
    let mut answers = fixture.request("GET", "/healthz");
    fixture.rings.update(Update::Platform(platform()));
    fixture.rings.update(Update::Engine(engine()));
    fixture.rings.update(Update::Phase(Phase::Serving));
    answers += &fixture.get_until("/healthz", "serving");
    answers += &fixture.get_until("/timeline", "log-lost");
    answers += &fixture.request(
        "GET",
        "/timeline?request=0f16f495adf9424d-1&since=3&limit=1",
    );
    answers += &fixture.request("GET", "/timeline?pool=Quoting");
    answers += &fixture.get_until("/status", "runner-1");
    answers += &fixture.request("GET", "/");
    answers += &fixture.request("POST", "/status");
    let scrape = fixture.request("GET", "/metrics");
    let shown = |line: &&str| !line.starts_with("sassafrascrank") || line.contains("_total{");
    let scrape: Vec<_> = scrape
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter(shown)
        .collect();
    answers += &scrape.join("\n");
    fixture.handle.stop().expect("the thread stops");
    insta::assert_snapshot!(answers);
}

/// Guards against a load balancer that still sends requests to a process in shutdown because `/healthz` succeeds or a
/// late status update hides the shutdown.
#[test]
fn shutdown_fails_the_health_check() {
    let mut fixture = Fixture::start(|_| ());
    fixture.rings.update(Update::Phase(Phase::Serving));
    fixture.get_until("/healthz", "200 OK");
    fixture
        .rings
        .dispatch
        .record(Event::new(NOW, Kind::ShutdownBegun));
    fixture.get_until("/healthz", "503");
    fixture.rings.update(Update::Phase(Phase::Serving));
    fixture.rings.update(Update::Platform(platform()));
    fixture.get_until("/status", "suva-2");
    let answer = fixture.request("GET", "/healthz");
    fixture.handle.stop().expect("the thread stops");
    insta::assert_snapshot!(answer);
}

/// Guards against log lines for each request or each failed append, and against events lost when the thread stops.
#[test]
fn only_changes_of_state_are_logged() {
    let fixture = Fixture::start(Rings::record);
    fixture.handle.stop().expect("the thread stops");
    let log = fixture.log.clone_target();
    insta::assert_snapshot!(String::from_utf8(log).expect("the log is text"));
}

/// Guards against events that are held back until a clock that was set back catches up.
#[test]
fn events_with_future_times_are_shown() {
    let mut fixture = Fixture::start(|_| ());
    let later = NOW + Duration::from_secs(3_600);
    fixture
        .rings
        .dispatch
        .record(Event::new(later, Kind::PeerLost));
    fixture
        .rings
        .exchange
        .record(Event::new(later + Duration::from_secs(1), Kind::PeerFound));
    fixture.get_until("/timeline", "peer-found");
    fixture.handle.stop().expect("the thread stops");
}

/// Guards against closed connections that keep their slots among the 64 connections that are served at once.
#[test]
fn closed_connections_free_their_slots() {
    let fixture = Fixture::start(|_| ());
    for _ in 0..3 {
        let idle: Vec<_> = (0..64)
            .map(|_| TcpStream::connect(fixture.address))
            .collect();
        assert!(idle.iter().all(Result::is_ok));
    }
    assert!(fixture.request("GET", "/healthz").contains("starting"));
    fixture.handle.stop().expect("the thread stops");
}
