//! Forwarding of answers and failures of upstreams to callers.

mod common;

use bytes::Bytes;
use common::{
    Fixture,
    HEADERS,
    KEY,
    Peer,
    get,
    upstream, //
};
use core::time::Duration;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    client::conn::{
        http1,
        http2, //
    },
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use sassafrascrank_exchange::{
    Control,
    Limit, //
};
use std::fmt::Write;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream, //
};

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Sends a request over HTTP/1.1 or HTTP/2 and describes the answer as its caller sees it.
async fn fetch(address: core::net::SocketAddr, version: u8, method: &str) -> String {
    let key = KEY.trim_end().split_once(": ").unwrap().1;
    let request = Request::builder()
        .method(method)
        .uri("http://entry/")
        .header("authorization", "Bearer secret")
        .header("sassafrascrank-pool", "quoting")
        .header("idempotency-key", key)
        .body(Full::new(Bytes::new()))
        .unwrap();
    let stream = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let response = if version == 1 {
        let (mut sender, connection) = http1::handshake(stream).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await
    } else {
        let (mut sender, connection) = http2::handshake(TokioExecutor::new(), stream)
            .await
            .unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await
    };
    let Ok(response) = response else {
        return "no answer".to_owned();
    };
    let status = response.status();
    match response.into_body().collect().await {
        Ok(body) => format!("{status}, whole of {} bytes", body.to_bytes().len()),
        Err(_) => format!("{status}, broken"),
    }
}

