//! The request of a caller, made ready for one or more attempts.

use super::{
    Limit, RequestBody,
    upload::{
        Flow,
        Upload, //
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

/// Headers that belong to one connection, by RFC 9110 section 7.6.1. `Trailer` announces fields that are passed on.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Memory that held request bodies take, over all requests of a thread.
#[derive(Clone, Debug, Default)]
pub(super) struct Buffer(Rc<Cell<usize>>);

/// Part of the buffer that one request holds.
#[derive(Debug)]
struct Reservation {
    buffer: Buffer,
    limit: usize,
    bytes: usize,
}

/// A request that can be sent once or, if its body is held, several times.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) parts: Parts,
    body: Source,
    flow: Rc<Cell<Flow>>,
    _reservation: Option<Reservation>,
}

#[derive(Debug)]
enum Source {
    Held(Bytes),
    Streamed(Option<Incoming>),
}

/// The body can't be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    /// The caller did not send it.
    #[error("the body did not arrive completely within {0:?}: send it faster and to its end")]
    Broken(Duration),
    /// It is too large.
    #[error("the body of a request with a key has more than {0} bytes: send a smaller one")]
    TooLarge(usize),
    /// The buffer of the thread is full.
    #[error("the entry holds as many request bodies as it can: wait for the time in Retry-After")]
    Full,
}

impl Outgoing {
    /// Reads a small body into memory, if there is room; otherwise leaves it to be streamed.
    ///
    /// The body of a `keyed` request is always read, because its digest tells apart two requests with one key.
    pub(super) async fn new(
        mut parts: Parts,
        body: Incoming,
        keyed: bool,
        buffer: &Buffer,
        limit: &Limit,
    ) -> Result<Self, Error> {
        let size = body
            .size_hint()
            .exact()
            .and_then(|size| usize::try_from(size).ok());
        let most = match keyed {
            true => limit.keyed_body_bytes,
            false => limit.body_bytes,
        };
        if keyed && size.is_some_and(|size| size > most) {
            return Err(Error::TooLarge(most));
        }
        let mut reservation = Reservation::new(buffer.clone(), limit.buffer_bytes);
        let small = size.is_some_and(|size| size <= most && reservation.grow(size));
        if !keyed && !small {
            return Ok(Self {
                parts,
                body: Source::Streamed(Some(body)),
                flow: Rc::default(),
                _reservation: None,
            });
        }
        if keyed && !small && size.is_some() {
            return Err(Error::Full);
        }
        let whole = collect(body, size.is_none(), most, &mut reservation);
        let whole = tokio::time::timeout(limit.body_timeout, whole).await;
        let broken = Error::Broken(limit.body_timeout);
        let whole = whole.map_err(|_| broken)?;
        // Trailer fields are not held, so they are not announced either.
        parts.headers.remove(TRAILER);
        Ok(Self {
            parts,
            body: Source::Held(whole.map_err(|error| error.unwrap_or(broken))?),
            flow: Rc::default(),
            _reservation: Some(reservation),
        })
    }

    /// Makes the request for the next attempt, or `None` if the body was streamed before.
    pub(super) fn request(
        &mut self,
        account: Option<&Account>,
        until: Instant,
    ) -> Option<Request<RequestBody>> {
        let body = match &mut self.body {
            Source::Held(bytes) => Either::Left(Full::new(bytes.clone())),
            Source::Streamed(body) => {
                Either::Right(Upload::new(body.take()?, until, self.flow.clone()))
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        let headers = request.headers_mut();
        remove_connection_headers(headers);
        // The length is taken from the body as it was read, so that it can't contradict it; and the caller was told to
        // continue when its body was asked for.
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        if !headers.contains_key(HOST) {
            let host = self.parts.uri.host().unwrap_or("sassafrascrank");
            if let Ok(host) = HeaderValue::from_str(host) {
                headers.insert(HOST, host);
            }
        }
        if let Some(account) = account {
            // The upstream learns who the customer is, but not its credential.
            headers.remove(AUTHORIZATION);
            if let Ok(name) = HeaderValue::from_str(account.name.as_str()) {
                headers.insert(header::CUSTOMER, name);
            }
        }
        Some(request)
    }

    /// Takes the body back from a request that was not sent.
    pub(super) fn restore(&mut self, request: Request<RequestBody>) {
        if let Either::Right(body) = request.into_body() {
            self.body = Source::Streamed(Some(body.into_incoming()));
        }
    }

    /// Tells whether the caller is to blame for an attempt that ended with `result`.
    pub(super) fn is_blamed(&self, result: AttemptResult) -> bool {
        match self.flow.get() {
            Flow::Ready => false,
            Flow::Starved => result == AttemptResult::TimedOut,
            Flow::Broken => true,
        }
    }

    /// Tells whether the request can be sent again after it was sent.
    pub(super) fn is_held(&self) -> bool {
        matches!(self.body, Source::Held(_))
    }

    /// Returns a digest of the customer and of what makes two requests the same: method, target, pool and
    /// body, which is held for every request with a key.
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
            Source::Held(bytes) => &bytes[..],
            Source::Streamed(_) => &b""[..],
        };
        let mut hasher = Sha256::new();
        let customer = account.name.as_str().as_bytes();
        let method = self.parts.method.as_str().as_bytes();
        for part in [customer, method, target.as_bytes(), pool, body] {
            // The length keeps two neighbouring parts apart.
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
    fn new(buffer: Buffer, limit: usize) -> Self {
        Self {
            buffer,
            limit,
            bytes: 0,
        }
    }

    /// Reserves more bytes; tells whether there was room.
    fn grow(&mut self, bytes: usize) -> bool {
        let total = self.buffer.0.get().saturating_add(bytes);
        if total > self.limit {
            return false;
        }
        self.buffer.0.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffer.0.set(self.buffer.0.get() - self.bytes);
    }
}

/// Reads a whole body; reserves memory as it arrives if its length is not known. `None` as error: the caller broke off.
async fn collect(
    mut body: Incoming,
    grow: bool,
    most: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Option<Error>> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| None)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > most {
            return Err(Some(Error::TooLarge(most)));
        }
        if grow && !reservation.grow(data.len()) {
            return Err(Some(Error::Full));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Removes headers that belong to one connection, and those that the `Connection` header names.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
