//! HTTP interface of the log and the host service.

use super::{
    Fault, Producer, Rejected,
    answer::{
        Answer,
        json,
        number,
        query,
        raw, //
    },
    state::{
        OPERATOR_TOPIC,
        RUNNER_TOPIC,
        State, //
    },
};
use base64::{
    Engine,
    prelude::BASE64_STANDARD as BASE64, //
};
use core::fmt;
use hyper::{
    HeaderMap,
    Method,
    StatusCode,
    http::request::Parts, //
};
use serde_json::{
    Value,
    json as object, //
};
use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::sleep;

/// Size limit of a read that names none.
const DEFAULT_READ_KILOBYTES: u64 = 1_024;
/// Time between two checks for records while a read waits.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Locks the state. A poisoned lock is ignored, because the panic that poisoned it already fails the test.
pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The connection ends without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stand-in ends the connection without an answer")
    }
}

impl core::error::Error for Closed {}

/// Responds to a request of an entry with the fault that is set for it. Requests to the host service have no faults.
pub(super) async fn serve_view(
    state: &Mutex<State>,
    view: Option<usize>,
    head: &Parts,
    body: &[u8],
) -> Result<Answer, Closed> {
    let fault = view.map_or(Fault::None, |view| lock(state).views[view].fault);
    let path = head.uri.path();
    let is_log = path.starts_with("/log");
    match fault {
        Fault::Down if is_log => Ok(json(StatusCode::SERVICE_UNAVAILABLE, &object!({}))),
        Fault::FailedReads if is_log && path != "/log-append" => Err(Closed),
        Fault::LostAnswers if path == "/log-append" => {
            let _ = serve(state, view, head, body).await;
            Err(Closed)
        }
        Fault::Slow(delay) if is_log => {
            sleep(delay).await;
            Ok(serve(state, view, head, body).await)
        }
        _ => Ok(serve(state, view, head, body).await),
    }
}

/// Responds to a request to the log or the host service.
async fn serve(state: &Mutex<State>, view: Option<usize>, head: &Parts, body: &[u8]) -> Answer {
    let query = query(head.uri.query());
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/log-append") => append(state, &query, body),
        (&Method::GET, "/log-read") => read(state, view, &query).await,
        (&Method::GET, "/log-newest") => newest(state, view, &query),
        (&Method::GET, "/machines") => json(StatusCode::OK, &lock(state).machines()),
        (&Method::POST, "/machine-move" | "/machine-upkeep") => {
            order_host(state, head.uri.path(), &head.headers, body)
        }
        _ => json(StatusCode::NOT_FOUND, &object!({})),
    }
}

fn append(state: &Mutex<State>, query: &HashMap<String, String>, body: &[u8]) -> Answer {
    let Some(topic) = query.get("topic") else {
        return json(StatusCode::BAD_REQUEST, &object!({}));
    };
    if topic == OPERATOR_TOPIC || topic == RUNNER_TOPIC {
        return json(StatusCode::FORBIDDEN, &object!({}));
    }
    let Some(records) = records(body) else {
        return json(StatusCode::BAD_REQUEST, &object!({}));
    };
    let producer = query.get("producer").map(|name| Producer {
        name: name.clone(),
        epoch: number(query, "epoch").unwrap_or_default(),
        sequence: number(query, "seq").unwrap_or_default(),
    });
    let at = number(query, "at");
    match lock(state)
        .log
        .append(topic, producer.as_ref(), at, records)
    {
        Ok(appended) => json(
            StatusCode::OK,
            &object!({ "offset": appended.offset, "end": appended.end }),
        ),
        Err(Rejected::Fenced) => json(StatusCode::CONFLICT, &object!({ "reason": "fenced" })),
        Err(Rejected::Sequence(expected)) => json(
            StatusCode::CONFLICT,
            &object!({ "reason": "seq", "expected": expected }),
        ),
        Err(Rejected::End(end)) => json(StatusCode::PRECONDITION_FAILED, &object!({ "end": end })),
    }
}

