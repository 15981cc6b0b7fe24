//! Routing of requests to the handlers of each path.

use super::{
    problem::Problem,
    query, //
};
use crate::{
    observer::{
        Observer,
        message::{
            Health,
            Inspect,
            Query,
            Scrape, //
        },
    },
    status::update::Phase,
    timeline::wire, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Response, StatusCode, Uri,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use sassafrascrank_base::prelude::Time;
use xtra::Address;

/// Answers one request; `now` is the current time.
pub(super) async fn answer(
    method: &Method,
    uri: &Uri,
    observer: &Address<Observer>,
    now: Time,
) -> Result<Response<Full<Bytes>>, Problem> {
    if method != Method::GET && method != Method::HEAD {
        return Err(Problem::method_not_allowed());
    }
    match uri.path() {
        "/healthz" => health(observer).await,
        "/metrics" => metrics(observer).await,
        "/status" => status(observer, now).await,
        "/timeline" => timeline(uri.query().unwrap_or_default(), observer).await,
        path => Err(Problem::unknown_path(path)),
    }
}

async fn health(observer: &Address<Observer>) -> Result<Response<Full<Bytes>>, Problem> {
    let phase = observer.send(Health).await.map_err(stopped)?;
    let mut response = text(format!("{phase}\n"), "text/plain; charset=utf-8");
    if phase != Phase::Serving {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

async fn metrics(observer: &Address<Observer>) -> Result<Response<Full<Bytes>>, Problem> {
    let scrape = observer.send(Scrape).await.map_err(stopped)?;
    let scrape = scrape.map_err(|error| Problem::unavailable(error.to_string()))?;
    Ok(text(scrape, "text/plain; version=0.0.4; charset=utf-8"))
}

async fn status(observer: &Address<Observer>, now: Time) -> Result<Response<Full<Bytes>>, Problem> {
    let status = observer.send(Inspect(now)).await.map_err(stopped)?;
    let mut body = json(&status)?;
    body.push('\n');
    Ok(text(body, "application/json"))
}

/// Answers with one JSON object for each record, one a line.
async fn timeline(
    query: &str,
    observer: &Address<Observer>,
) -> Result<Response<Full<Bytes>>, Problem> {
    let filter = query::parse(query).map_err(|error| Problem::invalid_parameter(&error))?;
    let records = observer.send(Query(filter)).await.map_err(stopped)?;
    let mut body = String::new();
    for record in &records {
        body.push_str(&json(&wire::Record::from(record))?);
        body.push('\n');
    }
    Ok(text(body, "application/x-ndjson"))
}

fn json(value: &impl serde::Serialize) -> Result<String, Problem> {
    serde_json::to_string(value).map_err(|error| Problem::unavailable(error.to_string()))
}

fn text(body: String, content_type: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Converts the error of a message to an observer that has stopped.
fn stopped(_: xtra::Error) -> Problem {
    Problem::unavailable("the process is about to end")
}
