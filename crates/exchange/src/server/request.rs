//! Request of a caller, prepared for one or more attempts.

use super::{
    Limit, RequestBody,
    upload::{
        Upload,
        UploadState, //
    },
};
use crate::caller::{
    Account,
    header, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::{
    BodyExt,
    Either,
    Full, //
};
use hyper::{
    HeaderMap,
    Request,
    Version,
    body::{
        Body as _,
        Incoming, //
    },
    header::{
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        HeaderName,
        HeaderValue,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    http::request::Parts, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::AttemptResult;
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    cell::Cell,
    rc::Rc, //
};
use tokio::time::Instant;

/// Hop-by-hop headers (RFC 9110 section 7.6.1). `Trailer` is not among them, because trailer fields are forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Memory in bytes that is reserved for held request bodies, over all requests of a thread.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferUsage(Rc<Cell<usize>>);

/// Share of the memory for held bodies that one request has reserved; dropping it returns the share.
#[derive(Debug)]
struct Reservation {
    buffer_usage: BufferUsage,
    limit: usize,
    bytes: usize,
}

/// Request that can be sent once or, if its body is held in memory, several times.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    pub(super) parts: Parts,
    body: BodySource,
    upload_state: Rc<Cell<UploadState>>,
    _reservation: Option<Reservation>,
}

#[derive(Debug)]
enum BodySource {
    Held(Bytes),
    Streamed(Option<Incoming>),
}

/// Reason why a request body can't be held in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    /// The caller did not send the complete body in time.
    #[error("the body did not arrive completely within {0:?}: send it faster and to its end")]
    Incomplete(Duration),
    /// The body is too large.
    #[error("the body of a request with a key has more than {0} bytes: send a smaller one")]
    TooLarge(usize),
    /// The memory for held bodies is used up.
    #[error("the entry holds as many request bodies as it can: wait for the time in Retry-After")]
    BufferFull,
}

impl OutgoingRequest {
    /// Reads a small body into memory if there is room; otherwise the body will be streamed.
    ///
    /// The body of a `keyed` request is always read, because its digest tells apart two requests with the same key.
    ///
    /// # Errors
    ///
    /// Fails if a body that must be held is incomplete or too large, or if there is no memory left for it.
    pub(super) async fn new(
        mut parts: Parts,
        body: Incoming,
        keyed: bool,
        buffer_usage: &BufferUsage,
        limit: &Limit,
    ) -> Result<Self, Error> {
        let size = body
            .size_hint()
            .exact()
            .and_then(|size| usize::try_from(size).ok());
        let max_bytes = match keyed {
            true => limit.keyed_body_bytes,
            false => limit.body_bytes,
        };
        if keyed && size.is_some_and(|size| size > max_bytes) {
            return Err(Error::TooLarge(max_bytes));
        }
        let mut reservation = Reservation::new(buffer_usage.clone(), limit.buffer_bytes);
        let small = size.is_some_and(|size| size <= max_bytes && reservation.try_reserve(size));
        if !keyed && !small {
            return Ok(Self {
                parts,
                body: BodySource::Streamed(Some(body)),
                upload_state: Rc::default(),
                _reservation: None,
            });
        }
        if keyed && !small && size.is_some() {
            return Err(Error::BufferFull);
        }
        let whole = collect(body, size.is_none(), max_bytes, &mut reservation);
        let whole = tokio::time::timeout(limit.body_timeout, whole).await;
        let incomplete = Error::Incomplete(limit.body_timeout);
        let whole = whole.map_err(|_| incomplete)?;
        // Trailer fields are dropped from a held body, so the header that announces them goes too.
        parts.headers.remove(TRAILER);
        Ok(Self {
            parts,
            body: BodySource::Held(whole.map_err(|error| error.unwrap_or(incomplete))?),
            upload_state: Rc::default(),
            _reservation: Some(reservation),
        })
    }

