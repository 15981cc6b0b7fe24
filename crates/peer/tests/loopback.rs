//! Tests of server and client over loopback sockets.

mod common;

use core::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    time::Duration, //
};
use insta::assert_snapshot;
use sassafrascrank_peer::{
    client::{
        self,
        Client,
        Error, //
    },
    message::{
        Handover,
        KnownState,
        Report,
        State, //
    },
    server::{
        self,
        Handler,
        Refusal,
        Server, //
    },
    wire::{
        self,
        ConnectionState,
        REPORT_LIMIT, //
    },
};
use std::rc::Rc;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        LocalSet,
        spawn_local, //
    },
};

/// Handler that keeps the messages that it received.
#[derive(Default)]
struct Recorder {
    reports: RefCell<Vec<Report>>,
    handovers: RefCell<Vec<Handover>>,
}

impl Handler for Recorder {
    async fn report(&self, report: Report) -> Result<Report, Refusal> {
        self.reports.borrow_mut().push(report);
        Ok(common::minimal_report(1))
    }

    async fn state(&self, _: KnownState) -> Result<State, Refusal> {
        Ok(State {
            config: Some(common::image(100)),
            member: Some(common::view(3, &["suva"])),
            hosts: None,
        })
    }

    async fn hand_over(&self, handover: Handover) -> Result<(), Refusal> {
        if handover.to != common::entry(1) {
            return Err(Refusal("meant for another entry: read the log".to_owned()));
        }
        self.handovers.borrow_mut().push(handover);
        Ok(())
    }
}

fn run<F: Future>(test: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { test().await })
}

async fn start(limit: server::Limit) -> (Rc<Server<Recorder>>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Rc::new(Server::new(Recorder::default(), limit));
    let shared = Rc::clone(&server);
    spawn_local(async move { shared.serve(listener).await });
    (server, address)
}

/// Returns the text of an error without the address, whose port differs from run to run.
fn describe(error: &Error, address: SocketAddr) -> String {
    error.to_string().replace(&address.to_string(), "<address>")
}

/// A peer that reads one request and then answers with `bytes`; it keeps the connection open if `hold`.
async fn scripted_peer(bytes: &'static [u8], hold: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(bytes).await;
        if hold {
            core::future::pending::<()>().await;
        }
    });
    address
}

