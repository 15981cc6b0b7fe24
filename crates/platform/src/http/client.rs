//! Client of the platform's log and host list.

use crate::{
    api::{
        Directory,
        Error,
        Host,
        Log,
        Page,
        RECORD_LIMIT,
        Stream, //
    },
    wire, //
};
use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_client::{
    Connection,
    Failure,
    Response, //
};
use serde::de::DeserializeOwned;

/// Time limits of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// For opening a connection.
    pub connect_timeout: Duration,
    /// From sending the request to the end of the answer.
    pub response_timeout: Duration,
}

impl Default for Limits {
    /// Leaves time for two tries within the 8 s in which a change must be in force.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            response_timeout: Duration::from_secs(3),
        }
    }
}

/// Largest answer in bytes; it holds a record of the largest size and its frame.
const RESPONSE_LIMIT: usize = 2 * RECORD_LIMIT;

/// Why there is no answer that can be used.
enum Trouble {
    /// The answer is larger than [`RESPONSE_LIMIT`].
    Large,
    /// Any other error.
    Call(Error),
}

impl From<Failure> for Trouble {
    fn from(failure: Failure) -> Self {
        Self::Call(match failure {
            Failure::ResponseTooLarge(_) => return Self::Large,
            Failure::Unsent(reason) => Error::Unavailable {
                sent: false,
                reason,
            },
            Failure::ConnectionLost(reason) => Error::Unavailable { sent: true, reason },
            Failure::Timeout { sent, after } => Error::Timeout { sent, after },
        })
    }
}

/// Client with one connection.
pub struct Client {
    connection: Connection,
    limits: Limits,
    /// Host list that was read last, with its version.
    hosts: Option<(u64, Vec<Host>)>,
}

impl Client {
    /// Makes a client that connects at its first call. It must be used on a `tokio` runtime.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self {
            connection: Connection::new(address),
            limits,
            hosts: None,
        }
    }

    /// Returns whether a connection is open, as far as the client has noticed.
    pub fn is_connected(&self) -> bool {
        self.connection.is_open()
    }

    async fn call(&mut self, method: Method, path: &str, body: Bytes) -> Result<Response, Trouble> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.connection.address().to_string());
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Trouble::Call(Error::malformed("path", path, error.to_string())))?;
        let limits = sassafrascrank_client::Limits {
            connect_timeout: self.limits.connect_timeout,
            response_timeout: self.limits.response_timeout,
            max_response_bytes: RESPONSE_LIMIT,
        };
        Ok(self.connection.call(request, limits).await?)
    }

    async fn get(&mut self, path: &str) -> Result<Response, Trouble> {
        self.call(Method::GET, path, Bytes::new()).await
    }
}

impl Log for Client {
    async fn append(&mut self, stream: Stream, body: &str) -> Result<u64, Error> {
        if body.len() > RECORD_LIMIT {
            let remedy = format!("keep records below {RECORD_LIMIT} bytes");
            let value = format!("{} bytes", body.len());
            return Err(Error::malformed("record", value, remedy));
        }
        let path = format!("/streams/{stream}/records");
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.call(Method::POST, &path, body).await;
        let answer = answer.map_err(|failure| convert(failure, true))?;
        let appended: wire::page::Appended = parse(&answer).map_err(|error| match error {
            // An answer that can't be read does not say whether the append took effect.
            Error::Malformed { .. } if answer.status.is_success() => Error::Unavailable {
                sent: true,
                reason: error.to_string(),
            },
            error => error,
        })?;
        Ok(appended.offset)
    }

    async fn read(&mut self, stream: Stream, from: u64, limit: usize) -> Result<Page, Error> {
        let mut limit = limit.max(1);
        loop {
            let path = format!("/streams/{stream}/records?from={from}&limit={limit}");
            let answer = match self.get(&path).await {
                // Large records may stand together, and one alone always fits.
                Err(Trouble::Large) if limit > 1 => {
                    limit /= 2;
                    continue;
                }
                answer => answer.map_err(|failure| convert(failure, false))?,
            };
            if answer.status == StatusCode::NO_CONTENT {
                return Ok(at_end(from));
            }
            if answer.status == StatusCode::NOT_FOUND {
                let expired: wire::page::Expired = parse_body(&answer)?;
                return Err(Error::Expired {
                    first: expired.first,
                });
            }
            let page: wire::page::Page = parse(&answer)?;
            let page = Page::try_from(page)?;
            return check_start(page, from);
        }
    }
}

impl Directory for Client {
    async fn hosts(&mut self) -> Result<Option<Vec<Host>>, Error> {
        let path = match &self.hosts {
            Some((version, _)) => format!("/hosts?since={version}"),
            None => "/hosts".to_owned(),
        };
        let answer = self.get(&path).await;
        let answer = answer.map_err(|failure| convert(failure, false))?;
        if answer.status == StatusCode::NO_CONTENT && self.hosts.is_some() {
            return Ok(None);
        }
        // After an answer that can't be used, the next call asks for the whole list.
        let known = self.hosts.take();
        let list: wire::host::List = parse(&answer)?;
        let version = list.version;
        let before = known
            .as_ref()
            .map(|(version, hosts)| (*version, hosts.as_slice()));
        let hosts = list.resolve(before)?;
        self.hosts = version.map(|version| (version, hosts.clone()));
        Ok(Some(hosts))
    }
}

/// Returns the page of a stream that ends before `from`.
fn at_end(from: u64) -> Page {
    Page {
        first: from,
        end: from.saturating_sub(1),
        records: Vec::new(),
    }
}

/// Checks that the records begin where they were asked for.
fn check_start(page: Page, from: u64) -> Result<Page, Error> {
    match page.records.first() {
        Some(item) if item.offset != from => {
            let remedy = format!("answer with records from {from} on");
            Err(Error::malformed("offset", item.offset, remedy))
        }
        None if page.first <= from && from <= page.end => {
            let remedy = format!("answer with the records from {from} to {}", page.end);
            Err(Error::malformed("records", "[]", remedy))
        }
        _ => Ok(page),
    }
}

fn convert(trouble: Trouble, append: bool) -> Error {
    match trouble {
        Trouble::Call(error) => error,
        Trouble::Large if append => Error::Unavailable {
            sent: true,
            reason: "the answer is too large".to_owned(),
        },
        Trouble::Large => {
            let value = format!("more than {RESPONSE_LIMIT} bytes");
            Error::malformed("body", value, "answer with fewer bytes")
        }
    }
}

/// Decodes a successful answer, and makes an error of any other.
fn parse<T: DeserializeOwned>(answer: &Response) -> Result<T, Error> {
    if answer.status.is_success() {
        return parse_body(answer);
    }
    let text = String::from_utf8_lossy(&answer.body);
    let busy = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    if answer.status.is_client_error() && !busy.contains(&answer.status) {
        let remedy = format!("the platform refused it with status {}", answer.status);
        return Err(Error::malformed("request", text, remedy));
    }
    Err(Error::Unavailable {
        // Status 503 says that the server could not handle the request; others leave it open.
        sent: answer.status != StatusCode::SERVICE_UNAVAILABLE,
        reason: format!("status {}", answer.status),
    })
}

fn parse_body<T: DeserializeOwned>(answer: &Response) -> Result<T, Error> {
    serde_json::from_slice(&answer.body).map_err(|error| {
        let text = String::from_utf8_lossy(&answer.body);
        Error::malformed("body", text, format!("answer as documented: {error}"))
    })
}
