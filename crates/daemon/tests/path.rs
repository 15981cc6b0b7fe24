//! Requests from the caller through one entry to an upstream, over real sockets.

mod common;

use common::{
    Deployment,
    fresh_key,
    request,
    send,
    wait_until,
    wait_until_keyed, //
};
use std::fmt::Write;

/// Name, method, path and changed headers of a request.
type Case = (
    &'static str,
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
);

/// Guards against valid requests that do not reach an upstream unchanged, and against refusals with a wrong status,
/// reason or outcome.
#[tokio::test]
async fn valid_requests_reach_an_upstream_and_invalid_ones_are_refused_with_the_reason() {
    let deployment = Deployment::start().await;
    let entry = deployment.entry("e1").await;
    let cases: &[Case] = &[
        ("plain", "GET", "/quote", &[]),
        ("no credential", "GET", "/quote", &[("authorization", "")]),
        (
            "wrong credential",
            "GET",
            "/quote",
            &[("authorization", "Bearer guess")],
        ),
        ("no pool", "GET", "/quote", &[("sassafrascrank-pool", "")]),
        (
            "foreign pool",
            "GET",
            "/quote",
            &[("sassafrascrank-pool", "brisa")],
        ),
        (
            "unknown class",
            "GET",
            "/quote",
            &[("sassafrascrank-urgency", "now")],
        ),
        (
            "bad timeout",
            "GET",
            "/quote",
            &[("sassafrascrank-timeout", "-3")],
        ),
        ("no key", "POST", "/order", &[]),
    ];
    let mut report = String::new();
    for (name, method, path, changes) in cases {
        let answer = send(entry.callers(), request(method, path, changes, "body"))
            .await
            .unwrap();
        writeln!(
            report,
            "{name}: {} {} {}",
            answer.status,
            answer.outcome(),
            answer.body
        )
        .unwrap();
    }
    entry.shut_down().unwrap();
    insta::assert_snapshot!(report);
}

/// Guards against a second run of a non-idempotent request whose caller retries during or after the first run.
#[tokio::test]
async fn a_repeated_key_gets_the_same_answer_and_runs_once() {
    let deployment = Deployment::start().await;
    let entry = deployment.entry("e1").await;
    let key = fresh_key();
    let order = |body: &str| {
        let headers = [
            ("idempotency-key", key.as_str()),
            ("standin-service-ms", "200"),
        ];
        request("POST", "/order", &headers, body)
    };
    let address = entry.callers();
    wait_until_keyed(address).await;
    let (first, second) = tokio::join!(
        send(address, order("timber")),
        send(address, order("timber"))
    );
    let third = send(address, order("timber")).await;
    let other = send(address, order("twice as much")).await;
    let mut report = String::new();
    for (name, answer) in [
        ("first", first),
        ("second", second),
        ("third", third),
        ("other", other),
    ] {
        let answer = answer.unwrap();
        let body = answer.body.split("\"detail\"").next().unwrap();
        writeln!(
            report,
            "{name}: {} {} {body}",
            answer.status,
            answer.outcome()
        )
        .unwrap();
    }
    let runs: u32 = deployment.runs(&key);
    writeln!(report, "runs: {runs}").unwrap();
    entry.shut_down().unwrap();
    insta::assert_snapshot!(report);
}

/// Guards against operator endpoints without the status and events of a request, and against an answer with a known
/// length that counts as cancelled because the server does not poll its body to the end.
#[tokio::test]
async fn operator_endpoints_show_status_time_line_and_metrics() {
    let deployment = Deployment::start().await;
    let entry = deployment.entry("e1").await;
    let answer = send(entry.callers(), request("GET", "/quote", &[], ""))
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    let mut report = String::new();
    for path in ["/healthz", "/status", "/timeline?limit=2000", "/metrics"] {
        let answer = wait_until(entry.admin(), path, |answer| {
            match path {
                "/healthz" => true,
                // The status is updated each second; the first one may precede the configuration and lack its pools.
                "/status" => answer.body.contains("\"pool\":\"quoting\""),
                _ => answer.body.contains("answered"),
            }
        })
        .await;
        let expected = [
            "\"customer\":\"vanua\"",
            "\"kind\":\"granted\"",
            "\"upstream\":\"w",
            "\"pool\":\"quoting\"",
            "configuration",
        ];
        let shown: Vec<_> = expected
            .iter()
            .filter(|text| answer.body.contains(**text))
            .collect();
        writeln!(report, "{path}: {} {shown:?}", answer.status).unwrap();
    }
    entry.shut_down().unwrap();
    insta::assert_snapshot!(report);
}
