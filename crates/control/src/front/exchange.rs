//! Callers' requests and their answers.

use super::{
    Access, Answer, Confirmation, Query, Request, Statement,
    authority::{
        self,
        Judgement, //
    },
    budget::{
        Key,
        Limits,
        Origin, //
    },
    intake::{
        Intake,
        Refusal, //
    },
    relay::{
        Outcome,
        Passed,
        Relay, //
    },
    reply::{
        IN_DOUBT,
        account,
        in_doubt,
        no_queue,
        result_name, //
    },
    statement,
};
use crate::{
    clock::Clock,
    port::{
        Call,
        Dialect,
        Problem,
        Reply,
        Verb, //
    },
};
use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::Full;
use hyper::{
    Response,
    body::Incoming,
    header,
    http::request::Parts, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Job, //
};
use sassafrascrank_ring::Sender;
use sassafrascrank_schedule::{
    Config,
    config::Queue, //
};
use sassafrascrank_trace::{
    Event,
    Sink,
    Value, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::timeout, //
};

/// Time for which a caller is assumed to wait if its request names no timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before the end of the caller's timeout at which it is answered that the outcome is unknown, so that the answer
/// reaches it in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);
/// Longest time for which the entry works on a request, whatever its caller allows, so that complete requests do not hold
/// connections and bytes for ever.
const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest number of requests that wait for an answer of the control thread.
const WAITING_LIMIT: usize = 4_000;

/// Answer to a request, and what the log line says of it.
struct Answered {
    response: Response<Full<Bytes>>,
    result: &'static str,
    subject: Subject,
    /// The candidate that has answered, if this entry has not.
    by: Option<SocketAddr>,
}

/// What a request is about, as far as it is known.
#[derive(Clone, Default)]
struct Subject {
    /// Job that the request names.
    id: Option<Id>,
    /// Account of the caller.
    account: Option<Arc<str>>,
}

/// Passes callers' requests to the control thread, and its answers back to them.
pub(super) struct Exchange<D> {
    dialect: D,
    requests: RefCell<Sender<Request>>,
    sink: Rc<RefCell<Sink>>,
    /// Bodies and connections.
    intake: Rc<Intake>,
    clock: Clock,
    config: RefCell<Option<Arc<Config>>>,
    confirmation: Cell<Confirmation>,
    ready: Cell<bool>,
    relay: Relay,
    /// Callers that wait for an answer of the control thread, by their number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Number of the next caller.
    next_caller: Cell<u64>,
    /// Number of open connections.
    connections: Cell<usize>,
    closing: Cell<bool>,
    close: Notify,
    /// Notified whenever a connection ends.
    connection_ended: Notify,
}

/// Counts an open connection until it is dropped.
pub(super) struct OpenConnection<D>(Rc<Exchange<D>>);

impl<D> Drop for OpenConnection<D> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.connection_ended.notify_one();
    }
}

impl<D: Dialect> Exchange<D> {
    pub(super) fn new(
        dialect: D,
        requests: Sender<Request>,
        sink: Sink,
        clock: Clock,
        credential_limit: Option<Duration>,
        limits: Limits,
    ) -> Self {
        let sink = Rc::new(RefCell::new(sink));
        Self {
            dialect,
            requests: RefCell::new(requests),
            intake: Rc::new(Intake::new(limits, Rc::clone(&sink), clock)),
            sink,
            clock,
            config: RefCell::new(None),
            confirmation: Cell::new(Confirmation {
                at: Time::MIN,
                limit: credential_limit,
            }),
            ready: Cell::new(false),
            relay: Relay::new(clock),
            waiting: RefCell::default(),
            next_caller: Cell::new(0),
            connections: Cell::new(0),
            closing: Cell::new(false),
            close: Notify::new(),
            connection_ended: Notify::new(),
        }
    }

    pub(super) fn configure(&self, config: Arc<Config>) {
        *self.config.borrow_mut() = Some(config);
    }

    /// Records that the configuration in force was the newest one at `at`.
    pub(super) fn confirm_config(&self, at: Time) {
        let limit = self.confirmation.get().limit;
        self.confirmation.set(Confirmation { at, limit });
    }

    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    pub(super) fn set_leader(&self, leader: Option<SocketAddr>) {
        self.relay.set_leader(leader);
    }

    pub(super) fn set_candidates(&self, candidates: Vec<SocketAddr>) {
        self.relay.set_candidates(candidates);
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.get() && !self.closing.get()
    }

