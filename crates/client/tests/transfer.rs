//! Time limits of large response bodies.

use bytes::Bytes;
use core::time::Duration;
use http_body_util::Full;
use sassafrascrank_client::{
    Connection,
    Failure,
    Limits,
    Response,
    Transfer, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread,
};

/// A time limit that no test reaches.
const FAR: Duration = Duration::from_secs(60);
/// Number of bytes that the server announces.
const BODY_BYTES: usize = 1_000;

/// Starts a server that sends one byte of the body after each pause, and then leaves the connection open.
fn serve(bytes: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).expect("the request arrives");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        let mut sent = stream.write_all(head.as_bytes());
        for _ in 0..bytes {
            thread::sleep(pause);
            sent = sent.and_then(|()| stream.write_all(b"x"));
        }
        // Ends once the client closes the connection.
        let _ = stream.read(&mut buffer);
    });
    address
}

fn call(address: SocketAddr, transfer: Transfer) -> Result<Response, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let limits = Limits {
        connect_timeout: FAR,
        response_timeout: FAR,
        transfer: Some(transfer),
        max_response_bytes: BODY_BYTES,
    };
    let request = hyper::Request::get("/").body(Full::new(Bytes::new()));
    let request = request.expect("the request is well-formed");
    runtime.block_on(Connection::new(address).call(request, limits))
}

/// Guards against a read that waits for the rest of a body until the connection fails, which takes seconds after a network
/// partition.
#[test]
fn transfer_that_stalls_is_given_up() {
    let address = serve(10, Duration::ZERO);
    let transfer = Transfer {
        stall_timeout: Duration::from_millis(200),
        total_timeout: FAR,
    };
    let failure = call(address, transfer).map(|response| response.status);
    insta::assert_debug_snapshot!(failure, @r"
    Err(
        Timeout {
            sent: true,
            after: 200ms,
            received: 10,
        },
    )
    ");
}

/// Guards against a read that never ends, because a server sends a body without an end slowly.
#[test]
fn transfer_without_an_end_is_given_up() {
    let address = serve(BODY_BYTES - 1, Duration::from_millis(1));
    let transfer = Transfer {
        stall_timeout: FAR,
        total_timeout: Duration::from_millis(100),
    };
    let failure = call(address, transfer).map(|response| response.status);
    let Err(Failure::Timeout { sent, after, .. }) = failure else {
        panic!("the body has no end, but the result is {failure:?}");
    };
    assert_eq!((sent, after), (true, transfer.total_timeout));
}
