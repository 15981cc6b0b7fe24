//! Limits of the pool, and closing of its idle connections.

use bytes::Bytes;
use core::time::Duration;
use http_body_util::Full;
use sassafrascrank_client::{
    Failure,
    Limits,
    Pool, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
};

/// Guards against requests that queue behind an unanswered one and are sent long after the caller needed them.
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
            connect_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_secs(10),
            transfer: None,
            max_response_bytes: 1_024,
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
        panic!("the server never responds, but the result is {failure:?}");
    };
    assert!(matches!(failure, Failure::Unsent(_)), "{failure:?}");
}

/// Guards against open file descriptors for addresses that are no longer called.
#[test]
fn idle_connections_are_closed_on_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || {
        let mut closed = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("the client connects");
            let mut buffer = [0; 1_024];
            let read = stream.read(&mut buffer).expect("the request arrives");
            assert!(read > 0, "the request is not empty");
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).expect("the client reads");
            // The end of the stream, or a reset, shows that the client has closed the connection.
            closed.push(matches!(stream.read(&mut buffer), Ok(0) | Err(_)));
        }
        closed
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let pool = Pool::new(1, Duration::from_secs(10));
        let limits = Limits {
            connect_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_secs(10),
            transfer: None,
            max_response_bytes: 1_024,
        };
        for close in [
            |pool: &Pool, address| pool.close_idle(address),
            |pool: &Pool, _| pool.close_all_idle(),
        ] {
            let request = hyper::Request::get("/").body(Full::new(Bytes::new()));
            let answer = pool
                .call(
                    address,
                    request.expect("the request is well-formed"),
                    limits,
                )
                .await;
            assert_eq!(answer.expect("the server answers").status, 200);
            close(&pool, address);
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(server.join().expect("the server ends"), [true, true]);
}
