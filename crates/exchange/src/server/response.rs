//! Construction of responses to callers.

use super::{
    ResponseBody,
    relay::{
        AttemptGuard,
        Relay, //
    },
    request::remove_hop_by_hop_headers, //
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

/// Server that sent an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// An upstream.
    Upstream,
    /// The entry that owns the idempotency key; it has set the outcome header.
    Owner,
}

/// Returns a response that streams the answer of an upstream, or of the entry that owns the key, to the caller.
///
/// `prefix` holds the frames of the body that were read already.
pub(super) fn relay(
    response: Response<Incoming>,
    prefix: VecDeque<Bytes>,
    deadline: Instant,
    guard: AttemptGuard,
    source: Source,
) -> Response<ResponseBody> {
    let (mut parts, incoming) = response.into_parts();
    remove_hop_by_hop_headers(&mut parts.headers);
    let answered = HeaderValue::from_static(Outcome::Answered.as_str());
    match source {
        // Only entries decide the outcome, so a header that an upstream sent is replaced.
        Source::Upstream => drop(parts.headers.insert(header::OUTCOME, answered)),
        Source::Owner => drop(parts.headers.entry(header::OUTCOME).or_insert(answered)),
    }
    let relay = Relay::new(prefix, incoming, deadline, guard);
    Response::from_parts(parts, Either::Right(relay))
}

/// Returns a response with a stored answer, or a refusal if its body was too large to store.
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

/// Returns a response that refuses a request.
pub(super) fn problem(problem: Problem) -> Response<ResponseBody> {
    problem
        .into_response()
        .map(|body| Either::Left(Full::new(body)))
}

/// Joins the parts of a body that has `size` bytes in total.
pub(super) fn concatenate(parts: &VecDeque<Bytes>, size: usize) -> Bytes {
    let mut whole = Vec::with_capacity(size);
    for part in parts {
        whole.extend_from_slice(part);
    }
    whole.into()
}
