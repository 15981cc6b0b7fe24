//! Responses to callers.

use super::{
    ResponseBody,
    relay::{
        Ending,
        Relay, //
    },
    request::remove_connection_headers, //
};
use crate::{
    caller::{
        Problem,
        header, //
    },
    message::Answer, //
};
use bytes::Bytes;
use http_body_util::{
    Either,
    Full, //
};
use hyper::{
    Response,
    body::Incoming,
    header::HeaderValue, //
};
use sassafrascrank_base::prelude::*;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Who answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// An upstream.
    Upstream,
    /// The entry that owns the key; it has set the outcome.
    Owner,
}

/// Passes the answer of an upstream, or of the entry that owns the key, on to the caller.
pub(super) fn relay(
    response: Response<Incoming>,
    head: VecDeque<Bytes>,
    deadline: Instant,
    ending: Ending,
    source: Source,
) -> Response<ResponseBody> {
    let (mut parts, incoming) = response.into_parts();
    remove_connection_headers(&mut parts.headers);
    let answered = HeaderValue::from_static(Outcome::Answered.as_str());
    match source {
        // What the upstream says about itself is not the outcome.
        Source::Upstream => drop(parts.headers.insert(header::OUTCOME, answered)),
        Source::Owner => drop(parts.headers.entry(header::OUTCOME).or_insert(answered)),
    }
    let relay = Relay::new(head, incoming, deadline, ending);
    Response::from_parts(parts, Either::Right(relay))
}

/// Gives an answer that is kept.
pub(super) fn replay(answer: &Answer) -> Response<ResponseBody> {
    let Some(body) = &answer.body else {
        let dropped = Refusal {
            outcome: Outcome::Answered,
            ..Refusal::not_run(Reason::AnswerDropped)
        };
        return problem(dropped.into());
    };
    let mut response = Response::new(Either::Left(Full::new(body.clone())));
    *response.status_mut() = answer.status;
    response.headers_mut().clone_from(&answer.headers);
    let answered = HeaderValue::from_static(Outcome::Answered.as_str());
    response.headers_mut().insert(header::OUTCOME, answered);
    response
}

/// Refuses a request.
pub(super) fn problem(problem: Problem) -> Response<ResponseBody> {
    problem
        .into_response()
        .map(|body| Either::Left(Full::new(body)))
}

/// Joins the parts of a body of `size` bytes.
pub(super) fn concatenate(parts: &VecDeque<Bytes>, size: usize) -> Bytes {
    let mut whole = Vec::with_capacity(size);
    for part in parts {
        whole.extend_from_slice(part);
    }
    whole.into()
}