/// Guards against several handovers of up to 64 MiB in memory at the same time, and against a server that refuses all
/// handovers after one that broke off.
#[test]
fn one_handover_is_received_at_a_time() {
    run(|| async {
        let (server, address) = start(server::Limit::DEFAULT).await;
        let mut slow = TcpStream::connect(address).await.unwrap();
        let head = b"POST /handover HTTP/1.1\r\nhost: \r\ncontent-length: 9\r\n\r\na";
        slow.write_all(head).await.unwrap();
        let mut client = Client::new(address, client::Limit::DEFAULT);
        let handover = common::handover(&[None]);
        let mut results = Vec::new();
        // The server needs some turns of its loop to read the slow head, and later to see the end of that connection.
        for expected in [false, true] {
            let mut result = client.hand_over(&handover).await;
            for _ in 0..100 {
                if result.is_ok() == expected {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
                result = client.hand_over(&handover).await;
            }
            results.push(format!("{result:?}"));
            slow.shutdown().await.unwrap();
        }
        assert!(server.count().refused > 0);
        assert_snapshot!(results.join("\n"));
    });
}

/// Guards against a report that arrives changed, and against a server that no longer knows the sender when a later
/// report on the same connection omits it.
#[test]
fn reports_arrive_whole_on_one_connection() {
    run(|| async {
        let (server, address) = start(server::Limit::DEFAULT).await;
        let mut client = Client::new(address, client::Limit::DEFAULT);
        let sent = [common::full_report(0), common::minimal_report(0)];
        for report in &sent {
            let answer = client.report(report).await.unwrap();
            assert_eq!(answer, common::minimal_report(1));
        }
        assert_eq!(*server.handler().reports.borrow(), sent);
        assert_snapshot!(format!("{:?}", server.count()));
    });
}

/// Guards against an answer with state that is not newer, and against an empty state without status 204.
#[test]
fn only_newer_state_is_sent() {
    run(|| async {
        let (_server, address) = start(server::Limit::DEFAULT).await;
        let mut client = Client::new(address, client::Limit::DEFAULT);
        let mut lines = String::new();
        for (config, member) in [(0, 0), (99, 3), (100, 2), (100, 3), (101, 9)] {
            let state = client
                .state(KnownState {
                    config,
                    member,
                    hosts: true,
                })
                .await
                .unwrap();
            let config_offset = state.config.as_ref().map(|image| image.through);
            let member_offset = state.member.as_ref().map(|view| view.offset);
            lines += &format!("after {config}, {member}: {config_offset:?}, {member_offset:?}\n");
        }
        assert_snapshot!(lines);
    });
}

/// Guards against a handover that is lost or changed, and against a refusal that the client takes for success.
#[test]
fn handover_arrives_whole_or_is_refused() {
    run(|| async {
        let (server, address) = start(server::Limit::DEFAULT).await;
        let mut client = Client::new(address, client::Limit::DEFAULT);
        let mut handover = common::handover(&[Some(65_536), None, Some(0)]);
        client.hand_over(&handover).await.unwrap();
        assert_eq!(*server.handler().handovers.borrow(), [handover.clone()]);
        handover.to = common::entry(2);
        let error = client.hand_over(&handover).await.unwrap_err();
        assert_snapshot!(describe(&error, address));
    });
}

/// Guards against a client that waits forever, accepts a part of an answer, or reads an answer of any size.
#[test]
fn client_names_each_failure() {
    run(|| async {
        let late = client::Limit {
            report: Duration::from_millis(50),
            ..client::Limit::DEFAULT
        };
        let limit = client::Limit {
            report: Duration::from_secs(60),
            ..client::Limit::DEFAULT
        };
        let large = Box::leak(vec![b'x'; 20_000].into_boxed_slice());
        let large: &[u8] = [b"HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n", &*large]
            .concat()
            .leak();
        let cases: [(&str, &'static [u8], bool); 5] = [
            ("late", b"", true),
            ("reset", b"", false),
            (
                "part",
                b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
                false,
            ),
            ("large", large, true),
            (
                "malformed",
                b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
                true,
            ),
        ];
        let mut lines = String::new();
        for (case, bytes, hold) in cases {
            let address = scripted_peer(bytes, hold).await;
            let limit = if case == "late" { late } else { limit };
            let mut client = Client::new(address, limit);
            let error = client.report(&common::minimal_report(0)).await.unwrap_err();
            lines += &format!("{case}: {}\n", describe(&error, address));
        }
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let mut client = Client::new(address, limit);
        let error = client.report(&common::minimal_report(0)).await.unwrap_err();
        lines += &format!("closed: {}\n", describe(&error, address));
        assert_snapshot!(lines);
    });
}

/// Guards against a client that can't connect again after its peer was restarted.
#[test]
fn client_connects_again_after_a_restart() {
    run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = Client::new(listener.local_addr().unwrap(), client::Limit::DEFAULT);
        spawn_local(async move {
            drop(listener.accept().await.unwrap());
            let server = Server::new(Recorder::default(), server::Limit::DEFAULT);
            server.serve(listener).await;
        });
        assert!(client.report(&common::minimal_report(0)).await.is_err());
        let answer = client.report(&common::minimal_report(0)).await.unwrap();
        assert_eq!(answer, common::minimal_report(1));
    });
}

