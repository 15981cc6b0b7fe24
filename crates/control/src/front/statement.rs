//! Headers in which an entry that passes a request on states for whom its caller acts.

use super::{
    Principal,
    Statement, //
};
use hyper::{
    HeaderMap,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use percent_encoding::{
    NON_ALPHANUMERIC,
    percent_decode_str,
    utf8_percent_encode, //
};

/// Header with the version of the configuration.
const VERSION: HeaderName = HeaderName::from_static("sassafrascrank-relay-version");
/// Header with the name of the account in percent-encoding; empty if the queue needs no credential, and absent if the caller
/// has no known credential.
const ACCOUNT: HeaderName = HeaderName::from_static("sassafrascrank-relay-account");

/// Removes statements from the headers of a request.
pub(super) fn strip(headers: &mut HeaderMap) {
    headers.remove(VERSION);
    headers.remove(ACCOUNT);
}

/// Replaces the statement in the headers of a request.
pub(super) fn write(headers: &mut HeaderMap, statement: &Statement) {
    strip(headers);
    headers.insert(VERSION, HeaderValue::from(statement.version));
    let account = match &statement.principal {
        Principal::Unknown => return,
        Principal::Anonymous => String::new(),
        Principal::Account(name) => utf8_percent_encode(name, NON_ALPHANUMERIC).to_string(),
    };
    if let Ok(account) = HeaderValue::from_str(&account) {
        headers.insert(ACCOUNT, account);
    }
}

/// Returns the statement in the headers of a request from another entry.
///
/// Returns `None` for a statement that can't be read, as for one of an entry of an earlier version, which makes none: then
/// the credential decides.
pub(super) fn read(headers: &HeaderMap) -> Option<Statement> {
    let version = headers.get(VERSION)?.to_str().ok()?.parse().ok()?;
    let principal = match headers.get(ACCOUNT) {
        None => Principal::Unknown,
        Some(account) if account.is_empty() => Principal::Anonymous,
        Some(account) => {
            let name = percent_decode_str(account.to_str().ok()?);
            Principal::Account(name.decode_utf8().ok()?.into())
        }
    };
    Some(Statement { version, principal })
}
