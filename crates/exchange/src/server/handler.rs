//! Handling of one request, from its arrival at the dispatch thread to its answer.

use super::{
    ResponseBody,
    admission::overloaded,
    context::Context,
    relay::AttemptGuard,
    request::{
        OutgoingRequest,
        remove_hop_by_hop_headers, //
    },
    response::{
        Source,
        concatenate,
        problem,
        relay,
        replay, //
    },
    waiter::Waiter, //
};
use crate::{
    Message, Reply,
    caller::{
        Head,
        Problem,
        header, //
    },
    message::{
        Answer,
        Idempotency, //
    },
    upstream::{
        Connection,
        Failure,
        attempt, //
    },
};
use core::net::SocketAddr;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::Incoming,
    header::{
        CONTENT_LENGTH,
        HeaderValue,
        TRAILER, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_dispatch::{
    Arrival,
    engine::Target, //
};
use sassafrascrank_observe::event::request;
use sassafrascrank_route::{
    AttemptResult,
    DrainSource, //
};
use std::{
    collections::VecDeque,
    rc::Rc,
    sync::Arc, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

/// Handler of one request and of the caller that waits for it.
pub(super) struct Handler {
    context: Rc<Context>,
    id: request::Id,
    /// `None` once an [`AttemptGuard`] has taken it over.
    waiter: Option<Waiter>,
    head: Head,
    outgoing: OutgoingRequest,
    /// Whether dropping the handler must cancel the request at the dispatch thread, which still tracks it.
    cancel_on_drop: bool,
}

impl Handler {
    pub(super) fn new(
        context: Rc<Context>,
        id: request::Id,
        waiter: Waiter,
        head: Head,
        outgoing: OutgoingRequest,
    ) -> Self {
        Self {
            context,
            id,
            waiter: Some(waiter),
            head,
            outgoing,
            cancel_on_drop: false,
        }
    }

    /// Carries out the decisions of the dispatch thread until there is an answer or a refusal.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        if !self.send_arrival() {
            let refusal = overloaded(self.head.key.is_some());
            self.context.record_refusal(&refusal);
            return problem(refusal.into());
        }
        loop {
            let Some(waiter) = &self.waiter else {
                return problem(Refusal::unknown(Reason::ConnectionLost).into());
            };
            let reply = waiter.reply().await;
            match reply {
                Reply::Refuse { refusal, .. } => {
                    self.cancel_on_drop = false;
                    return problem(refusal.into());
                }
                Reply::Replay { answer, .. } => {
                    self.cancel_on_drop = false;
                    return replay(&answer);
                }
                Reply::ForwardToOwner { address, .. } => {
                    self.cancel_on_drop = false;
                    return self.forward_to_owner(address).await;
                }
                Reply::Forward { target, until, .. } => {
                    if let Some(response) = self.forward(target, until).await {
                        return response;
                    }
                }
            }
        }
    }

    /// Sends the request to the dispatch thread; returns whether the ring had room for it.
    fn send_arrival(&mut self) -> bool {
        let Some(waiter) = &self.waiter else {
            return false;
        };
        let head = &self.head;
        let idempotency = head.key.clone().map(|key| Idempotency {
            key,
            fingerprint: self.outgoing.fingerprint(&head.account),
            forwarded: head.forwarded.is_some(),
        });
        let arrival = Arrival {
            caller: waiter.handle,
            customer: head.account.key,
            pool: head.pool,
            class: head.class,
            deadline: head.deadline,
            idempotent: head.idempotent && self.outgoing.is_held(),
        };
        self.cancel_on_drop = self.context.outbox.send(Message::Arrive {
            id: self.id,
            arrival,
            idempotency,
        });
        self.cancel_on_drop
    }

    /// Makes one attempt; returns `None` if the dispatch thread has to decide on the next step.
    async fn forward(&mut self, target: Target, until: Time) -> Option<Response<ResponseBody>> {
        let started = (self.context.clock)();
        let deadline = Instant::now() + until.since(started);
        let Some(request) = self.outgoing.request(Some(&self.head.account), deadline) else {
            self.send_finish(AttemptResult::Lost, None);
            return None;
        };
        let fresh = !self.head.idempotent;
        let attempt = attempt(&self.context.connections, target.address, request, fresh);
        let (response, connection) = match timeout_at(deadline, attempt).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::Unsent(result, request))) => {
                self.outgoing.restore(*request);
                self.send_finish(result, None);
                return None;
            }
            Ok(Err(Failure::Sent)) => return self.fail_attempt(AttemptResult::Lost),
            Err(_) => return self.fail_attempt(AttemptResult::TimedOut),
        };
        if response.headers().contains_key(header::DRAINING) {
            let (upstream, source) = (target.upstream, DrainSource::Response);
            self.context
                .outbox
                .send(Message::Draining { upstream, source });
        }
        let latency = (self.context.clock)().since(started);
        let guard = self.attempt_guard(connection, latency, response.status().is_server_error())?;
        if self.head.idempotent {
            Some(relay(
                response,
                VecDeque::new(),
                deadline,
                guard,
                Source::Upstream,
            ))
        } else {
            self.buffer_answer(response, deadline, guard).await
        }
    }

    /// Ends an attempt that may have run.
    ///
    /// Returns a refusal if the caller did not send its whole body. Otherwise returns `None`, and the dispatch thread
    /// decides on the next step.
    fn fail_attempt(&mut self, result: AttemptResult) -> Option<Response<ResponseBody>> {
        if !self.outgoing.is_caller_fault(result) {
            self.send_finish(result, None);
            return None;
        }
        self.send_finish(AttemptResult::Cancelled, None);
        self.cancel_on_drop = false;
        let refusal = Refusal::unknown(Reason::Malformed);
        let detail = "the body did not arrive before the attempt ended: send it faster".to_owned();
        Some(problem(Problem::new(refusal, detail)))
    }

    /// Reads a small answer into memory, so that a repeat with the same key gets it again; streams a larger one.
    async fn buffer_answer(
        &mut self,
        response: Response<Incoming>,
        deadline: Instant,
        mut guard: AttemptGuard,
    ) -> Option<Response<ResponseBody>> {
        let (parts, mut body) = response.into_parts();
        let mut prefix = VecDeque::new();
        let mut size = 0;
        let whole = loop {
            match timeout_at(deadline, body.frame()).await {
                Err(_) => return self.recover_lost_answer(guard, AttemptResult::TimedOut),
                Ok(Some(Err(_))) => return self.recover_lost_answer(guard, AttemptResult::Lost),
                Ok(None) => break true,
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    size += data.len();
                    prefix.push_back(data);
                    if size > self.context.limit.body_bytes {
                        break false;
                    }
                }
            }
        };
        let mut answer = Answer {
            status: parts.status,
            headers: parts.headers.clone(),
            body: whole.then(|| concatenate(&prefix, size)),
        };
        remove_hop_by_hop_headers(&mut answer.headers);
        // Trailer fields are not stored, so the header that announces them is removed too.
        answer.headers.remove(TRAILER);
        if !whole {
            answer.headers.remove(CONTENT_LENGTH);
            guard.store_answer(answer);
            let response = Response::from_parts(parts, body);
            return Some(relay(response, prefix, deadline, guard, Source::Upstream));
        }
        let response = replay(&answer);
        guard.store_answer(answer);
        guard.complete();
        Some(response)
    }

    /// Reports that an answer arrived only in part, and takes the waiter back for the decision of the dispatch thread.
    fn recover_lost_answer(
        &mut self,
        mut guard: AttemptGuard,
        result: AttemptResult,
    ) -> Option<Response<ResponseBody>> {
        // The report names the caller by the waiter, so it comes before the waiter is taken.
        guard.report(result);
        self.waiter = guard.waiter.take();
        self.cancel_on_drop = true;
        None
    }

    /// Forwards the request to the entry that owns its key and relays the answer.
    async fn forward_to_owner(&mut self, address: SocketAddr) -> Response<ResponseBody> {
        let unreachable = Refusal::unknown(Reason::OwnerUnreachable);
        let remaining = self.head.deadline.since((self.context.clock)());
        let deadline = Instant::now() + remaining;
        let Some(mut request) = self.outgoing.request(None, deadline) else {
            return problem(unreachable.into());
        };
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            request.headers_mut().insert(header::FORWARDED, id);
        }
        let attempt = attempt(&self.context.connections, address, request, true);
        let Ok(Ok((response, connection))) = timeout_at(deadline, attempt).await else {
            return problem(unreachable.into());
        };
        match self.attempt_guard(connection, Duration::ZERO, false) {
            Some(mut guard) => {
                // The dispatch thread of this entry tracks no attempt of this request, so it needs no result.
                guard.reported = true;
                relay(response, VecDeque::new(), deadline, guard, Source::Owner)
            }
            None => problem(unreachable.into()),
        }
    }

    /// Moves the waiter into a guard that reports the end of the attempt.
    fn attempt_guard(
        &mut self,
        connection: Connection,
        latency: Duration,
        failed: bool,
    ) -> Option<AttemptGuard> {
        let waiter = self.waiter.take()?;
        self.cancel_on_drop = false;
        Some(AttemptGuard {
            waiter: Some(waiter),
            outbox: self.context.outbox.clone(),
            connections: self.context.connections.clone(),
            connection: Some(connection),
            latency,
            failed,
            reported: false,
            expired: false,
            awaiting_upstream: true,
            answer: None,
        })
    }

    /// Reports the result of an attempt to the dispatch thread.
    fn send_finish(&self, result: AttemptResult, answer: Option<Arc<Answer>>) {
        if let Some(waiter) = &self.waiter {
            let caller = waiter.handle;
            self.context.outbox.send(Message::Finish {
                caller,
                result,
                answer,
            });
        }
    }
}

impl Drop for Handler {
    fn drop(&mut self) {
        if let Some(waiter) = &self.waiter
            && self.cancel_on_drop
        {
            let caller = waiter.handle;
            self.context.outbox.send(Message::Cancel { caller });
        }
    }
}
