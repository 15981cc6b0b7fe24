//! HTTP responses of the server.

use crate::wire;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode, //
};

/// An unsuccessful response: its status, and a text with cause and remedy.
pub(super) struct Failure(pub(super) StatusCode, pub(super) String);

impl From<wire::Error> for Failure {
    fn from(error: wire::Error) -> Self {
        Self(StatusCode::BAD_REQUEST, error.to_string())
    }
}

pub(super) fn success(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    respond(status, body.into())
}

pub(super) fn failure(failure: Failure) -> Response<Full<Bytes>> {
    respond(failure.0, failure.1.into())
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