/// Decodes keyed records: the length of the record in four bytes, the length of the key in one byte, the key, the
/// value.
fn records(body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut rest = body;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, tail) = rest.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, tail) = tail.split_at_checked(length)?;
        rest = tail;
        let (&key, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(key))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, value.to_vec()));
    }
    Some(records)
}

async fn read(
    state: &Mutex<State>,
    view: Option<usize>,
    query: &HashMap<String, String>,
) -> Answer {
    let topic = query.get("topic").cloned().unwrap_or_default();
    let from = number(query, "from").unwrap_or_default();
    let wait = Duration::from_millis(number(query, "waitMs").unwrap_or_default());
    let limit = number(query, "maxKb").unwrap_or(DEFAULT_READ_KILOBYTES) << 10;
    let begun = Instant::now();
    loop {
        let read = {
            let state = lock(state);
            let read = state.log.read(&topic, from);
            read.map(|(end, rows)| (end, state.seen_by(view, &topic, rows)))
        };
        match read {
            Err(first) => return json(StatusCode::GONE, &object!({ "first": first })),
            Ok((end, records)) if !records.is_empty() || begun.elapsed() >= wait => {
                let mut body = Vec::new();
                body.extend_from_slice(&end.to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (index, (key, value)) in records.into_iter().enumerate() {
                    let length = 1 + key.len() + value.len();
                    if index > 0 && (body.len() + length) as u64 > limit {
                        break;
                    }
                    body.extend_from_slice(&(length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(&value);
                }
                return raw(StatusCode::OK, body);
            }
            Ok(_) => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn newest(state: &Mutex<State>, view: Option<usize>, query: &HashMap<String, String>) -> Answer {
    let topic = query.get("topic").cloned().unwrap_or_default();
    let state = lock(state);
    let (end, rows) = state.log.newest(&topic);
    let offsets: Vec<u64> = rows.iter().map(|(offset, _, _)| *offset).collect();
    let rows = rows.into_iter().map(|(_, key, value)| (key, value));
    let rows = state.seen_by(view, &topic, rows.collect());
    let item = |(offset, (key, value)): (u64, (String, Vec<u8>))| object!({ "key": key, "value": BASE64.encode(&value), "offset": offset });
    let items: Vec<Value> = offsets.into_iter().zip(rows).map(item).collect();
    json(
        StatusCode::OK,
        &object!({ "items": items, "hasMore": false, "end": end }),
    )
}

fn order_host(state: &Mutex<State>, path: &str, headers: &HeaderMap, body: &[u8]) -> Answer {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let Some(host) = body["machine"].as_str() else {
        return json(StatusCode::BAD_REQUEST, &object!({}));
    };
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let holder = text("x-sassafrascrank-lease-holder").unwrap_or_default();
    let token = text("x-sassafrascrank-fencing-token").and_then(|token| token.parse().ok());
    let issuer = (holder, token.unwrap_or_default());
    let mut state = lock(state);
    let now = state.now();
    let pool = body["pool"].as_str().unwrap_or_default();
    let before = state.hosts.hosts.get(host).map(|host| host.phase);
    let done = match path {
        "/machine-move" => state.hosts.relocate(host, pool, issuer, now),
        _ => {
            let wave = body["wave"].as_u64().unwrap_or_default();
            state.hosts.maintain(host, wave, issuer, now)
        }
    };
    let changed = state.hosts.hosts.get(host).map(|host| host.phase) != before;
    match done {
        None => json(StatusCode::BAD_REQUEST, &object!({})),
        Some(false) => json(StatusCode::CONFLICT, &object!({ "reason": "busy" })),
        Some(true) => {
            if changed {
                state.terminate_runner(host);
            }
            json(StatusCode::OK, &object!({}))
        }
    }
}
