//! Check of a request before the dispatch thread hears of it.

use super::{
    ResponseBody,
    context::Context,
    job::Job,
    request::{
        self,
        Outgoing, //
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

/// Time after which a caller may try again when the thread is full; a place is given back at each end of a request.
const OVERLOAD_WAIT: Duration = Duration::from_secs(1);

/// Serves one request.
pub(super) async fn serve(
    context: Rc<Context>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    // HTTP/2 has no such header; its connections are told to close by a frame of their own.
    let closable = request.version() <= Version::HTTP_11;
    let mut response = admit(&context, request).await;
    if closable && context.draining.get() {
        // The caller opens its next connection elsewhere, so none is closed under a request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

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
    let outgoing = Outgoing::new(parts, body, keyed, &context.buffer, &context.limit).await;
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

async fn run(
    context: &Rc<Context>,
    id: Id,
    waiter: Waiter,
    head: Head,
    outgoing: Outgoing,
) -> Response<ResponseBody> {
    let deadline = Instant::now() + head.deadline.since((context.clock)());
    let once = !head.idempotent;
    let job = Job::new(context.clone(), id, waiter, head, outgoing);
    if !once {
        return job.run().await;
    }
    // A request that may run only once goes on when its caller has gone, so that a repeat finds its answer.
    let (sender, receiver) = oneshot::channel();
    tokio::task::spawn_local(async move { sender.send(job.run().await).ok() });
    // The request goes on after its caller's deadline, so the answer can only be "unknown".
    let late = Refusal::unknown(Reason::AttemptTimeout);
    match timeout_at(deadline, receiver).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) | Err(_) => problem(late.into()),
    }
}

fn refuse_body(context: &Context, error: request::Error, keyed: bool) -> Response<ResponseBody> {
    let (refusal, status) = match error {
        request::Error::Broken(_) => (refusal(Reason::Malformed, keyed), None),
        request::Error::TooLarge(_) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            (refusal(Reason::Malformed, keyed), Some(status))
        }
        request::Error::Full => (overloaded(keyed), None),
    };
    context.record_refusal(&refusal);
    let mut response = problem(Problem::new(refusal, error.to_string()).with_status(status));
    // What is left of the body is not read, so the connection can't carry another request.
    if status.is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Refuses a request before the owner of its key was asked.
///
/// An earlier attempt with the same key may have run, so only a request without a key certainly did not.
pub(super) fn refusal(reason: Reason, keyed: bool) -> Refusal {
    match keyed {
        true => Refusal::unknown(reason),
        false => Refusal::not_run(reason),
    }
}

/// Refuses a request for which the thread has no room.
pub(super) fn overloaded(keyed: bool) -> Refusal {
    refusal(Reason::Overloaded, keyed).with_retry_after(OVERLOAD_WAIT)
}