    /// Passes the answer to its caller, unless the caller has gone.
    pub(super) fn reply(&self, caller: u64, answer: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&caller) {
            let _ = waiting.send(answer);
        }
    }

    pub(super) fn intake(&self) -> &Rc<Intake> {
        &self.intake
    }

    pub(super) fn open_connection(self: &Rc<Self>) -> OpenConnection<D> {
        self.connections.set(self.connections.get() + 1);
        OpenConnection(Rc::clone(self))
    }

    /// Makes each connection close after its present request.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }

    /// Waits until [`close`](Self::close) is called.
    pub(super) async fn wait_for_close(&self) {
        while !self.closing.get() {
            self.close.notified().await;
        }
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_for_drain(&self) {
        while self.connections.get() > 0 {
            self.connection_ended.notified().await;
        }
    }

    /// Answers one request of the connection `visitor`.
    pub(super) async fn answer(
        &self,
        request: hyper::Request<Incoming>,
        origin: Origin,
        visitor: Key,
    ) -> Response<Full<Bytes>> {
        let started = self.clock.now();
        let (head, body) = request.into_parts();
        let call = self.dialect.call(&head);
        let verb = call.as_ref().map_or("other", |call| call.verb.as_str());
        let answered = match call {
            Ok(call) => {
                let sender = (origin, visitor);
                self.handle(&call, &head, body, sender, started).await
            }
            Err(reason) => {
                let problem = Reply::Problem(Problem::Malformed, reason);
                self.answered(problem, &Subject::default())
            }
        };
        self.intake.finish(visitor);
        self.record(verb, &answered, started);
        answered.response
    }

    async fn handle(
        &self,
        call: &Call,
        head: &Parts,
        body: Incoming,
        (origin, visitor): (Origin, Key),
        started: Time,
    ) -> Answered {
        let problem = |problem, reason: String| Reply::Problem(problem, reason);
        let mut subject = Subject::default();
        let Some(config) = self.config.borrow().clone() else {
            let reason = "the entry has no configuration yet: try again".to_owned();
            return self.answered(problem(Problem::Unconfigured, reason), &subject);
        };
        let Some(queue) = config.route(&call.host, &call.path) else {
            return self.answered(no_queue(), &subject);
        };
        let statement = match origin {
            Origin::Caller | Origin::Probe => None,
            Origin::Entry => statement::read(&head.headers),
        };
        let decided = self.judge(&config, queue, call, statement.as_ref()).decided;
        match account(decided.as_ref()) {
            Ok(account) => subject.account = account,
            // A candidate may have a newer configuration.
            Err(_) if decided.is_none() && origin == Origin::Caller && self.relay.is_active() => {}
            Err(reply) => return self.answered(reply, &subject),
        }
        subject.id = match self.identity(call, queue) {
            Ok(id) => id,
            Err(reply) => return self.answered(reply, &subject),
        };
        let until = started + caller_timeout(call);
        let body = match self.intake.read(visitor, body, until).await {
            Ok(body) => body,
            Err(refusal) => return self.refused(refusal, &subject),
        };
        // The credential or the queue may have been removed while the body arrived.
        let config = self.config.borrow().clone().unwrap_or(config);
        let Some(queue) = config.route(&call.host, &call.path) else {
            return self.answered(no_queue(), &subject);
        };
        subject.id = match self.identity(call, queue) {
            Ok(id) => id,
            Err(reply) => return self.answered(reply, &subject),
        };
        let judgement = self.judge(&config, queue, call, statement.as_ref());
        let decided = account(judgement.decided.as_ref());
        subject.account = decided.clone().unwrap_or_default();
        let outcome = match self.relay.target(call.verb, origin, &head.headers) {
            Some(target) => {
                let version = statement.map_or(0, |statement| statement.version);
                let statement = judgement.stated.map(|principal| Statement {
                    version: config.version.max(version),
                    principal,
                });
                let passed = Passed::new(head, body.clone(), statement, until);
                // In a box, so that a request whose body is incomplete does not hold the memory of this future.
                Box::pin(self.relay.pass(target, passed)).await
            }
            None => Outcome::NotSent,
        };
        let relayed = |response, result, by| Answered {
            response,
            result,
            subject: subject.clone(),
            by: Some(by),
        };
        let doubtful = match outcome {
            Outcome::Answered(response, by) => return relayed(response, "relayed", by),
            Outcome::Refused(response, by) => return relayed(response, "relay-refused", by),
            Outcome::NotSent => false,
            Outcome::Unknown => call.verb != Verb::Read,
        };
        let reply = match decided {
            Ok(account) => {
                let access = Access {
                    queue: Arc::clone(&queue.name),
                    account,
                };
                match self.query(call.verb, subject.id, queue, &access, (visitor, body)) {
                    Ok(query) => self.ask(access, query, until).await,
                    Err(reason) => problem(Problem::Malformed, reason),
                }
            }
            Err(reply) => reply,
        };
        self.answered(in_doubt(reply, doubtful), &subject)
    }

    /// Returns the job that a request names; `None` if it asks for the number of pending jobs.
    fn identity(&self, call: &Call, queue: &Queue) -> Result<Option<Id>, Reply> {
        let rest = &call.path[queue.path.len()..];
        if rest.is_empty() && call.verb == Verb::Read {
            return Ok(None);
        }
        // A path with more segments may belong to a queue that was removed.
        let problem = match rest.contains('/') {
            true => Problem::NoQueue,
            false => Problem::Malformed,
        };
        let id = self.dialect.id(rest);
        id.map(Some)
            .map_err(|reason| Reply::Problem(problem, reason))
    }

    /// Returns what a request asks of the control thread.
    fn query(
        &self,
        verb: Verb,
        id: Option<Id>,
        queue: &Queue,
        access: &Access,
        (visitor, body): (Key, Bytes),
    ) -> Result<Query, String> {
        Ok(match (verb, id) {
            (_, None) => Query::Pending(Arc::clone(&queue.name)),
            (Verb::Read, Some(id)) => Query::State(id),
            (Verb::Cancel, Some(id)) => Query::Cancel(id),
            (Verb::Submit, Some(id)) => {
                let job = self.read_job(id, queue, access.account.clone(), &body)?;
                drop(body);
                self.intake.settle(visitor, job.bytes());
                Query::Submit(Arc::new(job))
            }
        })
    }

    /// Answers a request whose body was not read to its end, so that the connection can't be used any more.
    fn refused(&self, refusal: Refusal, subject: &Subject) -> Answered {
        let mut answered = self.answered(refusal.reply(), subject);
        let close = header::HeaderValue::from_static("close");
        let headers = answered.response.headers_mut();
        headers.insert(header::CONNECTION, close);
        answered
    }

    fn judge(
        &self,
        config: &Config,
        queue: &Queue,
        call: &Call,
        statement: Option<&Statement>,
    ) -> Judgement {
        let (confirmation, now) = (self.confirmation.get(), self.clock.now());
        let credential = call.credential.as_ref();
        authority::judge(config, queue, credential, statement, confirmation, now)
    }

    fn answered(&self, reply: Reply, subject: &Subject) -> Answered {
        Answered {
            response: self.dialect.answer(&reply),
            result: result_name(&reply),
            subject: subject.clone(),
            by: None,
        }
    }

    fn read_job(
        &self,
        id: Id,
        queue: &Queue,
        account: Option<Arc<str>>,
        body: &[u8],
    ) -> Result<Job, String> {
        let (specification, steps, repeat) = self.dialect.job(body)?;
        let job = Job {
            id,
            queue: Arc::clone(&queue.name),
            account,
            policy: queue.policy.clone(),
            specification: specification.into(),
            steps: steps.into(),
            repeat,
            submitted: self.clock.now(),
        };
        job.check().map_err(|error| error.to_string())
    }

    /// Passes a request to the control thread, and waits for the answer until shortly before `until`, when the caller stops
    /// waiting.
    async fn ask(&self, access: Access, query: Query, until: Time) -> Reply {
        let left = until.since(self.clock.now());
        let caller = self.next_caller.get();
        self.next_caller.set(caller + 1);
        let (sender, receiver) = oneshot::channel();
        let request = Request {
            caller,
            access,
            query,
        };
        let full = self.waiting.borrow().len() >= WAITING_LIMIT;
        if full || self.requests.borrow_mut().send(request).is_err() {
            let reason = "the entry holds too many requests: try again later".to_owned();
            return Reply::Problem(Problem::Overloaded, reason);
        }
        self.waiting.borrow_mut().insert(caller, sender);
        let answer = timeout(left, receiver).await;
        self.waiting.borrow_mut().remove(&caller);
        match answer {
            Ok(Ok(answer)) => answer.at(self.clock.now()),
            Ok(Err(_)) | Err(_) => Reply::Problem(Problem::Unknown, IN_DOUBT.to_owned()),
        }
    }

    fn record(&self, verb: &'static str, answered: &Answered, started: Time) {
        let now = self.clock.now();
        let mut event = Event::new("request", now)
            .with("result", Value::Code(answered.result))
            .with("verb", Value::Code(verb))
            .with("took", Value::Duration(now.since(started)))
            .with_account(answered.subject.account.clone())
            .low_priority();
        if verb == Verb::Submit.as_str() {
            event = event.counted_by_account();
        }
        if let Some(id) = answered.subject.id {
            event = event.with("job", Value::Id(id.0));
        }
        if let Some(by) = answered.by {
            event = event.with("by", Value::Text(by.to_string().into()));
        }
        // Reads change nothing, so they appear in metrics only.
        let read = verb == Verb::Read.as_str();
        if matches!(answered.result, "state" | "pending") || (read && answered.by.is_some()) {
            event = event.metrics_only();
        }
        self.sink.borrow_mut().record(event);
    }
}

/// Returns the time for which the entry works on a request, shortly less than the caller waits.
fn caller_timeout(call: &Call) -> Duration {
    let timeout = call.timeout.unwrap_or(DEFAULT_TIMEOUT);
    timeout.min(MAX_TIMEOUT).saturating_sub(ANSWER_MARGIN)
}
