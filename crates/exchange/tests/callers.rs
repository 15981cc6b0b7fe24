//! Callers that disconnect, stall, or send too much or invalid data; and the graceful close.

mod common;

use common::{
    Fixture,
    HEADERS,
    KEY,
    Peer,
    forwarded,
    get,
    upstream,
    within, //
};
use core::time::Duration;
use sassafrascrank_exchange::{
    Control,
    Limit, //
};
use std::fmt::Write;
use tokio::io::AsyncWriteExt;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of a body that does not fit into the socket buffers of the kernel.
const LARGE_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Guards against a slot or upstream connection that is not released when its caller disconnects or stalls, against
/// counting this as a failure of the upstream, and against a keyed request that ends when its caller disconnects.
#[tokio::test]
async fn disconnected_or_stalled_callers_release_their_slots() {
    let limit = Limit {
        callers: 1,
        ..Limit::default()
    };
    let mut fixture = Fixture::start(limit, &[]);
    let (listener, _) = upstream().await;
    let mut report = String::new();
    let put = format!("PUT / HTTP/1.1\r\n{HEADERS}content-length: 100000\r\n\r\nstart");
    let short = put.replace("100000", "100");

    // Only one request may wait at a time, so each step shows that the one before has released its place.
    let mut caller = fixture.caller().await;
    caller.write(&get("/")).await;
    fixture.dispatch.arrival().await;
    drop(caller);
    writeln!(
        report,
        "gone while it waits: {}",
        fixture.dispatch.event().await
    )
    .unwrap();

    let mut caller = fixture.caller().await;
    caller.write(&short).await;
    caller.stream.shutdown().await.unwrap();
    caller.rest().await;

    for (what, text, attempt_timeout) in [
        ("runs", get("/"), LONG_TIMEOUT),
        ("body is streamed", put.clone(), LONG_TIMEOUT),
        ("stops sending", put, SHORT_TIMEOUT),
    ] {
        let (mut caller, mut upstream, _) =
            forwarded(&mut fixture, &listener, &text, attempt_timeout).await;
        if attempt_timeout == LONG_TIMEOUT {
            drop(caller);
        } else {
            let answer = caller.answer().await;
            writeln!(report, "{}", answer.lines().next().unwrap()).unwrap();
        }
        upstream.rest().await;
        // The caller's or the upstream's side may see the incomplete body first; neither counts against the upstream.
        let event = fixture.dispatch.event().await;
        assert!(
            ["cancel", "finish Cancelled"].contains(&event.as_str()),
            "{what}: {event}"
        );
    }
    for (what, attempt_timeout) in [
        ("gone while the answer streams", LONG_TIMEOUT),
        ("stops reading", SHORT_TIMEOUT),
    ] {
        let (mut caller, mut upstream, _) =
            forwarded(&mut fixture, &listener, &get("/"), attempt_timeout).await;
        upstream
            .write(&format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
            ))
            .await;
        caller.head().await;
        let stopped = Some(caller).filter(|_| attempt_timeout != LONG_TIMEOUT);
        // Writes until the connection is closed, which only the end of the attempt does.
        let block = vec![b'x'; 64 * 1_024];
        within("the upstream connection to close", async {
            while upstream.stream.write_all(&block).await.is_ok() {}
        })
        .await;
        write!(report, "{what}: {}", fixture.dispatch.event().await).unwrap();
        if stopped.is_some() {
            write!(report, ", {}", fixture.dispatch.event().await).unwrap();
        }
        writeln!(report).unwrap();
        drop(stopped);
    }
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}{KEY}\r\n");
    let (caller, mut upstream, _) = forwarded(&mut fixture, &listener, &post, LONG_TIMEOUT).await;
    drop(caller);
    upstream
        .write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")
        .await;
    writeln!(report, "keyed: {}", fixture.dispatch.event().await).unwrap();
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against request smuggling, where two servers see the end of a message at different places, and against heads
/// of unlimited size.
#[tokio::test]
async fn ambiguous_and_oversized_heads_are_rejected() {
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let (listener, _) = upstream().await;
    let mut report = String::new();
    let many = "x: 1\r\n".repeat(101);
    let large = format!("x: {}\r\n", "y".repeat(65 * 1_024));
    for (what, extra) in [
        ("two lengths", "content-length: 1\r\ncontent-length: 2\r\n"),
        ("signed length", "content-length: +1\r\n"),
        ("listed lengths", "content-length: 1, 2\r\n"),
        ("unknown coding", "transfer-encoding: xchunked\r\n"),
        ("chunked not last", "transfer-encoding: chunked, gzip\r\n"),
        ("space before colon", "content-length : 1\r\n"),
        ("folded line", "x: 1\r\n chunked\r\n"),
        ("zero byte", "x: \0\r\n"),
        ("many headers", many.as_str()),
        ("large header", large.as_str()),
    ] {
        let mut caller = fixture.caller().await;
        let text = format!("PUT / HTTP/1.1\r\n{HEADERS}{extra}\r\nGET /smuggled HTTP/1.1\r\n\r\n");
        // The exchange thread may close the connection before it has read everything.
        caller.stream.write_all(text.as_bytes()).await.ok();
        let answer = caller.rest().await;
        writeln!(
            report,
            "{what}: {}",
            answer.lines().next().unwrap_or("closed")
        )
        .unwrap();
    }
    // The chunked coding determines the end of the body, and the length is not forwarded.
    let text = format!(
        "PUT / HTTP/1.1\r\n{HEADERS}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut caller = fixture.caller().await;
    caller.write(&text).await;
    let handle = fixture.dispatch.arrival().await;
    fixture
        .dispatch
        .forward(handle, listener.local_addr().unwrap(), LONG_TIMEOUT);
    let mut upstream = Peer::accept(&listener).await;
    assert!(!upstream.head().await.contains("content-length"));
    drop(caller);
    upstream.rest().await;
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against more connections than the limit, and against pipelined answers in the wrong order.
#[tokio::test]
async fn connections_are_bounded_and_pipelined_answers_keep_their_order() {
    let limit = Limit {
        connections: 2,
        ..Limit::default()
    };
    let mut fixture = Fixture::start(limit, &[]);
    let (listener, address) = upstream().await;
    let [mut first, mut second, mut third] = [
        fixture.caller().await,
        fixture.caller().await,
        fixture.caller().await,
    ];
    for caller in [&mut first, &mut second] {
        caller.write(&get("/open")).await;
        let handle = fixture.dispatch.arrival().await;
        fixture.dispatch.refuse(handle);
        caller.answer().await;
    }
    third.write(&get("/third")).await;
    // All three are sent at once and served one after the other.
    second.write(&(get("/1") + &get("/2") + &get("/3"))).await;
    for path in ["/1", "/2", "/3"] {
        let handle = fixture.dispatch.arrival().await;
        fixture.dispatch.forward(handle, address, LONG_TIMEOUT);
        let mut upstream = Peer::accept(&listener).await;
        let head = upstream.head().await;
        assert!(head.starts_with(&format!("GET {path} ")), "{head}");
        upstream
            .write(&format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{path}"
            ))
            .await;
        assert_eq!(fixture.dispatch.event().await, "finish Answered(0ns)");
        assert!(second.answer().await.ends_with(path));
    }
    drop(first);
    let handle = fixture.dispatch.arrival().await;
    fixture.dispatch.refuse(handle);
    assert!(third.answer().await.starts_with("HTTP/1.1 502"));
    drop((second, third));
    fixture.close().await;
}

/// Guards against a graceful close that interrupts a request in any stage.
#[tokio::test]
async fn a_graceful_close_finishes_requests_in_each_stage() {
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let (listener, address) = upstream().await;
    let post = format!("POST / HTTP/1.1\r\n{HEADERS}{KEY}\r\n");
    let (keyed, mut order, _) = forwarded(&mut fixture, &listener, &post, LONG_TIMEOUT).await;
    drop(keyed);
    let (mut streaming, mut source, _) =
        forwarded(&mut fixture, &listener, &get("/s"), LONG_TIMEOUT).await;
    source
        .write("HTTP/1.1 200 OK\r\ncontent-length: 6\r\nconnection: close\r\n\r\nfir")
        .await;
    streaming.head().await;
    let (mut running, mut runner, _) =
        forwarded(&mut fixture, &listener, &get("/r"), LONG_TIMEOUT).await;
    let mut idle = fixture.caller().await;
    idle.write(&get("/i")).await;
    let handle = fixture.dispatch.arrival().await;
    fixture.dispatch.refuse(handle);
    idle.answer().await;
    let mut waiting = fixture.caller().await;
    waiting.write(&get("/w")).await;
    let waits = fixture.dispatch.arrival().await;

    fixture.control.send(Control::Close).unwrap();
    // The end of the idle connection shows that the thread is closing.
    assert_eq!(idle.rest().await, "");
    source.write("st!").await;
    assert_eq!(streaming.rest().await, "first!");
    runner
        .write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\nconnection: close\r\n\r\nran")
        .await;
    let ran = running.rest().await;
    assert!(
        ran.contains("connection: close") && ran.ends_with("ran"),
        "{ran}"
    );
    fixture.dispatch.forward(waits, address, LONG_TIMEOUT);
    let mut late = Peer::accept(&listener).await;
    late.head().await;
    late.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate")
        .await;
    assert!(waiting.rest().await.ends_with("late"));
    order
        .write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        .await;
    let mut events = Vec::new();
    for _ in 0..4 {
        events.push(fixture.dispatch.event().await);
    }
    fixture.close().await;
    insta::assert_snapshot!(events.join("\n"));
}
