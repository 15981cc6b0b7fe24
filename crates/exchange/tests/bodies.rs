//! Streaming of large bodies in both directions.

mod common;

use common::{
    Fixture,
    HEADERS,
    Peer,
    forwarded,
    get,
    upstream,
    within, //
};
use core::{
    sync::atomic::Ordering,
    time::Duration, //
};
use sassafrascrank_exchange::Limit;
use tokio::io::AsyncWriteExt;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of a body that does not fit into the socket buffers of the kernel.
const LARGE_BODY_BYTES: usize = 64 * 1_024 * 1_024;
/// Most bytes of a body that the connections on both sides may buffer while the receiver does not read.
const MAX_BUFFERED_BYTES: usize = 48 * 1_024 * 1_024;

/// Sends other requests, so that the exchange thread runs often enough to read more of a body if it wants to.
async fn serve_other_requests(fixture: &mut Fixture) {
    let mut other = fixture.caller().await;
    for _ in 0..64 {
        other.write(&get("/turn")).await;
        let handle = fixture.dispatch.arrival().await;
        fixture.dispatch.refuse(handle);
        other.answer().await;
    }
}

/// Spawns a task that writes a large body, chunked or not; returns the task and the number of bytes written so far.
fn spawn_writer(
    mut peer: Peer,
    chunked: bool,
) -> (
    tokio::task::JoinHandle<Peer>,
    std::sync::Arc<core::sync::atomic::AtomicUsize>,
) {
    let taken = std::sync::Arc::new(core::sync::atomic::AtomicUsize::new(0));
    let count = taken.clone();
    let block = vec![b'x'; 64 * 1_024];
    let task = tokio::spawn(async move {
        for _ in 0..LARGE_BODY_BYTES / block.len() {
            if chunked {
                peer.write("10000\r\n").await;
            }
            peer.stream.write_all(&block).await.unwrap();
            if chunked {
                peer.write("\r\n").await;
            }
            count.fetch_add(block.len(), Ordering::Relaxed);
        }
        if chunked {
            peer.write("0\r\n\r\n").await;
        }
        peer
    });
    (task, taken)
}

/// Reads a large body to its end and checks its bytes.
async fn read_large_body(peer: &mut Peer, chunked: bool) {
    let expected = "x".repeat(1 << 20);
    let mut left = LARGE_BODY_BYTES;
    while left > 0 {
        let size = match chunked {
            true => loop {
                match peer.take(1).await.as_str() {
                    "\r" | "\n" => {}
                    digit => break read_size(peer, digit).await,
                }
            },
            false => left.min(64 * 1_024),
        };
        let part = peer.take(size).await;
        assert!(part == expected[..size], "the body has changed");
        left -= size;
    }
}

async fn read_size(peer: &mut Peer, first: &str) -> usize {
    let mut digits = first.to_owned();
    loop {
        match peer.take(1).await.as_str() {
            "\r" => break,
            digit => digits.push_str(digit),
        }
    }
    peer.take("\n".len()).await;
    usize::from_str_radix(&digits, 16).unwrap()
}

/// Guards against an exchange thread that buffers a streamed body in memory while the receiver does not read, and
/// against lost or changed bytes.
#[tokio::test]
async fn large_bodies_are_streamed_with_backpressure() {
    let mut fixture = Fixture::start(Limit::default(), &[]);
    let (listener, _) = upstream().await;
    for chunked in [false, true] {
        let length = match chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {LARGE_BODY_BYTES}"),
        };
        let text = format!("PUT / HTTP/1.1\r\n{HEADERS}{length}\r\n\r\n");
        let (caller, mut upstream, _) =
            forwarded(&mut fixture, &listener, &text, LONG_TIMEOUT).await;
        let (caller, taken) = spawn_writer(caller, chunked);
        serve_other_requests(&mut fixture).await;
        let buffered = taken.load(Ordering::Relaxed);
        assert!(
            buffered < MAX_BUFFERED_BYTES,
            "{buffered} bytes of a request taken, chunked={chunked}"
        );
        read_large_body(&mut upstream, chunked).await;
        let mut caller = within("the caller", caller).await.unwrap();
        if chunked {
            upstream.take("\r\n0\r\n\r\n".len()).await;
        }
        upstream
            .write(&format!("HTTP/1.1 200 OK\r\n{length}\r\n\r\n"))
            .await;
        let (upstream, taken) = spawn_writer(upstream, chunked);
        caller.head().await;
        serve_other_requests(&mut fixture).await;
        let buffered = taken.load(Ordering::Relaxed);
        assert!(
            buffered < MAX_BUFFERED_BYTES,
            "{buffered} bytes of an answer taken, chunked={chunked}"
        );
        read_large_body(&mut caller, chunked).await;
        within("the upstream", upstream).await.unwrap();
        assert_eq!(fixture.dispatch.event().await, "finish Answered(0ns)");
    }
    fixture.close().await;
}
