//! Problem details (RFC 9457) for refused requests.

use super::header;
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    },
};
use sassafrascrank_base::prelude::*;
use serde::Serialize;

/// JSON body of a refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Problem {
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status code.
    pub status: u16,
    /// Reason code of the refusal.
    pub reason: &'static str,
    /// Outcome of the request: `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Description of this occurrence of the problem.
    pub detail: String,
    /// What the caller can do.
    pub remedy: &'static str,
    /// Time in milliseconds to wait before the next try.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let reason = refusal.reason;
        let wait = refusal.retry_after;
        Self {
            kind: format!("urn:sassafrascrank:problem:{reason}"),
            status: status(&refusal).as_u16(),
            reason: reason.as_str(),
            outcome: refusal.outcome.as_str(),
            detail: reason.as_str().replace('-', " "),
            remedy: reason.remedy(),
            retry_after_ms: wait.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

impl Problem {
    /// Makes a problem with its own description instead of the general one of its reason.
    pub fn new(refusal: Refusal, detail: String) -> Self {
        Self {
            detail,
            ..Self::from(refusal)
        }
    }

    /// Replaces the status that belongs to the reason, if `status` is given.
    pub fn with_status(mut self, status: Option<StatusCode>) -> Self {
        self.status = status.map_or(self.status, |status| status.as_u16());
        self
    }

    /// Returns the HTTP response for the caller.
    pub fn into_response(self) -> Response<Bytes> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, content_type);
        headers.insert(header::OUTCOME, HeaderValue::from_static(self.outcome));
        if let Some(millis) = self.retry_after_ms {
            // The header holds whole seconds; the body holds the exact time.
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
        }
        response
    }
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::Malformed | Reason::KeyRequired => StatusCode::BAD_REQUEST,
        Reason::PoolUnknown => StatusCode::FORBIDDEN,
        Reason::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::AnswerDropped | Reason::KeyExpired => StatusCode::CONFLICT,
        Reason::ConnectionLost => StatusCode::BAD_GATEWAY,
        Reason::AttemptTimeout => StatusCode::GATEWAY_TIMEOUT,
        Reason::QueueFull
        | Reason::DeadlineUnmet
        | Reason::Overloaded
        | Reason::NoUpstream
        | Reason::ShuttingDown
        | Reason::Unconfigured
        | Reason::ConnectFailed
        | Reason::KeyEarly
        | Reason::OwnerUnreachable
        | Reason::KeyTableFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}
