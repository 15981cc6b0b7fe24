//! Validation of request heads, and many HTTP/2 streams on one connection.

mod common;

use common::{
    Fixture,
    within, //
};
use core::time::Duration;
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::{
    Method, Request,
    client::conn::http2,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use proptest::prelude::*;
use sassafrascrank_exchange::{
    Limit,
    caller::{
        Directory,
        Error,
        Head,
        is_keyed, //
    },
};
use sassafrascrank_standin::{
    Runner,
    runner::Settings, //
};

const HEADER_NAMES: [&str; 7] = [
    "authorization",
    "sassafrascrank-pool",
    "sassafrascrank-urgency",
    "sassafrascrank-timeout",
    "sassafrascrank-forwarded",
    "idempotency-key",
    "x-other",
];
const HEADER_VALUES: [&str; 9] = [
    "Bearer secret",
    "Bearer ",
    "quoting",
    "preview",
    "0",
    "18446744073709551616",
    "1000",
    "suva:01890000-0000-7000-8000-000000000001",
    "0000000000000001-1",
];

fn value() -> impl Strategy<Value = Vec<u8>> {
    let known =
        prop::sample::select(&HEADER_VALUES[..]).prop_map(|value| value.as_bytes().to_vec());
    prop_oneof![known, prop::collection::vec(any::<u8>(), 0..200)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(4_000) })]

    /// Guards against a head that causes a panic, an error that does not say what to change, and a non-idempotent
    /// request that is accepted without a key. proptest prints the smallest failing head and its seed.
    #[test]
    fn any_head_is_admitted_or_refused_with_a_remedy(
        post: bool,
        headers in prop::collection::vec((prop::sample::select(&HEADER_NAMES[..]), value()), 0..9),
    ) {
        let mut request = Request::new(());
        *request.method_mut() = if post { Method::POST } else { Method::GET };
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                request.headers_mut().append(HeaderName::from_static(name), value);
            }
        }
        let (parts, ()) = request.into_parts();
        let directory = Directory::from(&common::snapshot(3));
        match Head::parse(common::clock(), &parts, &directory) {
            Ok(head) => {
                prop_assert_eq!(head.account.name.as_str(), "vanua");
                prop_assert_eq!(head.key.is_some(), post);
                prop_assert_eq!(is_keyed(&parts), post);
            }
            Err(error) => {
                let text = error.to_string();
                let named = HEADER_NAMES.iter().any(|name| text.contains(name));
                let named = named || matches!(error, Error::Credential | Error::Pool(_));
                prop_assert!(named && text.contains(": "), "{}", text);
            }
        }
    }
}

/// Guards against HTTP/2 streams of one connection that receive each other's answers, or that block each other.
#[tokio::test]
async fn many_streams_of_one_connection_get_their_own_answers() {
    const STREAMS: usize = 150;
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let runner = Runner::start(Settings::default()).unwrap();
    let stream = tokio::net::TcpStream::connect(fixture.callers)
        .await
        .unwrap();
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let mut sender = sender.clone();
            tokio::spawn(async move {
                let request = Request::get(format!("http://entry/{index}"))
                    .header("authorization", "Bearer secret")
                    .header("sassafrascrank-pool", "quoting")
                    .body(Empty::<bytes::Bytes>::new())
                    .unwrap();
                let response = sender.send_request(request).await.unwrap();
                let body = response.into_body().collect().await.unwrap().to_bytes();
                (
                    String::from_utf8(body.to_vec()).unwrap(),
                    format!("GET /{index} "),
                )
            })
        })
        .collect();
    let mut waiting = Vec::new();
    for _ in 0..STREAMS {
        waiting.push(fixture.dispatch.arrival().await);
    }
    // Forwards the latest requests first, eight at a time, since the runner has eight slots.
    while !waiting.is_empty() {
        let rest = waiting.len().saturating_sub(8);
        let batch = waiting.split_off(rest);
        for caller in &batch {
            fixture
                .dispatch
                .forward(*caller, runner.address(), Duration::from_secs(60));
        }
        for _ in &batch {
            assert_eq!(fixture.dispatch.event().await, "finish Answered(0ns)");
        }
    }
    for stream in streams {
        let (answer, expected) = within("an answer", stream).await.unwrap();
        assert_eq!(answer, expected);
    }
    drop(sender);
    fixture.close().await;
}
