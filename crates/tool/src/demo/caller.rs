//! Callers of one house.

use super::{
    deployment::credential,
    plan::POOL,
    sample::{
        Fate,
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

/// Callers of one house with their connections to each entry.
pub(super) struct Caller {
    credential: String,
    pools: Vec<Pool>,
}

impl Caller {
    pub(super) fn new(house: usize, entries: &[SocketAddr]) -> Self {
        Self {
            credential: format!("Bearer {}", credential(house)),
            pools: entries.iter().copied().map(Pool::new).collect(),
        }
    }

    /// Sends the request with this number; like a balancer, it chooses another entry if one accepts no connection.
    pub(super) async fn call(&self, work: Work, number: u32) -> Fate {
        let first = usize::try_from(number).unwrap_or(0) % self.pools.len();
        let (before, from) = self.pools.split_at(first);
        for pool in from.iter().chain(before) {
            let Some(request) = self.request(work, number) else {
                return Fate::Unsent;
            };
            match pool.send(request).await {
                Ok(answer) => return fate(&answer),
                Err(Failure::Interrupted(_)) => return Fate::Cut,
                Err(Failure::Unsent(_)) => {}
            }
        }
        Fate::Unsent
    }

    /// Tells whether every entry answers quotes.
    pub(super) async fn is_served(&self) -> bool {
        for pool in &self.pools {
            let Some(request) = self.request(Work::Quote, 0) else {
                return false;
            };
            let answer = pool.send(request).await;
            if !answer.is_ok_and(|answer| fate(&answer) == Fate::Answered) {
                return false;
            }
        }
        true
    }

    fn request(&self, work: Work, number: u32) -> Option<Request<Full<Bytes>>> {
        // A ledger job is written with PUT, so it may run again after a failure; POST would need a key.
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

/// Reads the outcome of an answer; an answer without one is no answer of an entry.
fn fate(answer: &Answer) -> Fate {
    let outcome = answer.headers.get("sassafrascrank-outcome");
    match outcome.map(|outcome| outcome.as_bytes()) {
        Some(b"answered") if answer.status == StatusCode::OK => Fate::Answered,
        Some(b"not-run") => Fate::NotRun,
        _ => Fate::Unknown,
    }
}
