//! Requests that find all connections in use.

use bytes::Bytes;
use core::time::Duration;
use http_body_util::Full;
use sassafrascrank_client::{
    Failure,
    Limits,
    Pool, //
};
use std::net::TcpListener;

/// Guards against requests that pile up behind one without an answer and are sent long after they made sense.
#[test]
fn request_without_a_free_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let result = runtime.block_on(async {
        let pool = Pool::new(1, Duration::from_millis(30));
        let limits = Limits {
            connect: Duration::from_secs(10),
            answer: Duration::from_secs(10),
            bytes: 1_024,
        };
        let request = || {
            let request = hyper::Request::get("/").body(Full::new(Bytes::new()));
            request.expect("the request is well-formed")
        };
        tokio::select! {
            biased;
            _ = pool.call(address, request(), limits) => None,
            result = pool.call(address, request(), limits) => Some(result),
        }
    });
    let failure = result.map(|result| result.map(|answer| answer.status));
    let Some(Err(failure)) = failure else {
        panic!("nobody answers, but {failure:?}");
    };
    assert!(matches!(failure, Failure::Unsent(_)), "{failure:?}");
}