/// Guards against a call that fails because the peer has closed the idle connection.
#[test]
fn client_survives_the_end_of_an_idle_connection() {
    run(|| async {
        let limit = server::Limit {
            idle: Duration::from_millis(300),
            ..server::Limit::DEFAULT
        };
        let (server, address) = start(limit).await;
        let mut client = Client::new(address, client::Limit::DEFAULT);
        client.report(&common::minimal_report(0)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
        client.report(&common::minimal_report(0)).await.unwrap();
        assert_eq!(server.count().accepted, 2);
        // The new connection introduces the sender again.
        assert_eq!(server.handler().reports.borrow().len(), 2);
    });
}

/// Guards against a simulation of the traffic that counts other HTTP heads than those that client and server send.
#[test]
fn http_heads_have_the_size_of_the_simulation() {
    run(|| async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = Client::new(listener.local_addr().unwrap(), client::Limit::DEFAULT);
        let report = common::minimal_report(0);
        let accept = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = vec![0; 4_096];
            let size = stream.read(&mut buffer).await.unwrap();
            buffer.truncate(size);
            buffer
        };
        let (_, request) = tokio::join!(client.report(&report), accept);
        let link = &mut ConnectionState::default();
        let body = wire::encode(&wire::Report::new(&report, link), REPORT_LIMIT).unwrap();
        let mut expected = common::simulation::request_head(body.len()).into_bytes();
        expected.extend(body);
        assert_eq!(request, expected);

        let (_server, address) = start(server::Limit::DEFAULT).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&request).await.unwrap();
        let mut answer = vec![0; 4_096];
        let size = stream.read(&mut answer).await.unwrap();
        let report = wire::Report::new(&common::minimal_report(1), &mut ConnectionState::default());
        let body = wire::encode(&report, REPORT_LIMIT).unwrap();
        let mut expected = common::simulation::answer_head(body.len()).into_bytes();
        expected.extend(body);
        assert_eq!(answer[..size], expected);
    });
}

async fn send_raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close before it has read a body that is too large.
    let _ = stream.write_all(request).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).replace("\r\n", "\n")
}

/// Guards against a server that accepts a request that it must refuse, or refuses one without naming the remedy.
#[test]
fn server_names_each_refusal() {
    run(|| async {
        let limit = server::Limit {
            request: Duration::from_millis(500),
            idle: Duration::from_millis(500),
            ..server::Limit::DEFAULT
        };
        let (server, address) = start(limit).await;
        let close = "host: \r\nconnection: close\r\n";
        let cases = [
            ("unknown path", format!("GET /x HTTP/1.1\r\n{close}\r\n")),
            (
                "malformed offset",
                format!("GET /state?config_after=-1 HTTP/1.1\r\n{close}\r\n"),
            ),
            (
                "malformed report",
                format!("POST /report HTTP/1.1\r\n{close}content-length: 3\r\n\r\nabc"),
            ),
            (
                "large report",
                format!("POST /report HTTP/1.1\r\n{close}content-length: 16385\r\n\r\n"),
            ),
            (
                "slow body",
                format!("POST /report HTTP/1.1\r\n{close}content-length: 9\r\n\r\na"),
            ),
            ("slow head", "POST /report HT".to_owned()),
        ];
        let mut lines = String::new();
        for (case, request) in cases {
            let answer = send_raw(address, request.as_bytes()).await;
            lines += &format!("{case}\n{answer}\n\n");
        }
        lines += &format!("{:?}", server.count());
        assert_snapshot!(lines);
    });
}

/// Guards against a server without a bound on connections, and against one that counts connections after their end.
#[test]
fn connections_are_bounded() {
    run(|| async {
        let limit = server::Limit {
            connections: 2,
            ..server::Limit::DEFAULT
        };
        let (server, address) = start(limit).await;
        let mut clients: Vec<Client> = (0..3)
            .map(|_| Client::new(address, client::Limit::DEFAULT))
            .collect();
        let mut lines = String::new();
        for client in &mut clients {
            let result = client.report(&common::minimal_report(0)).await;
            lines += &format!("answered: {}\n", result.is_ok());
        }
        clients.remove(0);
        let mut ok = false;
        // The server needs some turns of its loop to see the end of the connection.
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            ok = clients[1].report(&common::minimal_report(0)).await.is_ok();
            if ok {
                break;
            }
        }
        lines += &format!("answered after another one closed: {ok}\n");
        lines += &format!("accepted: {}\n", server.count().accepted);
        assert_snapshot!(lines);
    });
}
