//! The thread that writes log lines and serves metrics.

use crate::{
    Event,
    Limiter,
    Metrics,
    Source,
    Value, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::Signal;
use spdlog::{
    Level,
    Logger, //
};
use std::{
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::sleep, //
};

/// Pause between two batches, so that recording threads don't wake this thread at each event. Also the delay before
/// another try after a failed accept.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Rate limit for log lines. At 200 bytes a line, a day at this rate fills about 10 GB.
const LINES_PER_SECOND: f64 = 600.0;
/// Time limit for reading the head of a metrics request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Inputs of [`run`].
pub struct Setup<C> {
    /// Name of the process, written in each log line.
    pub process: Arc<str>,
    /// Reading ends of the event rings, one for each recording thread.
    pub sources: Vec<Source>,
    /// Signal that all these rings raise when they receive an event.
    pub signal: Signal,
    /// Returns the current time.
    pub clock: C,
    /// Destination of the log lines.
    pub logger: Arc<Logger>,
    /// Listener of the metrics endpoint; `None` if metrics aren't served.
    pub listener: Option<std::net::TcpListener>,
    /// Set when the process stops. Events recorded before are still written.
    pub stop: Arc<AtomicBool>,
}

/// Writes log lines and serves metrics until `stop` is set. Must run in a Tokio `LocalSet`.
///
/// # Errors
///
/// Fails if the metrics can't be set up.
pub async fn run<C: Fn() -> Time>(setup: Setup<C>) -> Result<(), crate::Error> {
    let metrics = Rc::new(Metrics::new()?);
    if let Some(listener) = setup
        .listener
        .and_then(|listener| TcpListener::from_std(listener).ok())
    {
        spawn_local(serve(listener, Rc::clone(&metrics)));
    }
    let mut writer = Writer {
        process: setup.process,
        limiter: Limiter::new(LINES_PER_SECOND, (setup.clock)()),
        logger: setup.logger,
        metrics,
        dropped: HashMap::new(),
    };
    let mut sources = setup.sources;
    loop {
        setup
            .signal
            .wait(|| setup.stop.load(Ordering::SeqCst) || has_events(&sources))
            .await;
        let stopping = setup.stop.load(Ordering::SeqCst);
        let now = (setup.clock)();
        for source in &mut sources {
            writer.write_source(source, now);
        }
        writer.logger.flush();
        if stopping {
            return Ok(());
        }
        sleep(BATCH_INTERVAL).await;
    }
}

fn has_events(sources: &[Source]) -> bool {
    sources.iter().any(|source| !source.receiver.is_empty())
}

/// State of the running thread.
struct Writer {
    process: Arc<str>,
    limiter: Limiter,
    logger: Arc<Logger>,
    metrics: Rc<Metrics>,
    /// Dropped events by thread, as counted in the metrics so far.
    dropped: HashMap<&'static str, u64>,
}

impl Writer {
    /// Counts and writes all events in the ring of `source`, and reports how many its thread has dropped since the last
    /// call.
    fn write_source(&mut self, source: &mut Source, now: Time) {
        while let Some(event) = source.receiver.try_recv() {
            self.metrics.count(&event);
            if !event.metrics_only {
                self.write(&event, now);
            }
        }
        let total = source.dropped.load(Ordering::Relaxed);
        let counted = self.dropped.entry(source.thread).or_default();
        let new = total - *counted;
        if new > 0 {
            *counted = total;
            self.metrics.count_dropped(source.thread, new);
            let event = Event::new("events-dropped", now)
                .with("thread", Value::Code(source.thread))
                .with("count", Value::Count(new));
            self.write(&event, now);
        }
    }

    /// Writes the log line of an event unless the rate limit suppresses it.
    fn write(&mut self, event: &Event, now: Time) {
        let Some(suppressed) = self.limiter.admit(event.low_priority, now) else {
            self.metrics.count_suppressed();
            return;
        };
        if suppressed > 0 {
            let event = Event::new("lines-suppressed", now).with("count", Value::Count(suppressed));
            self.log(&event);
        }
        self.log(event);
    }

    fn log(&self, event: &Event) {
        let line = event.to_json(&self.process);
        spdlog::log!(logger: self.logger, Level::Info, "{line}");
    }
}

/// Serves the metrics on every path of the listener.
async fn serve(listener: TcpListener, metrics: Rc<Metrics>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(BATCH_INTERVAL).await;
            continue;
        };
        let metrics = Rc::clone(&metrics);
        spawn_local(async move {
            let service = service_fn(move |_| {
                let response = respond(&metrics);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            // An error here affects only the connection of one metrics client.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn respond(metrics: &Metrics) -> Response<Full<Bytes>> {
    match metrics.scrape() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            let mut response = Response::new(Full::new(Bytes::from(error.to_string())));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
