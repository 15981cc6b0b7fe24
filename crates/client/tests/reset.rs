//! Cancellation of a request that timed out.

use bytes::Bytes;
use core::time::Duration;
use http_body_util::Full;
use sassafrascrank_client::{
    Connection,
    Failure,
    Limits, //
};
use std::{
    io::{
        ErrorKind,
        Read, //
    },
    net::TcpListener,
};

/// Guards against a request that the operating system delivers seconds after it timed out. The server sees a reset
/// instead of the end of the stream when the client discards unsent data.
#[test]
fn connection_of_a_timed_out_request_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut buffer = [0; 4_096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let result = runtime.block_on(async {
        let mut connection = Connection::new(address);
        let request = hyper::Request::get("/").body(Full::new(Bytes::new()));
        let limits = Limits {
            connect_timeout: Duration::from_secs(2),
            response_timeout: Duration::from_millis(50),
            transfer: None,
            max_response_bytes: 1_024,
        };
        let request = request.expect("the request is well-formed");
        connection
            .call(request, limits)
            .await
            .map(|answer| answer.status)
    });
    drop(runtime);
    insta::assert_debug_snapshot!(result, @r"
    Err(
        Timeout {
            sent: true,
            after: 50ms,
            received: 0,
        },
    )
    ");
    let failure: Result<_, Failure> = result;
    assert!(failure.is_err_and(|failure| failure.may_have_effect()));
    let seen = server.join().expect("the server does not panic");
    assert_eq!(seen, Some(ErrorKind::ConnectionReset));
}
