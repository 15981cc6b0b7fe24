//! Life of one request on its exchange thread.

use super::{
    ResponseBody,
    admission::overloaded,
    context::Context,
    relay::Ending,
    request::{
        Outgoing,
        remove_connection_headers, //
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

/// A request and the caller that waits for it.
pub(super) struct Job {
    context: Rc<Context>,
    id: request::Id,
    /// `None` once the relay of the answer has taken it over.
    waiter: Option<Waiter>,
    head: Head,
    outgoing: Outgoing,
    /// Whether the dispatch thread still knows the request.
    admitted: bool,
}

impl Job {
    pub(super) fn new(
        context: Rc<Context>,
        id: request::Id,
        waiter: Waiter,
        head: Head,
        outgoing: Outgoing,
    ) -> Self {
        Self {
            context,
            id,
            waiter: Some(waiter),
            head,
            outgoing,
            admitted: false,
        }
    }

    /// Waits for the decisions on the request and carries them out until it has an answer or a refusal.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        if !self.arrive() {
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
                    self.admitted = false;
                    return problem(refusal.into());
                }
                Reply::Replay { answer, .. } => {
                    self.admitted = false;
                    return replay(&answer);
                }
                Reply::ForwardToOwner { address, .. } => {
                    self.admitted = false;
                    return self.redirect(address).await;
                }
                Reply::Forward { target, until, .. } => {
                    if let Some(response) = self.forward(target, until).await {
                        return response;
                    }
                }
            }
        }
    }

    fn arrive(&mut self) -> bool {
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
        self.admitted = self.context.outbox.send(Message::Arrive {
            id: self.id,
            arrival,
            idempotency,
        });
        self.admitted
    }

    /// Makes one attempt; returns `None` if the dispatch thread has to decide what comes next.
    async fn forward(&mut self, target: Target, until: Time) -> Option<Response<ResponseBody>> {
        let started = (self.context.clock)();
        let deadline = Instant::now() + until.since(started);
        let Some(request) = self.outgoing.request(Some(&self.head.account), deadline) else {
            self.finish(AttemptResult::Lost, None);
            return None;
        };
        let fresh = !self.head.idempotent;
        let attempt = attempt(&self.context.connections, target.address, request, fresh);
        let (response, connection) = match timeout_at(deadline, attempt).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::Unsent(result, request))) => {
                self.outgoing.restore(*request);
                self.finish(result, None);
                return None;
            }
            Ok(Err(Failure::Sent)) => return self.fail(AttemptResult::Lost),
            Err(_) => return self.fail(AttemptResult::TimedOut),
        };
        if response.headers().contains_key(header::DRAINING) {
            let (upstream, source) = (target.upstream, DrainSource::Response);
            self.context
                .outbox
                .send(Message::Draining { upstream, source });
        }
        let latency = (self.context.clock)().since(started);
        let ending = self.ending(connection, latency, response.status().is_server_error())?;
        if self.head.idempotent {
            Some(relay(
                response,
                VecDeque::new(),
                deadline,
                ending,
                Source::Upstream,
            ))
        } else {
            self.keep_answer(response, deadline, ending).await
        }
    }

    /// Ends an attempt that may have run; the dispatch thread decides what comes next, unless the caller is to blame.
    fn fail(&mut self, result: AttemptResult) -> Option<Response<ResponseBody>> {
        if !self.outgoing.is_blamed(result) {
            self.finish(result, None);
            return None;
        }
        self.finish(AttemptResult::Cancelled, None);
        self.admitted = false;
        let refusal = Refusal::unknown(Reason::Malformed);
        let detail = "the body did not arrive before the attempt ended: send it faster".to_owned();
        Some(problem(Problem::new(refusal, detail)))
    }

    /// Reads a small answer into memory, so that a repeat of the key gets it again.
    async fn keep_answer(
        &mut self,
        response: Response<Incoming>,
        deadline: Instant,
        mut ending: Ending,
    ) -> Option<Response<ResponseBody>> {
        let (parts, mut body) = response.into_parts();
        let mut head = VecDeque::new();
        let mut size = 0;
        let whole = loop {
            match timeout_at(deadline, body.frame()).await {
                Err(_) => return self.answer_lost(ending, AttemptResult::TimedOut),
                Ok(Some(Err(_))) => return self.answer_lost(ending, AttemptResult::Lost),
                Ok(None) => break true,
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    size += data.len();
                    head.push_back(data);
                    if size > self.context.limit.body_bytes {
                        break false;
                    }
                }
            }
        };
        let mut answer = Answer {
            status: parts.status,
            headers: parts.headers.clone(),
            body: whole.then(|| concatenate(&head, size)),
        };
        remove_connection_headers(&mut answer.headers);
        // Trailer fields are not kept, so they are not announced either.
        answer.headers.remove(TRAILER);
        if !whole {
            answer.headers.remove(CONTENT_LENGTH);
            ending.keep(answer);
            let response = Response::from_parts(parts, body);
            return Some(relay(response, head, deadline, ending, Source::Upstream));
        }
        let response = replay(&answer);
        ending.keep(answer);
        ending.complete();
        Some(response)
    }

    /// Gives the waiter back and lets the dispatch thread decide after an answer broke off.
    fn answer_lost(
        &mut self,
        mut ending: Ending,
        result: AttemptResult,
    ) -> Option<Response<ResponseBody>> {
        // The report needs the waiter, which names the caller.
        ending.report(result);
        self.waiter = ending.waiter.take();
        self.admitted = true;
        None
    }

    /// Forwards the request to the entry that owns its key.
    async fn redirect(&mut self, address: SocketAddr) -> Response<ResponseBody> {
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
        match self.ending(connection, Duration::ZERO, false) {
            Some(mut ending) => {
                ending.reported = true;
                relay(response, VecDeque::new(), deadline, ending, Source::Owner)
            }
            None => problem(unreachable.into()),
        }
    }

    fn ending(
        &mut self,
        connection: Connection,
        latency: Duration,
        failed: bool,
    ) -> Option<Ending> {
        let waiter = self.waiter.take()?;
        self.admitted = false;
        Some(Ending {
            waiter: Some(waiter),
            outbox: self.context.outbox.clone(),
            connections: self.context.connections.clone(),
            connection: Some(connection),
            latency,
            failed,
            reported: false,
            expired: false,
            starved: true,
            answer: None,
        })
    }

    fn finish(&self, result: AttemptResult, answer: Option<Arc<Answer>>) {
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

impl Drop for Job {
    fn drop(&mut self) {
        if let Some(waiter) = &self.waiter
            && self.admitted
        {
            let caller = waiter.handle;
            self.context.outbox.send(Message::Cancel { caller });
        }
    }
}
