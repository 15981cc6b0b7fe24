//! Validation of the head of a caller's request.

use super::{
    Account,
    Directory,
    header, //
};
use hyper::{
    HeaderMap,
    Method,
    header::{
        AUTHORIZATION,
        HeaderName,
        HeaderValue, //
    },
    http::request::Parts, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::key::{
    self,
    Key, //
};
use sassafrascrank_observe::event::request;

/// Longest timeout in milliseconds that a caller may ask for: one day.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;

/// Parts of a request's head that decide about its admission.
#[derive(Clone, Debug)]
pub struct Head {
    /// Customer that sent the request.
    pub account: Account,
    /// Pool whose upstreams may answer it.
    pub pool: pool::Key,
    /// Urgency class.
    pub class: class::Index,
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Idempotency key; present if the request may run only once.
    pub key: Option<Key>,
    /// Id that another entry assigned before it forwarded the request.
    pub forwarded: Option<request::Id>,
}

/// Reason why the head of a request is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The credential is missing, or no contract has it.
    #[error("the credential is missing or unknown: send `Authorization: Bearer <credential>`")]
    Credential,
    /// A header is missing.
    #[error("header {0} is missing: {1}")]
    Missing(HeaderName, &'static str),
    /// A header has a value that is not allowed.
    #[error("header {0} has the value {1:?}: {2}")]
    Value(HeaderName, String, &'static str),
    /// A header that is allowed once occurs several times.
    #[error("header {0} came more than once: send it once")]
    Repeated(HeaderName),
    /// The idempotency key is not usable.
    #[error("header idempotency-key: {0}")]
    Key(#[from] key::Error),
    /// The contract does not cover the pool.
    #[error("pool {0:?} is not part of the contract: name one of the contract's pools")]
    Pool(String),
}

impl Error {
    /// Returns the reason code of the refusal.
    pub fn reason(&self) -> Reason {
        match self {
            Self::Credential => Reason::Unauthenticated,
            Self::Key(_) => Reason::KeyRequired,
            Self::Missing(name, _) if *name == header::IDEMPOTENCY_KEY => Reason::KeyRequired,
            Self::Missing(..) | Self::Value(..) | Self::Repeated(_) => Reason::Malformed,
            Self::Pool(_) => Reason::PoolUnknown,
        }
    }
}

impl Head {
    /// Checks the head of a request that arrives at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the credential is unknown, the contract does not cover the pool, or a header is missing, repeated or
    /// invalid. The error names the header and the remedy.
    pub fn parse(now: Time, parts: &Parts, directory: &Directory) -> Result<Self, Error> {
        let headers = &parts.headers;
        let account = authenticate(headers, directory)?;
        let pool = parse_pool(headers, directory, account)?;
        let class = parse_class(headers, account)?;
        let idempotent = is_idempotent(&parts.method);
        let key = match idempotent {
            true => None,
            false => Some(parse_key(headers)?),
        };
        Ok(Self {
            account: account.clone(),
            pool,
            class,
            deadline: parse_deadline(now, headers)?,
            idempotent,
            key,
            forwarded: parse_forwarded(headers)?,
        })
    }
}

/// Tells whether a request is non-idempotent and has a valid idempotency key.
///
/// An earlier attempt of such a request may have run, and only the owner of the key knows. So the request is never
/// refused as "not run" before the owner was asked.
pub fn is_keyed(parts: &Parts) -> bool {
    let mut values = parts.headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let usable = |value: &HeaderValue| value.to_str().is_ok_and(|key| key.parse::<Key>().is_ok());
    !is_idempotent(&parts.method) && values.any(usable)
}

/// Tells whether a request with this method may run more than once, by RFC 9110 section 9.2.2.
fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

fn authenticate<'a>(headers: &HeaderMap, directory: &'a Directory) -> Result<&'a Account, Error> {
    let value = single_value(headers, &AUTHORIZATION)?.ok_or(Error::Credential)?;
    let credential = value
        .as_bytes()
        .strip_prefix(b"Bearer ")
        .ok_or(Error::Credential)?;
    directory.authenticate(credential).ok_or(Error::Credential)
}

fn parse_pool(
    headers: &HeaderMap,
    directory: &Directory,
    account: &Account,
) -> Result<pool::Key, Error> {
    let remedy = "name a pool of the contract";
    let name = text_value(headers, &header::POOL)?.ok_or(Error::Missing(header::POOL, remedy))?;
    let covered = account
        .contract
        .shares
        .iter()
        .any(|(pool, _)| pool.as_str() == name);
    let pool = directory.pool(name).filter(|_| covered);
    pool.ok_or_else(|| Error::Pool(name.chars().take(80).collect()))
}

fn parse_class(headers: &HeaderMap, account: &Account) -> Result<class::Index, Error> {
    let Some(name) = text_value(headers, &header::URGENCY)? else {
        return Ok(class::Index(0));
    };
    let remedy = "name an urgency class of the contract";
    account
        .contract
        .class(name)
        .ok_or_else(|| Error::Value(header::URGENCY, name.to_owned(), remedy))
}

fn parse_deadline(now: Time, headers: &HeaderMap) -> Result<Time, Error> {
    let Some(value) = text_value(headers, &header::TIMEOUT)? else {
        return Ok(now + Duration::from_millis(TIMEOUT_LIMIT_MS));
    };
    let remedy = "give 1 to 86400000 milliseconds";
    let millis = value
        .parse()
        .ok()
        .filter(|millis| (1..=TIMEOUT_LIMIT_MS).contains(millis));
    let millis = millis.ok_or_else(|| Error::Value(header::TIMEOUT, value.to_owned(), remedy))?;
    Ok(now + Duration::from_millis(millis))
}

fn parse_key(headers: &HeaderMap) -> Result<Key, Error> {
    let name = header::IDEMPOTENCY_KEY;
    let missing = || Error::Missing(name.clone(), "send <availability zone>:<UUIDv7>");
    let key = text_value(headers, &name)?.ok_or_else(missing)?;
    Ok(key.parse()?)
}

fn parse_forwarded(headers: &HeaderMap) -> Result<Option<request::Id>, Error> {
    let name = header::FORWARDED;
    let Some(value) = text_value(headers, &name)? else {
        return Ok(None);
    };
    let remedy = "only entry processes set it; leave it out";
    let id = value
        .parse()
        .map_err(|_| Error::Value(name, value.to_owned(), remedy))?;
    Ok(Some(id))
}

fn text_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Error> {
    let Some(value) = single_value(headers, name)? else {
        return Ok(None);
    };
    let remedy = "use printable ASCII characters";
    let error = || Error::Value(name.clone(), format!("{value:?}"), remedy);
    value.to_str().map(Some).map_err(|_| error())
}

/// Returns the value of a header that is allowed once.
///
/// Repeated headers are rejected because a proxy and a server could each use a different one of the values.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, Error> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    match values.next() {
        None => Ok(value),
        Some(_) => Err(Error::Repeated(name.clone())),
    }
}
