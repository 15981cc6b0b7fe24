//! Concurrent reads from the admin endpoints of several entries.

use super::{
    Connection,
    Failure, //
};
use bytes::Bytes;
use core::{
    net::SocketAddr,
    time::Duration, //
};
use http_body_util::Full;
use hyper::{
    Request,
    StatusCode, //
};
use std::io;
use tokio::{
    task::JoinSet,
    time::timeout, //
};

/// Longest time until the whole answer of an entry has arrived, connection included.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Body of the answer of an entry, or the error.
#[derive(Debug)]
pub struct Reply {
    /// Address of the admin endpoint.
    pub address: SocketAddr,
    /// Body of the answer.
    pub body: Result<Bytes, Error>,
}

/// Failure to read from an entry.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection can't be opened.
    #[error("can't connect ({0}); check the address and whether the entry runs")]
    Connect(#[from] io::Error),
    /// The connection broke.
    #[error("{0}; try again")]
    Broken(#[from] Failure),
    /// The answer took too long.
    #[error("no whole answer within {} s; try again", ANSWER_LIMIT.as_secs())]
    Late,
    /// The status is not 200 OK; holds the status and the body.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
    /// The request can't be made.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The body can't be decoded.
    #[error("the answer can't be read ({0}); use a tool of the same version as the entry")]
    Body(String),
}

/// Reads `path` from all addresses concurrently; the replies are in the order of the addresses.
///
/// Must run within a `LocalSet`.
pub async fn read_all(addresses: &[SocketAddr], path: &str) -> Vec<Reply> {
    let mut reads = JoinSet::new();
    for (index, address) in addresses.iter().copied().enumerate() {
        let path = path.to_owned();
        reads.spawn_local(async move {
            let body = timeout(ANSWER_LIMIT, read(address, &path)).await;
            let body = body.unwrap_or(Err(Error::Late));
            (index, Reply { address, body })
        });
    }
    let mut replies = reads.join_all().await;
    replies.sort_by_key(|(index, _)| *index);
    replies.into_iter().map(|(_, reply)| reply).collect()
}

async fn read(address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))?;
    let connection = Connection::open(address).await?;
    let (answer, _) = connection.send(request).await?;
    if answer.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
        return Err(Error::Status(answer.status, text));
    }
    Ok(answer.body)
}
