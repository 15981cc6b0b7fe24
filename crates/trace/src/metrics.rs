//! Counters and histograms of events.

use crate::Event;
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        MeterProvider, //
    },
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::TextEncoder;

/// Upper bounds of the histogram buckets in seconds: from one call on the local network to the longest outage of the
/// platform log.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The metrics can't be set up or encoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The exporter could not be registered.
    #[error("metrics can't be exported ({0}); report this as a fault of sassafrascrank")]
    Export(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The metrics could not be encoded.
    #[error("metrics can't be encoded ({0}); report this as a fault of sassafrascrank")]
    Encode(#[from] prometheus::Error),
}

/// Counters and histograms, labelled with the event name.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    durations: Histogram<f64>,
    levels: Gauge<u64>,
    dropped: Counter<u64>,
    suppressed: Counter<u64>,
}

impl Metrics {
    /// Creates and registers all instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("sassafrascrank")
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sassafrascrank");
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let durations = meter
            .f64_histogram("event.duration")
            .with_unit("s")
            .with_description("Time that an event took, or age of the input that decided it")
            .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
            .build();
        let levels = meter
            .u64_gauge("level")
            .with_description("Latest values of an event that describes a state")
            .build();
        Ok(Self {
            levels,
            events: counter("events", "Events by name and reason"),
            dropped: counter("events.dropped", "Events dropped because a ring was full"),
            suppressed: counter("lines.suppressed", "Log lines left out above the rate"),
            durations,
            registry,
            _provider: provider,
        })
    }

    /// Counts an event and records its duration if it has one. Event names and reasons come from fixed sets, which
    /// bounds the number of time series.
    pub fn count(&self, event: &Event) {
        let name = KeyValue::new("event", event.name);
        let reason = KeyValue::new("reason", event.code().unwrap_or("none"));
        self.events.add(event.count, &[name.clone(), reason]);
        if event.is_level {
            for (key, value) in event.counts() {
                let labels = [name.clone(), KeyValue::new("of", key)];
                self.levels.record(value, &labels);
            }
        }
        if let Some(duration) = event.duration() {
            self.durations.record(duration.as_secs_f64(), &[name]);
        }
    }

    /// Counts events that a thread dropped because its ring was full.
    pub fn count_dropped(&self, thread: &'static str, count: u64) {
        self.dropped.add(count, &[KeyValue::new("thread", thread)]);
    }

    /// Counts a log line that the rate limit suppressed.
    pub fn count_suppressed(&self) {
        self.suppressed.add(1, &[]);
    }

    /// Encodes all metrics in the Prometheus text format, version 0.0.4.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
