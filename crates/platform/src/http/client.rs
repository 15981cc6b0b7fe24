//! HTTP client of the platform's log and host list.

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
    /// Time for opening a connection.
    pub connect_timeout: Duration,
    /// Time from sending the request to the end of the response.
    pub response_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits that leave time for two attempts within the 8 s in which a change must be in force.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            response_timeout: Duration::from_secs(3),
        }
    }
}

/// Largest response in bytes. A record of the largest size and its JSON frame fit into it.
const MAX_RESPONSE_BYTES: usize = 2 * RECORD_LIMIT;

/// Why a call returned no usable response.
enum CallError {
    /// The response exceeds [`MAX_RESPONSE_BYTES`].
    ResponseTooLarge,
    /// Any other error.
    Call(Error),
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> Self {
        Self::Call(match failure {
            Failure::ResponseTooLarge(_) => return Self::ResponseTooLarge,
            Failure::Unsent(fault) => Error::Unavailable {
                sent: false,
                reason: fault.detail,
            },
            Failure::ConnectionLost(fault) => Error::Unavailable {
                sent: true,
                reason: fault.detail,
            },
            Failure::Timeout { sent, after, .. } => Error::Timeout { sent, after },
        })
    }
}

/// Client of the platform with one connection.
pub struct Client {
    connection: Connection,
    limits: Limits,
    /// Version and hosts of the list that was read last.
    hosts: Option<(u64, Vec<Host>)>,
}

impl Client {
    /// Creates a client that connects at its first call. It must be used on a `tokio` runtime.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self {
            connection: Connection::new(address),
            limits,
            hosts: None,
        }
    }

    /// Returns whether the connection is open. A closing by the platform may not have been noticed yet.
    pub fn is_connected(&self) -> bool {
        self.connection.is_open()
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.connection.address().to_string());
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| CallError::Call(Error::malformed("path", path, error.to_string())))?;
        let limits = sassafrascrank_client::Limits {
            connect_timeout: self.limits.connect_timeout,
            response_timeout: self.limits.response_timeout,
            transfer: None,
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        Ok(self.connection.call(request, limits).await?)
    }

    async fn get(&mut self, path: &str) -> Result<Response, CallError> {
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
        let response = self.call(Method::POST, &path, body).await;
        let response = response.map_err(|error| api_error(error, true))?;
        let appended: wire::page::Appended = parse(&response).map_err(|error| match error {
            // A response that can't be decoded does not tell whether the append took effect.
            Error::Malformed { .. } if response.status.is_success() => Error::Unavailable {
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
            let response = match self.get(&path).await {
                // Several large records may exceed the limit together; a single record never does.
                Err(CallError::ResponseTooLarge) if limit > 1 => {
                    limit /= 2;
                    continue;
                }
                response => response.map_err(|error| api_error(error, false))?,
            };
            if response.status == StatusCode::NO_CONTENT {
                return Ok(at_end(from));
            }
            if response.status == StatusCode::NOT_FOUND {
                let expired: wire::page::Expired = parse_body(&response)?;
                return Err(Error::Expired {
                    first: expired.first,
                });
            }
            let page: wire::page::Page = parse(&response)?;
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
        let response = self.get(&path).await;
        let response = response.map_err(|error| api_error(error, false))?;
        if response.status == StatusCode::NO_CONTENT && self.hosts.is_some() {
            return Ok(None);
        }
        // If the response is unusable, the next call requests the whole list.
        let known = self.hosts.take();
        let list: wire::host::List = parse(&response)?;
        let version = list.version;
        let before = known
            .as_ref()
            .map(|(version, hosts)| (*version, hosts.as_slice()));
        let hosts = list.resolve(before)?;
        self.hosts = version.map(|version| (version, hosts.clone()));
        Ok(Some(hosts))
    }
}

/// Returns the empty page of a stream that ends directly before `from`.
fn at_end(from: u64) -> Page {
    Page {
        first: from,
        end: from.saturating_sub(1),
        records: Vec::new(),
    }
}

/// Checks that the records begin at the requested offset.
fn check_start(page: Page, from: u64) -> Result<Page, Error> {
    match page.records.first() {
        Some(item) if item.offset != from => {
            let remedy = format!("respond with records from {from} on");
            Err(Error::malformed("offset", item.offset, remedy))
        }
        None if page.first <= from && from <= page.end => {
            let remedy = format!("respond with the records from {from} to {}", page.end);
            Err(Error::malformed("records", "[]", remedy))
        }
        _ => Ok(page),
    }
}

fn api_error(error: CallError, append: bool) -> Error {
    match error {
        CallError::Call(error) => error,
        CallError::ResponseTooLarge if append => Error::Unavailable {
            sent: true,
            reason: "the response is too large".to_owned(),
        },
        CallError::ResponseTooLarge => {
            let value = format!("more than {MAX_RESPONSE_BYTES} bytes");
            Error::malformed("body", value, "respond with fewer bytes")
        }
    }
}

/// Decodes a successful response, and converts any other into an error.
fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    if response.status.is_success() {
        return parse_body(response);
    }
    let text = String::from_utf8_lossy(&response.body);
    let busy = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    if response.status.is_client_error() && !busy.contains(&response.status) {
        let remedy = format!("the platform refused it with status {}", response.status);
        return Err(Error::malformed("request", text, remedy));
    }
    Err(Error::Unavailable {
        // Status 503 means that the request had no effect; other statuses leave that open.
        sent: response.status != StatusCode::SERVICE_UNAVAILABLE,
        reason: format!("status {}", response.status),
    })
}

fn parse_body<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    serde_json::from_slice(&response.body).map_err(|error| {
        let text = String::from_utf8_lossy(&response.body);
        Error::malformed("body", text, format!("respond as documented: {error}"))
    })
}
