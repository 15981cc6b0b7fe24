//! Passing of callers' requests on to candidates, which read the jobs.

use super::{
    Statement,
    budget::Origin,
    peers::Peers,
    statement, //
};
use crate::{
    clock::Clock,
    port::Verb, //
};
use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    header, //
    http::request::Parts,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_client::{
    self as client,
    Failure,
    Limits,
    Message,
    Pool, //
};
use std::cell::{
    Cell,
    RefCell, //
};

/// Largest number of concurrent connections to a candidate.
const MAX_CONNECTIONS: usize = 16;
/// Time that a request waits for a free connection.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);
/// Time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an answer. It covers an append to a slow log, and leaves a caller that waits for 3 s the time for two more
/// candidates.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of candidates that a request is passed to, one after the other.
const MAX_ATTEMPTS: usize = 3;
/// Time for the answer to a probe. A candidate at the far end of a narrow link needs a third of it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the answer of the leader to a submission while the log is slow. A slow log stores a record within 0.4 s, and the
/// leader may have to wait for the append before.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Header of a submission that a candidate has passed on to the leader. It is not passed on again.
const FORWARDED_HEADER: header::HeaderName =
    header::HeaderName::from_static("x-sassafrascrank-forwarded");
/// Largest answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Headers that concern a connection between two processes and not the request.
const CONNECTION_HEADERS: [header::HeaderName; 4] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    FORWARDED_HEADER,
];

/// A request that can be passed on.
pub(super) struct Passed {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// For whom the caller acts; `None` if the candidate has to decide that by itself.
    pub(super) statement: Option<Statement>,
    /// Whether a candidate passes it on to the leader.
    pub(super) forwarded: bool,
    /// When the caller stops waiting.
    pub(super) until: Time,
}

impl Passed {
    /// Creates a request from one that was received.
    pub(super) fn new(
        head: &Parts,
        body: Bytes,
        statement: Option<Statement>,
        until: Time,
    ) -> Self {
        Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: head.headers.clone(),
            body,
            statement,
            forwarded: false,
            until,
        }
    }

    fn message(&self) -> Result<Message, Failure> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut message = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .map_err(Failure::invalid)?;
        let headers = self.headers.iter();
        let headers = headers.filter(|(name, _)| !CONNECTION_HEADERS.contains(name));
        message
            .headers_mut()
            .extend(headers.map(|(name, value)| (Some(name.clone()), value.clone())));
        // A caller may have sent headers of the same names.
        statement::strip(message.headers_mut());
        if let Some(statement) = &self.statement {
            statement::write(message.headers_mut(), statement);
        }
        if self.forwarded {
            let yes = header::HeaderValue::from_static("1");
            message.headers_mut().insert(FORWARDED_HEADER, yes);
        }
        Ok(message)
    }
}

/// What became of a request that was passed on.
#[derive(Debug)]
pub(super) enum Outcome {
    /// A candidate has answered.
    Answered(Response<Full<Bytes>>, SocketAddr),
    /// No candidate could be reached.
    NotSent,
    /// Candidates have refused the request. The log would refuse it here too, or is too slow for more appends.
    Refused(Response<Full<Bytes>>, SocketAddr),
    /// A candidate may have carried out the request.
    Unknown,
}

/// Who is to answer a request in place of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Target {
    /// The candidates, one after the other until one answers.
    Candidates,
    /// The leader, whose single append then has the records of all candidates.
    Leader(SocketAddr),
}

/// A request to a candidate that waits for an answer. The caller may close its connection meanwhile, which drops it.
struct Pending<'a> {
    peers: &'a RefCell<Peers>,
    address: SocketAddr,
    token: u64,
}

impl Pending<'_> {
    fn end(self, answered: bool, now: Time) {
        let mut peers = self.peers.borrow_mut();
        peers.end(self.address, self.token, answered, now);
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.peers.borrow_mut().cancel(self.address, self.token);
    }
}

/// Passes callers' requests on to candidates.
pub(super) struct Relay {
    pool: Pool,
    clock: Clock,
    /// Candidates in the order of preference; empty if this entry answers itself.
    candidates: RefCell<Vec<SocketAddr>>,
    /// The leader, while the log is slow and this entry is another candidate.
    leader: Cell<Option<SocketAddr>>,
    /// What is known of the candidates.
    peers: RefCell<Peers>,
}

