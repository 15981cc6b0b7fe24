//! Handling of the requests on one connection.

use super::{
    Handler,
    Refusal,
    reply::{
        self,
        Failure, //
    },
    server::Shared, //
};
use crate::{
    message::{
        self,
        KnownState, //
    },
    wire::{
        self,
        ConnectionState,
        HANDOVER_LIMIT,
        REPORT_LIMIT,
        STATE_LIMIT, //
    },
};
use bytes::Bytes;
use core::cell::RefCell;
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{
        Body,
        Incoming, //
    },
};
use std::rc::Rc;
use tokio::time::timeout;

/// State of one connection.
pub(super) struct Session<H> {
    shared: Rc<Shared<H>>,
    connection: RefCell<ConnectionState>,
}

impl<H: Handler> Session<H> {
    pub(super) fn new(shared: Rc<Shared<H>>) -> Self {
        Self {
            shared,
            connection: RefCell::default(),
        }
    }

    pub(super) async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let limit = self.shared.limit.request;
        let result = match timeout(limit, self.route(request)).await {
            Ok(result) => result,
            Err(_) => {
                let text = format!("no answer within {limit:?}: send the request again");
                Err(Failure(StatusCode::REQUEST_TIMEOUT, text))
            }
        };
        match result {
            Ok(response) => {
                self.shared.update_count(|count| count.answered += 1);
                response
            }
            Err(failure) => {
                self.shared.update_count(|count| count.refused += 1);
                reply::failure(failure)
            }
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Failure> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/report") => self.report(request).await,
            (&Method::GET, "/state") => self.state(&request).await,
            (&Method::POST, "/handover") => self.hand_over(request).await,
            _ => {
                let text = "use POST /report, GET /state or POST /handover";
                Err(Failure(StatusCode::NOT_FOUND, text.to_owned()))
            }
        }
    }

    async fn report(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Failure> {
        let body = read(request, REPORT_LIMIT).await?;
        let report: wire::Report = wire::decode(&body, REPORT_LIMIT)?;
        let report = report.check(&mut self.connection.borrow_mut())?;
        let answer = self.shared.handler.report(report).await?;
        let answer = wire::Report::new(&answer, &mut self.connection.borrow_mut());
        let body = wire::encode(&answer, REPORT_LIMIT).map_err(internal)?;
        Ok(reply::success(StatusCode::OK, body))
    }

    async fn state(&self, request: &Request<Incoming>) -> Result<Response<Full<Bytes>>, Failure> {
        let after = parse_query(request.uri().query().unwrap_or_default())?;
        let state = self.shared.handler.state(after).await?.newer_than(after);
        if state.is_empty() {
            return Ok(reply::success(StatusCode::NO_CONTENT, Vec::new()));
        }
        let body = wire::encode(&wire::State::from(&state), STATE_LIMIT).map_err(internal)?;
        Ok(reply::success(StatusCode::OK, body))
    }

    async fn hand_over(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Failure> {
        let handovers = &self.shared.handovers;
        if handovers.get() >= self.shared.limit.handovers {
            let text = "another handover is in progress: send it again in a second";
            return Err(Failure(StatusCode::SERVICE_UNAVAILABLE, text.to_owned()));
        }
        handovers.set(handovers.get() + 1);
        let _guard = HandoverGuard(handovers);
        let body = read(request, HANDOVER_LIMIT).await?;
        let handover: wire::Handover = wire::decode(&body, HANDOVER_LIMIT)?;
        let handover = message::Handover::try_from(handover)?;
        self.shared.handler.hand_over(handover).await?;
        Ok(reply::success(StatusCode::NO_CONTENT, Vec::new()))
    }
}

/// Counts a handover in progress until it is dropped.
struct HandoverGuard<'a>(&'a core::cell::Cell<usize>);

impl Drop for HandoverGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self(StatusCode::CONFLICT, refusal.0)
    }
}

fn internal(error: wire::Error) -> Failure {
    Failure(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
}

async fn read(request: Request<Incoming>, limit: usize) -> Result<Bytes, Failure> {
    let large = || {
        let text = format!("the body is too large: send at most {limit} bytes");
        Failure(StatusCode::PAYLOAD_TOO_LARGE, text)
    };
    // A `content-length` above the limit is refused without reading the body.
    if request.body().size_hint().lower() > limit as u64 {
        return Err(large());
    }
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(large()),
        Err(error) => Err(Failure(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

fn parse_query(query: &str) -> Result<KnownState, wire::Error> {
    // A process that sends no `hosts` has a host list, or is too old to accept one.
    let mut after = KnownState {
        hosts: true,
        ..KnownState::default()
    };
    for (name, value) in query.split('&').filter_map(|part| part.split_once('=')) {
        let offset = match name {
            "hosts" => {
                after.hosts = value != "false";
                continue;
            }
            "config_after" => &mut after.config,
            "member_after" => &mut after.member,
            // A newer version may send further parameters.
            _ => continue,
        };
        let parsed = value.parse();
        *offset =
            parsed.map_err(|_| wire::Error::new(name, value, "send an offset of 0 or more"))?;
    }
    Ok(after)
}
