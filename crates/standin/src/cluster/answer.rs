//! HTTP responses and query parameters.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode, //
};
use serde_json::Value;
use std::collections::HashMap;

/// A response with its whole body.
pub(super) type Answer = Response<Full<Bytes>>;

/// Returns a response with a JSON body.
pub(super) fn json(status: StatusCode, body: &Value) -> Answer {
    raw(status, body.to_string().into_bytes())
}

/// Returns a response with a binary body.
pub(super) fn raw(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Parses the parameters of a query string.
pub(super) fn query(text: Option<&str>) -> HashMap<String, String> {
    let pairs = text.unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Returns the value of a numeric parameter.
pub(super) fn number(query: &HashMap<String, String>, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}
