//! Checks of a request before it is sent to the dispatch thread.

use super::{
    ResponseBody,
    context::Context,
    handler::Handler,
    request::{
        self,
        OutgoingRequest, //
    },
    response::problem,
    waiter::Waiter, //
};
use crate::caller::{
    Head,
    Problem,
    header,
    is_keyed, //
};
use hyper::{
    Request, Response, StatusCode, Version,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::event::request::Id;
use std::rc::Rc;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        timeout_at, //
    },
};

/// Time after which a caller may try again when the thread is full; each request that ends makes room for another.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request; while the thread drains, asks the caller to close its connection.
pub(super) async fn serve(
    context: Rc<Context>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    // HTTP/2 has no `Connection` header; its connections are closed with a GOAWAY frame.
    let closable = request.version() <= Version::HTTP_11;
    let mut response = admit(&context, request).await;
    if closable && context.draining.get() {
        // The caller then connects to another entry, so no connection has to be closed while a request is sent on it.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Checks a request, reads its body if it must be held, and handles it.
async fn admit(context: &Rc<Context>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let keyed = is_keyed(&parts);
    let directory = context.directory.borrow().clone();
    let head = match Head::parse((context.clock)(), &parts, &directory) {
        Ok(head) => head,
        Err(error) => {
            let refusal = refusal(error.reason(), keyed);
            context.record_refusal(&refusal);
            return problem(Problem::new(refusal, error.to_string()));
        }
    };
    let Some(waiter) = context.waiters.insert() else {
        let refusal = overloaded(keyed);
        context.record_refusal(&refusal);
        return problem(refusal.into());
    };
    let outgoing =
        OutgoingRequest::new(parts, body, keyed, &context.buffer_usage, &context.limit).await;
    let outgoing = match outgoing {
        Ok(outgoing) => outgoing,
        Err(error) => return refuse_body(context, error, keyed),
    };
    let id = head.forwarded.unwrap_or_else(|| context.next_id());
    let mut response = run(context, id, waiter, head, outgoing).await;
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(header::REQUEST, id);
    }
    response
}

/// Handles an accepted request until its answer, or until the deadline of its caller if it may run only once.
async fn run(
    context: &Rc<Context>,
    id: Id,
    waiter: Waiter,
    head: Head,
    outgoing: OutgoingRequest,
) -> Response<ResponseBody> {
    let deadline = Instant::now() + head.deadline.since((context.clock)());
    let runs_once = !head.idempotent;
    let handler = Handler::new(context.clone(), id, waiter, head, outgoing);
    if !runs_once {
        return handler.run().await;
    }
    // A request that may run only once continues after its caller has disconnected, so that a repeat finds its answer.
    let (sender, receiver) = oneshot::channel();
    tokio::task::spawn_local(async move { sender.send(handler.run().await).ok() });
    // The request continues after the deadline of its caller, so its outcome is unknown.
    let timed_out = Refusal::unknown(Reason::AttemptTimeout);
    match timeout_at(deadline, receiver).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) | Err(_) => problem(timed_out.into()),
    }
}

/// Returns the refusal of a request whose body can't be held.
fn refuse_body(context: &Context, error: request::Error, keyed: bool) -> Response<ResponseBody> {
    let (refusal, status) = match error {
        request::Error::Incomplete(_) => (refusal(Reason::Malformed, keyed), None),
        request::Error::TooLarge(_) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            (refusal(Reason::Malformed, keyed), Some(status))
        }
        request::Error::BufferFull => (overloaded(keyed), None),
    };
    context.record_refusal(&refusal);
    let mut response = problem(Problem::new(refusal, error.to_string()).with_status(status));
    // The rest of a body that is too large is not read, so the connection can't carry another request.
    if status.is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the refusal of a request whose key owner has not been asked.
///
/// An earlier attempt with the same key may have run, so only a request without a key is refused as "not run".
pub(super) fn refusal(reason: Reason, keyed: bool) -> Refusal {
    match keyed {
        true => Refusal::unknown(reason),
        false => Refusal::not_run(reason),
    }
}

/// Returns the refusal of a request for which the thread has no room.
pub(super) fn overloaded(keyed: bool) -> Refusal {
    refusal(Reason::Overloaded, keyed).with_retry_after(OVERLOAD_RETRY_AFTER)
}
