//! Client that calls one peer.

use super::{
    Error,
    connection::{
        Bound,
        Connection,
        Failure, //
    },
};
use crate::{
    message::{
        self,
        KnownState,
        Report,
        State, //
    },
    wire::{
        self,
        HANDOVER_LIMIT,
        REPORT_LIMIT,
        STATE_LIMIT, //
    },
};
use bytes::Bytes;
use core::{
    net::SocketAddr,
    time::Duration, //
};
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header, //
};

/// Attempts of one call. The second one is made only if the peer had closed the idle connection before.
const ATTEMPT_LIMIT: usize = 2;

/// Time limits of one client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Time for opening a connection.
    pub connect: Duration,
    /// Time from sending a report to the end of its answer.
    pub report: Duration,
    /// Time from sending a handover or a request for state to the end of its answer.
    pub transfer: Duration,
}

impl Limit {
    /// The default bounds. The exchange of a report ends before the next report is due.
    pub const DEFAULT: Self = Self {
        connect: Duration::from_millis(500),
        report: Duration::from_secs(1),
        transfer: Duration::from_secs(5),
    };
}

impl Default for Limit {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Client that keeps one connection for its next call.
///
/// It makes one call at a time; a process that hands over while it reports uses two clients. It must be used on a
/// `tokio` runtime.
pub struct Client {
    address: SocketAddr,
    limit: Limit,
    connection: Option<Connection>,
}

impl Client {
    /// Makes a client that connects with its first call.
    pub const fn new(address: SocketAddr, limit: Limit) -> Self {
        Self {
            address,
            limit,
            connection: None,
        }
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a report and returns the report with which the peer answers.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable, the time runs out, the peer refuses the report, or the report or its answer is
    /// malformed.
    pub async fn report(&mut self, report: &Report) -> Result<Report, Error> {
        let bound = Bound {
            time: self.limit.report,
            bytes: REPORT_LIMIT,
        };
        let encode = |connection: &mut Connection| {
            let report = wire::Report::new(report, &mut connection.state);
            let body = wire::encode(&report, REPORT_LIMIT)?;
            request(Method::POST, "/report", body)
        };
        let (mut connection, _, body) = self.call(encode, bound).await?;
        let answer: wire::Report = wire::decode(&body, REPORT_LIMIT)?;
        let answer = answer.check(&mut connection.state)?;
        self.connection = Some(connection);
        Ok(answer)
    }

    /// Asks for state that is newer than `after`; older state in the answer is removed.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable, the time runs out, the peer refuses, or the answer is malformed.
    pub async fn state(&mut self, after: KnownState) -> Result<State, Error> {
        let bound = Bound {
            time: self.limit.transfer,
            bytes: STATE_LIMIT,
        };
        let KnownState {
            config,
            member,
            hosts,
        } = after;
        let path = format!("/state?config_after={config}&member_after={member}&hosts={hosts}");
        let encode = |_: &mut Connection| request(Method::GET, &path, Vec::new());
        let (connection, status, body) = self.call(encode, bound).await?;
        if status == StatusCode::NO_CONTENT {
            self.connection = Some(connection);
            return Ok(State::default());
        }
        let state: wire::State = wire::decode(&body, STATE_LIMIT)?;
        let state = State::try_from(state)?;
        self.connection = Some(connection);
        Ok(state.newer_than(after))
    }

    /// Hands over the outcomes of keyed requests.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable, the time runs out, the handover is too large, or the peer refuses it.
    pub async fn hand_over(&mut self, handover: &message::Handover) -> Result<(), Error> {
        let bound = Bound {
            time: self.limit.transfer,
            bytes: REPORT_LIMIT,
        };
        let body = wire::encode(&wire::Handover::from(handover), HANDOVER_LIMIT)?;
        let body = Bytes::from(body);
        let encode = |_: &mut Connection| request(Method::POST, "/handover", body.clone());
        let (connection, ..) = self.call(encode, bound).await?;
        self.connection = Some(connection);
        Ok(())
    }

    /// Makes a call. The connection is returned only with a successful answer, and is closed otherwise.
    async fn call(
        &mut self,
        encode: impl Fn(&mut Connection) -> Result<Request<Full<Bytes>>, Error>,
        bound: Bound,
    ) -> Result<(Connection, StatusCode, Bytes), Error> {
        let mut attempts = ATTEMPT_LIMIT;
        loop {
            attempts -= 1;
            let mut connection = self.take_connection().await?;
            let request = encode(&mut connection)?;
            match connection.call(request, bound).await {
                Ok((status, body)) if status.is_success() => return Ok((connection, status, body)),
                Ok((status, body)) => {
                    return Err(Error::Refused {
                        status: status.as_u16(),
                        reason: String::from_utf8_lossy(&body).into_owned(),
                    });
                }
                Err(Failure::Unsent(_)) if attempts > 0 => {}
                Err(Failure::Unsent(error) | Failure::Call(error)) => return Err(error),
            }
        }
    }

    /// Returns the kept connection if it is still open, or a new one.
    async fn take_connection(&mut self) -> Result<Connection, Error> {
        let kept = self.connection.take();
        match kept.filter(|connection| !connection.is_closed()) {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address, &self.limit).await,
        }
    }
}

fn request(
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, Error> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        // The request target has no authority; RFC 9112 requires an empty `Host` value in that case.
        .header(header::HOST, "")
        .body(Full::new(body.into()));
    Ok(request.map_err(|error| wire::Error::new("path", path, error.to_string()))?)
}
