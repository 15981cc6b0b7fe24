//! The platform's HTTP interface.

use super::{
    faults::Outage,
    store::Store, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header, //
};
use std::{
    io,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

/// Largest accepted request body in bytes.
const BODY_LIMIT: usize = 16 << 20;
/// Names of the streams.
const STREAMS: [&str; 2] = ["config", "member"];

type Answer = Result<Response<Full<Bytes>>, io::Error>;

pub(super) fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Responds to one request. An error closes the connection without a response.
pub(super) async fn serve(store: &Mutex<Store>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "body", "", "send less");
    };
    match lock(store).faults.outage {
        Outage::None => {}
        Outage::Closed => return Err(io::ErrorKind::ConnectionReset.into()),
        Outage::Unavailable => return answer(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned()),
    }
    let path = head.uri.path();
    let stream = path
        .strip_prefix("/streams/")
        .and_then(|rest| rest.strip_suffix("/records"));
    let made = match (&head.method, stream) {
        (&Method::GET, None) if path == "/hosts" => hosts(store, head.uri.query()),
        (_, Some(stream)) if !STREAMS.contains(&stream) => refuse(
            StatusCode::BAD_REQUEST,
            "stream",
            stream,
            "config or member",
        ),
        (&Method::GET, Some(stream)) => read(store, stream, head.uri.query().unwrap_or("")),
        (&Method::POST, Some(stream)) => append(store, stream, &body.to_bytes()),
        _ => refuse(
            StatusCode::NOT_FOUND,
            "path",
            path,
            "use /hosts or /streams/NAME/records",
        ),
    };
    delay(store).await;
    made
}

async fn delay(store: &Mutex<Store>) {
    let wait = {
        let mut store = lock(store);
        let faults = store.faults;
        let delayed = faults.delay_percent > 0 && store.draw(faults.delay_percent);
        delayed.then_some(faults.delay)
    };
    if let Some(wait) = wait {
        tokio::time::sleep(wait).await;
    }
}

fn append(store: &Mutex<Store>, stream: &str, body: &[u8]) -> Answer {
    let record = String::from_utf8_lossy(body);
    let parsed = serde_json::from_str::<serde_json::Value>(&record);
    if !parsed.is_ok_and(|value| value.is_object()) {
        let remedy = "send one JSON object";
        return refuse(StatusCode::BAD_REQUEST, "record", &record, remedy);
    }
    let mut store = lock(store);
    let offset = store.append(stream, record.into_owned());
    let percent = store.faults.lost_answer_percent;
    if percent > 0 && store.draw(percent) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    answer(StatusCode::OK, format!("{{\"offset\":{offset}}}"))
}

fn hosts(store: &Mutex<Store>, query: Option<&str>) -> Answer {
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|version| version.parse().ok());
    match lock(store).hosts(since) {
        Some(list) => answer(StatusCode::OK, list),
        None => nothing(),
    }
}

fn read(store: &Mutex<Store>, stream: &str, query: &str) -> Answer {
    let (mut from, mut limit) = (1, 256);
    for (field, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let Ok(number) = value.parse::<u64>() else {
            return refuse(StatusCode::BAD_REQUEST, field, value, "send a number");
        };
        match field {
            "from" => from = number,
            "limit" => limit = number,
            _ => return refuse(StatusCode::BAD_REQUEST, field, value, "use from and limit"),
        }
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let store = lock(store);
    if from == store.end(stream) + 1 {
        return nothing();
    }
    match store.read(stream, from, limit) {
        Ok(page) => answer(StatusCode::OK, page),
        Err(first) => answer(StatusCode::NOT_FOUND, format!("{{\"first\":{first}}}")),
    }
}

fn refuse(status: StatusCode, field: &str, value: &str, remedy: &str) -> Answer {
    let value: String = value.chars().take(80).collect();
    let body = serde_json::json!({ "field": field, "value": value, "remedy": remedy });
    answer(status, body.to_string())
}

/// Returns a response with status 204: there is nothing new.
fn nothing() -> Answer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NO_CONTENT;
    Ok(response)
}

fn answer(status: StatusCode, body: String) -> Answer {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)
}