    /// Returns the request for the next attempt, or `None` if its body was streamed before.
    ///
    /// `account` is the customer to name to an upstream; without it, the credential is forwarded to the key's owner.
    pub(super) fn request(
        &mut self,
        account: Option<&Account>,
        deadline: Instant,
    ) -> Option<Request<RequestBody>> {
        let body = match &mut self.body {
            BodySource::Held(bytes) => Either::Left(Full::new(bytes.clone())),
            BodySource::Streamed(body) => Either::Right(Upload::new(
                body.take()?,
                deadline,
                self.upload_state.clone(),
            )),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        let headers = request.headers_mut();
        remove_hop_by_hop_headers(headers);
        // hyper sets the length from the body, so that the two can't contradict each other. It has also answered
        // `Expect: 100-continue` when it began to read the body.
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        if !headers.contains_key(HOST) {
            let host = self.parts.uri.host().unwrap_or("sassafrascrank");
            if let Ok(host) = HeaderValue::from_str(host) {
                headers.insert(HOST, host);
            }
        }
        if let Some(account) = account {
            // The upstream gets the name of the customer, but not its credential.
            headers.remove(AUTHORIZATION);
            if let Ok(name) = HeaderValue::from_str(account.name.as_str()) {
                headers.insert(header::CUSTOMER, name);
            }
        }
        Some(request)
    }

    /// Takes the streamed body back from a request that was not sent.
    pub(super) fn restore(&mut self, request: Request<RequestBody>) {
        if let Either::Right(body) = request.into_body() {
            self.body = BodySource::Streamed(Some(body.into_incoming()));
        }
    }

    /// Tells whether the caller, and not the upstream, caused an attempt to end with `result`.
    pub(super) fn is_caller_fault(&self, result: AttemptResult) -> bool {
        match self.upload_state.get() {
            UploadState::Ready => false,
            UploadState::Waiting => result == AttemptResult::TimedOut,
            UploadState::Broken => true,
        }
    }

    /// Tells whether the body is held in memory, so that the request can be sent more than once.
    pub(super) fn is_held(&self) -> bool {
        matches!(self.body, BodySource::Held(_))
    }

    /// Returns a digest of the customer, method, target, pool and body.
    ///
    /// The body is held for every request with a key.
    pub(super) fn fingerprint(&self, account: &Account) -> u128 {
        let target = self
            .parts
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let pool = self
            .parts
            .headers
            .get(header::POOL)
            .map_or(&b""[..], HeaderValue::as_bytes);
        let body = match &self.body {
            BodySource::Held(bytes) => &bytes[..],
            BodySource::Streamed(_) => &b""[..],
        };
        let mut hasher = Sha256::new();
        let customer = account.name.as_str().as_bytes();
        let method = self.parts.method.as_str().as_bytes();
        for part in [customer, method, target.as_bytes(), pool, body] {
            // The length prefix keeps the boundary between two parts unambiguous.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        digest
            .iter()
            .take(size_of::<u128>())
            .fold(0, |hash, byte| hash << 8 | u128::from(*byte))
    }
}

impl Reservation {
    fn new(buffer_usage: BufferUsage, limit: usize) -> Self {
        Self {
            buffer_usage,
            limit,
            bytes: 0,
        }
    }

    /// Reserves more bytes; returns whether there was room.
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let total = self.buffer_usage.0.get().saturating_add(bytes);
        if total > self.limit {
            return false;
        }
        self.buffer_usage.0.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffer_usage
            .0
            .set(self.buffer_usage.0.get() - self.bytes);
    }
}

/// Reads a body completely; with `reserve`, reserves memory for it as it arrives, because its length is not known.
///
/// # Errors
///
/// Fails with `None` if the caller did not send the whole body.
async fn collect(
    mut body: Incoming,
    reserve: bool,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Option<Error>> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| None)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max_bytes {
            return Err(Some(Error::TooLarge(max_bytes)));
        }
        if reserve && !reservation.try_reserve(data.len()) {
            return Err(Some(Error::BufferFull));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Returns the path and query of a request target.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
