//! Problem details (RFC 9457) for operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use serde::Serialize;

/// Paths that the endpoint serves, listed in the answer to an unknown path.
const PATHS: &[&str] = &["/healthz", "/metrics", "/status", "/timeline"];

/// Error response to a request that can't be answered.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Problem {
    title: &'static str,
    status: u16,
    detail: String,
    remedy: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    paths: Option<&'static [&'static str]>,
}

impl Problem {
    fn new(code: StatusCode, detail: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            title: code.canonical_reason().unwrap_or("Error"),
            status: code.as_u16(),
            detail: detail.into(),
            remedy: remedy.into(),
            paths: None,
        }
    }

    /// Creates the response to an unknown path, with a list of the known ones.
    pub(super) fn unknown_path(path: &str) -> Self {
        /// Longest part of the path that the response repeats, in characters.
        const SHOWN_CHARS_MAX: usize = 100;
        let shown: String = path.chars().take(SHOWN_CHARS_MAX).collect();
        let detail = format!("there is no path {shown:?}");
        let mut problem = Self::new(
            StatusCode::NOT_FOUND,
            detail,
            "use one of the paths in \"paths\"",
        );
        problem.paths = Some(PATHS);
        problem
    }

    /// Creates the response to a method other than GET and HEAD.
    pub(super) fn method_not_allowed() -> Self {
        let detail = "the endpoint only reads";
        Self::new(StatusCode::METHOD_NOT_ALLOWED, detail, "use GET")
    }

    /// Creates the response to a query parameter that is unknown or malformed.
    pub(super) fn invalid_parameter(error: &super::query::Error) -> Self {
        Self::new(StatusCode::BAD_REQUEST, error.to_string(), error.remedy())
    }

    /// Creates the response for an observer that doesn't answer in time, has stopped or can't encode the answer.
    pub(super) fn unavailable(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, detail, "try again later")
    }

    /// Encodes the problem as an HTTP response.
    pub(super) fn response(&self) -> Response<Full<Bytes>> {
        // Only maps with keys other than strings can't be encoded, and a problem has none.
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let json = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}
