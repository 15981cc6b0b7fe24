//! Refusals before the owner of an idempotency key was asked.

mod common;

use common::{
    Fixture, //
    HEADERS,
    KEY,
    Peer,
};
use core::time::Duration;
use sassafrascrank_exchange::Limit;
use std::fmt::Write;

/// Reads a refusal and returns its status line, outcome, `Retry-After` and detail.
async fn refusal(caller: &mut Peer) -> String {
    let answer = caller.answer().await;
    let status = answer.lines().next().unwrap();
    let find = |name: &str| answer.lines().find(|line| line.starts_with(name));
    let detail = answer.split("\"detail\":").nth(1).unwrap_or_default();
    let detail = detail.split(",\"remedy\"").next().unwrap();
    let retry = find("retry-after").unwrap_or("no retry-after");
    let id = find("sassafrascrank-request").map_or("", |_| " id");
    format!(
        "{status} {}{id} {retry} {detail}",
        find("sassafrascrank-outcome").unwrap()
    )
}

fn limit() -> Limit {
    Limit {
        connections: 16,
        callers: 2,
        keyed_body_bytes: 100,
        buffer_bytes: 40,
        body_timeout: Duration::from_millis(50),
        ..Limit::default()
    }
}

/// Guards against the outcome "not run" for a request whose key an earlier attempt may have used, and against "unknown"
/// for a request that certainly did not run.
#[tokio::test]
async fn only_requests_without_a_usable_key_are_refused_as_not_run() {
    let good = HEADERS.to_owned();
    let cases = [
        ("wrong credential", good.replace("secret", "guess"), ""),
        ("two credentials", format!("{good}{good}"), ""),
        ("other pool", good.replace("quoting", "brisa"), ""),
        (
            "bad class",
            format!("{good}sassafrascrank-urgency: now\r\n"),
            "",
        ),
        ("slow body", format!("{good}content-length: 9\r\n"), "abc"),
    ];
    // These bodies are refused only in requests with a key; other requests would be streamed.
    let keyed = [
        ("large body", format!("{good}content-length: 101\r\n")),
        (
            "large chunk",
            format!("{good}transfer-encoding: chunked\r\n"),
        ),
        ("full buffer", format!("{good}content-length: 41\r\n")),
    ];
    let fixture = Fixture::start(limit(), &[]);
    let mut report = String::new();
    for (what, headers, body) in cases {
        for (method, key) in [
            ("POST", KEY),
            ("POST", "idempotency-key: 7\r\n"),
            ("PUT", KEY),
        ] {
            let mut caller = fixture.caller().await;
            let text = format!("{method} / HTTP/1.1\r\n{headers}{key}\r\n{body}");
            caller.write(&text).await;
            let key = key.trim_end().chars().take(22).collect::<String>();
            let refusal = refusal(&mut caller).await;
            writeln!(report, "{what}, {method} {key}: {refusal}").unwrap();
        }
    }
    for (what, headers) in keyed {
        let mut caller = fixture.caller().await;
        let body = format!("65\r\n{}\r\n0\r\n\r\n", "x".repeat(0x65));
        let text = format!("POST / HTTP/1.1\r\n{headers}{KEY}\r\n{body}");
        caller.write(&text).await;
        let refusal = refusal(&mut caller).await;
        writeln!(report, "{what}: {refusal}").unwrap();
    }
    fixture.close().await;
    insta::assert_snapshot!(report);
}

/// Guards against a wrong outcome when the exchange thread has no place for another caller, or when the ring to the
/// dispatch thread has no room for the message.
#[tokio::test]
async fn overload_says_not_run_only_without_a_key() {
    let mut report = String::new();
    for (what, callers, capacity) in [("no place", 1, 8), ("full ring", 8, 1)] {
        let limit = Limit { callers, ..limit() };
        let mut fixture = Fixture::with_ring(limit, &[], capacity);
        let mut first = fixture.caller().await;
        first.write(&common::get("/")).await;
        let mut waiting = None;
        if what == "no place" {
            waiting = Some(fixture.dispatch.arrival().await);
        }
        for (method, key) in [("GET", ""), ("POST", KEY)] {
            let mut caller = fixture.caller().await;
            let text = format!("{method} / HTTP/1.1\r\n{HEADERS}{key}\r\n");
            caller.write(&text).await;
            let refusal = refusal(&mut caller).await;
            writeln!(report, "{what}, {method}: {refusal}").unwrap();
        }
        let waiting = match waiting {
            Some(waiting) => waiting,
            None => fixture.dispatch.arrival().await,
        };
        fixture.dispatch.refuse(waiting);
        first.answer().await;
        drop(first);
        fixture.close().await;
    }
    insta::assert_snapshot!(report);
}
