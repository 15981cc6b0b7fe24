//! Answers and parameters of HTTP requests.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode, //
};
use serde_json::Value;
use std::collections::HashMap;

/// An answer with its whole body.
pub(super) type Answer = Response<Full<Bytes>>;

/// Returns a JSON answer.
pub(super) fn json(status: StatusCode, body: &Value) -> Answer {
    raw(status, body.to_string().into_bytes())
}

/// Returns an answer with any body.
pub(super) fn raw(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Returns the parameters of a query.
pub(super) fn query(text: Option<&str>) -> HashMap<String, String> {
    let pairs = text.unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Returns a parameter that is a number.
pub(super) fn number(query: &HashMap<String, String>, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}
