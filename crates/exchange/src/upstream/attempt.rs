//! Single attempt to get an answer from an upstream.

use super::{
    Connection,
    Connections, //
};
use crate::server::RequestBody;
use core::net::SocketAddr;
use hyper::{
    Request,
    Response,
    body::Incoming, //
};
use sassafrascrank_route::AttemptResult;

/// Failure of an attempt before the head of an answer arrived.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent; contains the result of the attempt and the request.
    Unsent(AttemptResult, Box<Request<RequestBody>>),
    /// The request may have reached the upstream.
    Sent,
}

/// Sends a request and waits for the head of the answer.
///
/// A request that may run only once must use a `fresh` connection: the upstream may close an idle connection while the
/// request is written to it, and then it is unknown whether the request ran.
///
/// # Errors
///
/// Fails if no connection can be established, or if it breaks before the head of the answer. The error tells whether
/// the request may have reached the upstream.
pub async fn attempt(
    connections: &Connections,
    address: SocketAddr,
    request: Request<RequestBody>,
    fresh: bool,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let idle = match fresh {
        true => None,
        false => connections.take(address),
    };
    let mut connection = match idle {
        Some(connection) => connection,
        None => match connections.connect(address).await {
            Ok(connection) => connection,
            Err(_) => {
                return Err(Failure::Unsent(
                    AttemptResult::Unreachable,
                    Box::new(request),
                ));
            }
        },
    };
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => Err(match error.take_message() {
            Some(request) if connection.reused => {
                Failure::Unsent(AttemptResult::Stale, Box::new(request))
            }
            Some(request) => Failure::Unsent(AttemptResult::Unreachable, Box::new(request)),
            None => Failure::Sent,
        }),
    }
}
