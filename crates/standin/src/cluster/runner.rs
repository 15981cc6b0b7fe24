//! HTTP interface of the runners.

use super::{
    Refusal, Start, Worker,
    answer::{
        Answer,
        json, //
    },
    service::{
        Closed,
        lock, //
    },
    state::State,
};
use hyper::{
    StatusCode,
    http::request::Parts, //
};
use serde_json::{
    Value,
    json as object, //
};
use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::sleep;

/// Time between two checks for an ended attempt while a poll is held open.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Duration of a task whose specification names none, in milliseconds.
const DEFAULT_WORK_MS: u64 = 200;

/// Responds to a request to the runner of a host. The specification controls the task: `work=N` makes it run for N ms,
/// `lasting` makes it run until it is stopped, and `fails` makes it fail.
///
/// # Errors
///
/// A call gets no answer if the incarnation that has read it ends before.
pub(super) async fn serve(
    state: &Mutex<State>,
    host: &str,
    head: &Parts,
    body: &[u8],
) -> Result<Answer, Closed> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let expected = head.headers.get("x-sassafrascrank-expect-instance");
    let expected = expected.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or_default());
    let begun = Instant::now();
    // Start of the incarnation that has read the call.
    let mut reader = None;
    loop {
        {
            let mut state = lock(state);
            let now = state.now();
            let node = state.nodes.get_mut(host);
            let silent = node.as_ref().is_some_and(|node| node.silent);
            let worker = node.and_then(|node| node.worker.as_mut());
            match worker {
                Some(worker) if reader.is_some_and(|born| born != worker.born) => {
                    return Err(Closed);
                }
                Some(worker) if worker.id == expected => {
                    reader = Some(worker.born);
                    let result = execute(worker, head.uri.path(), &body, now);
                    let may_wait = head.uri.path() == "/hold" && worker.ends.is_empty();
                    if result.is_err() || !may_wait || begun.elapsed() >= wait {
                        return Ok(answer(worker, result, now));
                    }
                }
                None if silent => {}
                _ => return Ok(json(StatusCode::MISDIRECTED_REQUEST, &object!({}))),
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn execute(worker: &mut Worker, path: &str, body: &Value, now: Duration) -> Result<(), Refusal> {
    let task = body["task"].as_str().unwrap_or_default();
    let attempt = body["attempt"].as_u64().unwrap_or_default() as u32;
    let fence = body["fence"].as_u64().unwrap_or_default();
    match path {
        "/run-start" => {
            let text = body["spec"].as_str().unwrap_or_default();
            let millis = text.split(' ').find_map(|word| word.strip_prefix("work="));
            let millis = millis
                .and_then(|millis| millis.parse().ok())
                .unwrap_or(DEFAULT_WORK_MS);
            let start = Start {
                task: task.to_owned(),
                attempt,
                until: body["untilMs"].as_u64().unwrap_or_default(),
                fence,
                duration: (!text.contains("lasting")).then(|| Duration::from_millis(millis)),
                fails: text.contains("fails"),
            };
            worker.start(start, now)
        }
        "/run-stop" => worker.stop(task, attempt, fence, now),
        _ => {
            let acknowledged = body["ackCursor"].as_u64().unwrap_or_default();
            worker.renew_lease(body["untilMs"].as_u64(), fence, acknowledged, now)
        }
    }
}

fn answer(worker: &Worker, result: Result<(), Refusal>, now: Duration) -> Answer {
    let clock = worker.clock(now);
    if let Err(refusal) = result {
        let body = object!({ "clockMs": clock, "reason": refusal.as_str() });
        return json(StatusCode::CONFLICT, &body);
    }
    let running: Vec<Value> = worker
        .runs
        .iter()
        .map(|run| object!([run.task, run.attempt, "", run.percent(now), 0]))
        .collect();
    let finished: Vec<Value> = worker
        .ends
        .iter()
        .map(|end| object!([end.number, end.task, end.attempt, end.outcome, ""]))
        .collect();
    let body = object!({
        "clockMs": clock,
        "born": worker.born,
        "running": running,
        "finished": finished,
    });
    json(StatusCode::OK, &body)
}
