//! Handling of requests by a runner.

use super::Faults;
use bytes::Bytes;
use core::time::Duration;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use std::{
    collections::HashMap,
    io,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

/// Header with the service time that a request takes, in milliseconds.
const SERVICE_TIME_HEADER: &str = "standin-service-ms";

/// State of a runner.
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) runs: u64,
    pub(super) running: u32,
    pub(super) most_running: u32,
    /// Number of runs by idempotency key.
    pub(super) keys: HashMap<String, u32>,
    random: StdRng,
}

/// Faults of one request, drawn at random.
struct RequestFaults {
    delay: Duration,
    reset_before: bool,
    reset_after: bool,
    silent: bool,
    error: bool,
    draining: bool,
}

impl State {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            runs: 0,
            running: 0,
            most_running: 0,
            keys: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn draw_faults(&mut self) -> RequestFaults {
        let faults = self.faults;
        let mut draw = |percent: u8| self.random.random_range(0..100) < u32::from(percent);
        RequestFaults {
            delay: match draw(faults.late_percent) {
                true => faults.delay,
                false => Duration::ZERO,
            },
            reset_before: draw(faults.reset_before_percent),
            reset_after: draw(faults.reset_after_percent),
            silent: draw(faults.silent_percent),
            error: draw(faults.error_percent),
            draining: faults.draining,
        }
    }

    fn begin(&mut self, key: Option<String>) {
        self.runs += 1;
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        if let Some(key) = key {
            *self.keys.entry(key).or_default() += 1;
        }
    }
}

/// Guard that counts a request as running until it is dropped.
struct Running<'a>(&'a Mutex<State>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

/// Runs a request and responds with its method, path and body.
pub(super) async fn serve(
    state: &Mutex<State>,
    name: &str,
    service_time: Duration,
    request: Request<Incoming>,
) -> io::Result<Response<Full<Bytes>>> {
    let faults = lock(state).draw_faults();
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if faults.reset_before {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if faults.error {
        return Ok(respond(
            name,
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::new(),
            &faults,
        ));
    }
    let text = |name: &str| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    let requested = text(SERVICE_TIME_HEADER).and_then(|millis| millis.parse().ok());
    let service_time = requested.map_or(service_time, Duration::from_millis);
    lock(state).begin(text("idempotency-key"));
    let running = Running(state);
    let time = service_time + faults.delay;
    if !time.is_zero() {
        // A timer of `tokio` takes at least a millisecond, however short the time is.
        tokio::time::sleep(time).await;
    }
    if faults.silent {
        core::future::pending::<()>().await;
    }
    drop(running);
    if faults.reset_after {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut answer = format!("{} {} ", parts.method, parts.uri.path()).into_bytes();
    answer.extend_from_slice(&body);
    Ok(respond(name, StatusCode::OK, answer.into(), &faults))
}

fn respond(
    name: &str,
    status: StatusCode,
    body: Bytes,
    faults: &RequestFaults,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(name) = name.parse() {
        headers.insert("standin-runner", name);
    }
    if faults.draining {
        headers.insert(
            "sassafrascrank-draining",
            hyper::header::HeaderValue::from_static("1"),
        );
    }
    response
}

pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    // The state stays usable after a panic of a thread that held the lock.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