/// Guards against a truncated answer that its caller mistakes for a complete one, and against a slot that is granted
/// for a retry and never released: a truncated answer that the caller has seen in part must be followed by a
/// cancellation.
#[tokio::test]
async fn truncated_answers_are_never_passed_on_as_complete() {
    let mut report = String::new();
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let (listener, address) = upstream().await;
    for (framing, body) in [
        (
            "content-length: 10",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n01234",
        ),
        (
            "chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n",
        ),
    ] {
        for (version, method, attempt_timeout) in [
            (1, "GET", LONG_TIMEOUT),
            (2, "GET", LONG_TIMEOUT),
            (1, "GET", SHORT_TIMEOUT),
            (2, "GET", SHORT_TIMEOUT),
            (1, "POST", LONG_TIMEOUT),
            (1, "POST", SHORT_TIMEOUT),
        ] {
            let caller = tokio::spawn(fetch(fixture.callers, version, method));
            let handle = fixture.dispatch.arrival().await;
            fixture.dispatch.forward(handle, address, attempt_timeout);
            let mut upstream = Peer::accept(&listener).await;
            upstream.head().await;
            upstream.write(body).await;
            if attempt_timeout == LONG_TIMEOUT {
                drop(upstream);
            } else {
                // The attempt times out while the exchange thread waits for the rest.
                upstream.rest().await;
            }
            let mut events = fixture.dispatch.event().await;
            if method == "POST" {
                fixture.dispatch.refuse(handle);
            } else {
                write!(events, ", {}", fixture.dispatch.event().await).unwrap();
            }
            let seen = caller.await.unwrap();
            let end = if attempt_timeout == LONG_TIMEOUT {
                "closed"
            } else {
                "late"
            };
            writeln!(
                report,
                "{framing}, {end}, HTTP/{version} {method}: {events}; {seen}"
            )
            .unwrap();
        }
    }
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against a request that is lost or run twice when its upstream refuses the connection, has closed an idle
/// connection, or answers too late, and against a late answer that is sent to the next request.
#[tokio::test]
async fn failed_attempts_are_reported_and_late_answers_are_discarded() {
    let mut report = String::new();
    let mut fixture = Fixture::start(
        Limit {
            body_bytes: 4,
            ..Limit::default()
        },
        &[],
    );
    let mut caller = fixture.caller().await;
    let (closed, refusing) = upstream().await;
    drop(closed);
    let (listener, address) = upstream().await;

    // The streamed body must arrive complete at the second upstream.
    caller
        .write(&format!(
            "PUT /first HTTP/1.1\r\n{HEADERS}content-length: 10\r\n\r\n0123456789"
        ))
        .await;
    let handle = fixture.dispatch.arrival().await;
    fixture.dispatch.forward(handle, refusing, LONG_TIMEOUT);
    writeln!(report, "refused: {}", fixture.dispatch.event().await).unwrap();
    fixture.dispatch.forward(handle, address, LONG_TIMEOUT);
    let mut first = Peer::accept(&listener).await;
    writeln!(report, "second upstream: {}", first.answer().await).unwrap();
    first
        .write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst")
        .await;
    writeln!(
        report,
        "{}\n{}",
        fixture.dispatch.event().await,
        caller.answer().await
    )
    .unwrap();

    // The upstream closes the idle connection; once the entry has seen that, it sends requests on a new one.
    first.stream.shutdown().await.unwrap();
    assert_eq!(first.rest().await, "");
    caller.write(&get("/idle")).await;
    let handle = fixture.dispatch.arrival().await;
    fixture.dispatch.forward(handle, address, SHORT_TIMEOUT);
    let mut late = Peer::accept(&listener).await;
    late.head().await;
    writeln!(report, "late: {}", fixture.dispatch.event().await).unwrap();
    fixture.dispatch.refuse(handle);
    writeln!(report, "{}", caller.answer().await).unwrap();

    // The late answer must not be taken for the answer to this request of the same caller to the same upstream.
    caller.write(&get("/next")).await;
    let handle = fixture.dispatch.arrival().await;
    fixture.dispatch.forward(handle, address, LONG_TIMEOUT);
    let mut next = Peer::accept(&listener).await;
    late.stream
        .try_write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate")
        .ok();
    writeln!(
        report,
        "rest of the late connection: {:?}",
        late.rest().await
    )
    .unwrap();
    next.head().await;
    next.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext")
        .await;
    writeln!(
        report,
        "{}\n{}",
        fixture.dispatch.event().await,
        caller.answer().await
    )
    .unwrap();
    drop(caller);
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against forwarded hop-by-hop headers, a credential that reaches an upstream, a length that contradicts the
/// body, an outcome that an upstream sets, and lost trailers.
#[tokio::test]
async fn hop_by_hop_headers_and_credentials_are_not_forwarded() {
    let mut report = String::new();
    let mut fixture = Fixture::start(Limit::default(), &[Control::Drain]);
    let (listener, address) = upstream().await;
    for method in ["PUT", "POST"] {
        let mut caller = fixture.caller().await;
        caller.write(&format!(
            "{method} /a?b HTTP/1.1\r\n{HEADERS}{KEY}connection: keep-alive, x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\n\
             proxy-connection: x\r\nte: trailers\r\nupgrade: x\r\nsassafrascrank-customer: other\r\n\
             transfer-encoding: chunked\r\ncontent-length: 4\r\nx-end: kept\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        )).await;
        let handle = fixture.dispatch.arrival().await;
        fixture.dispatch.forward(handle, address, LONG_TIMEOUT);
        let mut upstream = Peer::accept(&listener).await;
        let head = upstream.head().await;
        writeln!(report, "request of {method}:\n{head}").unwrap();
        let framed = if head.contains("chunked") {
            "5\r\nhello\r\n0\r\n\r\n"
        } else {
            "hello"
        };
        assert_eq!(upstream.take(framed.len()).await, framed);
        upstream.write(
            "HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nx-end: kept\r\ntrailer: x-sum\r\n\
             sassafrascrank-outcome: not-run\r\nsassafrascrank-request: 7\r\nsassafrascrank-draining: 1\r\n\
             transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: 9\r\n\r\n",
        ).await;
        for _ in 0..2 {
            writeln!(report, "{}", fixture.dispatch.event().await).unwrap();
        }
        writeln!(
            report,
            "answer:\n{}",
            caller
                .rest()
                .await
                .lines()
                .filter(|line| !line.starts_with("date"))
                .collect::<Vec<_>>()
                .join("\n")
        )
        .unwrap();
    }
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against answers without a body that are sent with one, or that never release their slot or connection, and
/// against a caller that never gets the `100 Continue` for which it waits.
#[tokio::test]
async fn answers_without_body_and_expect_continue_end_the_attempt() {
    let mut report = String::new();
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let (listener, address) = upstream().await;
    let mut caller = fixture.caller().await;
    let mut upstream: Option<Peer> = None;
    for (method, extra, answer) in [
        ("HEAD", "", "200 OK\r\ncontent-length: 12"),
        ("GET", "", "204 No Content"),
        ("GET", "if-none-match: x\r\n", "304 Not Modified\r\netag: x"),
        ("POST", KEY, "204 No Content"),
        (
            "PUT",
            "expect: 100-continue\r\ncontent-length: 2\r\n",
            "200 OK\r\ncontent-length: 0",
        ),
        (
            "HEAD",
            "connection: close\r\n",
            "200 OK\r\ncontent-length: 12",
        ),
    ] {
        caller
            .write(&format!("{method} / HTTP/1.1\r\n{HEADERS}{extra}\r\n"))
            .await;
        if extra.starts_with("expect") {
            writeln!(report, "{}", caller.head().await).unwrap();
            caller.write("hi").await;
        }
        let handle = fixture.dispatch.arrival().await;
        fixture.dispatch.forward(handle, address, LONG_TIMEOUT);
        if upstream.is_none() || method == "POST" {
            upstream = Some(Peer::accept(&listener).await);
        }
        let upstream = upstream.as_mut().unwrap();
        let head = upstream.answer().await;
        assert!(!head.contains("expect"), "{head}");
        upstream.write(&format!("HTTP/1.1 {answer}\r\n\r\n")).await;
        let event = fixture.dispatch.event().await;
        writeln!(
            report,
            "{method} {extra:?}: {event}\n{}",
            caller.head().await
        )
        .unwrap();
    }
    assert_eq!(caller.rest().await, "");
    fixture.close().await;
    insta::assert_snapshot!(report);
}
