//! Requests of one customer.

use super::{
    deployment::credential,
    plan::POOL,
    sample::{
        Outcome,
        Work, //
    },
};
use crate::client::{
    Answer,
    Failure,
    Pool, //
};
use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::Full;
use hyper::{
    Request,
    StatusCode, //
};

/// Credential of one customer, and connections to each entry.
pub(super) struct Caller {
    credential: String,
    connections: Vec<Pool>,
}

impl Caller {
    pub(super) fn new(customer: usize, entries: &[SocketAddr]) -> Self {
        Self {
            credential: format!("Bearer {}", credential(customer)),
            connections: entries.iter().copied().map(Pool::new).collect(),
        }
    }

    /// Sends the request with this number. Requests take turns among the entries; like a load balancer, it tries the
    /// next entry if one accepts no connection.
    pub(super) async fn call(&self, work: Work, number: u32) -> Outcome {
        let first = usize::try_from(number).unwrap_or(0) % self.connections.len();
        let (before, from) = self.connections.split_at(first);
        for entry in from.iter().chain(before) {
            let Some(request) = self.request(work, number) else {
                return Outcome::Unsent;
            };
            match entry.send(request).await {
                Ok(answer) => return read_outcome(&answer),
                Err(Failure::Interrupted(_)) => return Outcome::Cut,
                Err(Failure::Unsent(_)) => {}
            }
        }
        Outcome::Unsent
    }

    /// Returns whether every entry answers quotes.
    pub(super) async fn is_served(&self) -> bool {
        for entry in &self.connections {
            let Some(request) = self.request(Work::Quote, 0) else {
                return false;
            };
            let answer = entry.send(request).await;
            if !answer.is_ok_and(|answer| read_outcome(&answer) == Outcome::Answered) {
                return false;
            }
        }
        true
    }

    fn request(&self, work: Work, number: u32) -> Option<Request<Full<Bytes>>> {
        // PUT is idempotent, so an entry may repeat a ledger request after a failure; POST would need an idempotency
        // key.
        let method = match work {
            Work::Quote => "GET",
            Work::Ledger => "PUT",
        };
        let timeout = work.deadline().as_millis();
        let service_time = work.service_time().as_millis();
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}/{number}", work.as_str()))
            .header("host", "entry")
            .header("authorization", &self.credential)
            .header("sassafrascrank-pool", POOL)
            .header("sassafrascrank-urgency", work.as_str())
            .header("sassafrascrank-timeout", timeout.to_string())
            .header("standin-service-ms", service_time.to_string());
        request.body(Full::new(Bytes::new())).ok()
    }
}

/// Reads the outcome header of an answer. An answer without a known outcome, or with an error status of the upstream,
/// counts as unknown.
fn read_outcome(answer: &Answer) -> Outcome {
    let outcome = answer.headers.get("sassafrascrank-outcome");
    match outcome.map(|outcome| outcome.as_bytes()) {
        Some(b"answered") if answer.status == StatusCode::OK => Outcome::Answered,
        Some(b"not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
