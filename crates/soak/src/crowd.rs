//! Clients whose bodies stop just short of their end.

use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout_at, //
    },
};

/// Largest body that an entry accepts.
const BODY_BYTES: usize = 262_144;
/// Time until a client whose connection was closed opens another one.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Sizes of the pieces of a body without a declared length.
const CHUNK_BYTES: [usize; 2] = [32, 65_536];

/// Starts clients that send to an entry until `end`.
pub fn start(entry: SocketAddr, clients: usize, end: Instant) {
    for client in 0..clients {
        spawn_local(async move {
            let request = request(client);
            while Instant::now() < end {
                // A client that can't connect, or whose connection the entry closes, tries again.
                let _ = timeout_at(end, send(entry, &request)).await;
                sleep(RETRY_DELAY).await;
            }
        });
    }
}

/// Sends a request and keeps its connection open until the entry closes it.
async fn send(entry: SocketAddr, request: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(request).await?;
    let mut answer = [0; 1_024];
    while stream.read(&mut answer).await? > 0 {}
    Ok(())
}

/// Returns a request without its end. The clients take turns between a declared length and chunks.
fn request(client: usize) -> Vec<u8> {
    let length = match client % 2 {
        0 => format!("content-length: {BODY_BYTES}"),
        _ => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /quote-a/{client:016x} HTTP/1.1\r\nhost: jobs.example\r\nx-sassafrascrank-deadline-ms: 3000\r\n{length}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    let body = vec![b' '; BODY_BYTES - 1];
    if client.is_multiple_of(2) {
        request.extend(body);
        return request;
    }
    for chunk in body.chunks(CHUNK_BYTES[client / 2 % CHUNK_BYTES.len()]) {
        request.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        request.extend(chunk);
        request.extend(b"\r\n");
    }
    request
}