impl Relay {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            pool: Pool::new(MAX_CONNECTIONS, CONNECTION_WAIT),
            clock,
            candidates: RefCell::default(),
            leader: Cell::new(None),
            peers: RefCell::default(),
        }
    }

    /// Replaces the candidates, and closes the connections to those that have left.
    pub(super) fn set_candidates(&self, candidates: Vec<SocketAddr>) {
        let former = self.candidates.replace(candidates);
        let present = self.candidates.borrow();
        for address in former.iter().filter(|address| !present.contains(address)) {
            self.pool.close_idle(*address);
            self.peers.borrow_mut().forget(*address);
        }
    }

    /// Sets the leader to which submissions are passed on.
    pub(super) fn set_leader(&self, leader: Option<SocketAddr>) {
        self.leader.set(leader);
    }

    /// Returns who is to answer a request in place of this entry, if anybody is.
    pub(super) fn target(&self, verb: Verb, origin: Origin, headers: &HeaderMap) -> Option<Target> {
        if origin == Origin::Caller && self.is_active() {
            return Some(Target::Candidates);
        }
        let was_forwarded = origin == Origin::Entry && headers.contains_key(FORWARDED_HEADER);
        let leader = self.leader.get();
        leader
            .filter(|_| verb == Verb::Submit && !was_forwarded)
            .map(Target::Leader)
    }

    /// Passes a request on.
    pub(super) async fn pass(&self, target: Target, mut request: Passed) -> Outcome {
        match target {
            Target::Candidates => self.pass_to_candidates(&request).await,
            Target::Leader(leader) if self.is_alive(leader).await => {
                request.forwarded = true;
                self.send(leader, &request, LEADER_TIMEOUT).await
            }
            Target::Leader(_) => Outcome::NotSent,
        }
    }

    /// Tells whether requests are passed on.
    pub(super) fn is_active(&self) -> bool {
        !self.candidates.borrow().is_empty()
    }

    /// Passes a request on to one candidate after the other until one has answered.
    async fn pass_to_candidates(&self, request: &Passed) -> Outcome {
        let mut outcome = Outcome::NotSent;
        for address in self.order() {
            if request.until.since(self.clock.now()).is_zero() {
                break;
            }
            if !self.is_alive(address).await {
                continue;
            }
            match self.send(address, request, ANSWER_TIMEOUT).await {
                Outcome::NotSent => {}
                Outcome::Refused(..) if matches!(outcome, Outcome::Unknown) => {}
                // The limit holds for the account, so that other candidates would refuse the request too.
                Outcome::Refused(response, by)
                    if response.status() == StatusCode::TOO_MANY_REQUESTS =>
                {
                    return Outcome::Refused(response, by);
                }
                // A candidate before may have carried out what this one refuses.
                Outcome::Answered(response, _)
                    if response.status() == StatusCode::UNAUTHORIZED
                        && matches!(outcome, Outcome::Unknown) => {}
                Outcome::Answered(response, by) => return Outcome::Answered(response, by),
                other => outcome = other,
            }
        }
        outcome
    }

    /// Sends a request to one candidate.
    async fn send(&self, address: SocketAddr, request: &Passed, limit: Duration) -> Outcome {
        let Ok(message) = request.message() else {
            return Outcome::NotSent;
        };
        let left = request.until.since(self.clock.now());
        match self.call(address, message, limit.min(left)).await {
            Ok(response) => match response.status {
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    Outcome::Refused(answer(response), address)
                }
                // The candidate may not know yet of a queue that the caller named correctly.
                StatusCode::NOT_FOUND => Outcome::NotSent,
                StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => Outcome::Unknown,
                _ => Outcome::Answered(answer(response), address),
            },
            Err(failure) if failure.may_have_effect() => Outcome::Unknown,
            Err(_) => Outcome::NotSent,
        }
    }

    /// Tells whether a candidate answers. One that is suspected is asked by a request without an effect first: what a process
    /// that stands still or is cut off has received may take effect later, so its caller could not be told that it did not.
    async fn is_alive(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        if !self.peers.borrow().is_suspected(address, now) {
            return true;
        }
        if !self.peers.borrow().may_probe(address, now) {
            return false;
        }
        let probe = Request::builder()
            .method(Method::OPTIONS)
            .uri("/")
            .body(Full::new(Bytes::new()));
        match probe {
            Ok(probe) => self.call(address, probe, PROBE_TIMEOUT).await.is_ok(),
            Err(_) => false,
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        message: Message,
        limit: Duration,
    ) -> Result<client::Response, Failure> {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT.min(limit),
            response_timeout: limit,
            transfer: None,
            max_response_bytes: MAX_ANSWER_BYTES,
        };
        let pending = Pending {
            peers: &self.peers,
            address,
            token: self.peers.borrow_mut().begin(address, self.clock.now()),
        };
        let result = self.pool.call(address, message, limits).await;
        pending.end(result.is_ok(), self.clock.now());
        result
    }

    /// Returns the candidates that a request is passed to, those that did not answer lately after the others.
    fn order(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let mut candidates = self.candidates.borrow().clone();
        candidates.sort_by_key(|address| peers.is_suspected(*address, now));
        candidates.truncate(MAX_ATTEMPTS);
        candidates
    }
}

/// Returns the answer of a candidate for the caller.
fn answer(response: client::Response) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(response.body));
    *answer.status_mut() = response.status;
    let headers = response.headers.into_iter().filter(|(name, _)| {
        let name = name.as_ref();
        name.is_none_or(|name| !CONNECTION_HEADERS.contains(name))
    });
    answer.headers_mut().extend(headers);
    answer
}
