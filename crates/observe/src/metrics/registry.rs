//! Registry of all instruments of the process.

use super::{
    Bound,
    CUSTOMER_LIMIT,
    LABEL_SET_LIMIT,
    POOL_LIMIT,
    gauge, //
};
use crate::{
    event::Kind,
    status::Status,
    timeline::{
        Record,
        Timeline, //
    },
};
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Histogram,
        MeterProvider, //
    },
};
use opentelemetry_sdk::metrics::{
    Instrument,
    SdkMeterProvider,
    Stream, //
};
use prometheus::TextEncoder;
use sassafrascrank_base::prelude::*;

/// Upper bounds of the histogram buckets of queue waits and service times, in seconds. They range from less than a
/// wake-up between threads to the longest jobs, and include 3 s, within which urgent work has to start.
const BUCKET_BOUNDS_SECONDS: [f64; 13] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0, 30.0, 120.0, 600.0,
];
/// Cardinality limit of one instrument in the OpenTelemetry SDK. It lies above the limits of this module, so that these
/// apply first.
const SDK_LABEL_SET_LIMIT: usize = 2 * LABEL_SET_LIMIT;
/// Label value shared by customers and pools beyond a limit.
const OTHER: &str = "other";
/// Label value if the record has no value for the label.
const NONE: &str = "none";

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

/// Label set of `requests`: customer, pool, outcome and reason.
type Set = (String, String, &'static str, &'static str);

/// All instruments of one process.
#[derive(Debug)]
pub struct Registry {
    registry: prometheus::Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    gauges: gauge::Shared,
    events: Counter<u64>,
    requests: Counter<u64>,
    failures: Counter<u64>,
    waits: Histogram<f64>,
    services: Histogram<f64>,
    customers: Bound<Name>,
    pools: Bound<Name>,
    sets: Bound<Set>,
}

impl Registry {
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
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let cardinality_view = |_: &Instrument| {
            Stream::builder()
                .with_cardinality_limit(SDK_LABEL_SET_LIMIT)
                .build()
                .ok()
        };
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(cardinality_view)
            .build();
        let meter = provider.meter("sassafrascrank");
        let gauges = gauge::Shared::default();
        gauge::register(&meter, &gauges);
        let histogram = |name, description| {
            let builder = meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description);
            builder
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            events: counter("events", "Events by kind"),
            requests: counter("requests", "Requests that ended"),
            failures: counter("attempts.failed", "Attempts at an upstream that failed"),
            waits: histogram("queue.wait", "Time from arrival in the queue to the grant"),
            services: histogram("service.time", "Time that the upstream took to answer"),
            customers: Bound::new(CUSTOMER_LIMIT),
            pools: Bound::new(POOL_LIMIT),
            sets: Bound::new(LABEL_SET_LIMIT),
            gauges,
            registry,
            _provider: provider,
        })
    }

    /// Updates the instruments that depend on the kind of the event.
    pub fn count(&mut self, record: &Record) {
        self.events
            .add(1, &[KeyValue::new("kind", record.kind.as_str())]);
        match record.kind {
            Kind::Granted => {
                let [pool] = self.pool_label(record);
                let urgency = KeyValue::new("urgency", urgency(record.class));
                self.waits.record(seconds(record), &[pool, urgency]);
            }
            Kind::Answered => {
                let labels = self.pool_label(record);
                self.services.record(seconds(record), &labels);
                self.count_end(record, Outcome::Answered.as_str());
            }
            Kind::Refused => self.count_end(record, record.outcome.map_or(NONE, Outcome::as_str)),
            Kind::Cancelled => self.count_end(record, "cancelled"),
            Kind::AttemptFailed => {
                let [pool] = self.pool_label(record);
                let reason = KeyValue::new("reason", record.reason.map_or(NONE, Reason::as_str));
                self.failures.add(1, &[pool, reason]);
            }
            _ => {}
        }
    }

    /// Sets the gauges that follow from the status.
    pub fn set_status(&self, status: &Status) {
        self.gauges.values().set_status(status);
    }

    /// Sets the gauges that follow from the time line.
    pub fn set_timeline(&self, timeline: &Timeline) {
        let mut values = self.gauges.values();
        values.records = timeline.len() as u64;
        values.overwritten = timeline.overwritten();
    }

    /// Sets the total number of events that a thread has dropped.
    pub fn set_dropped(&self, thread: &'static str, dropped: u64) {
        self.gauges.values().dropped.insert(thread, dropped);
    }

    /// Encodes all metrics in the Prometheus text format, version 0.0.4.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    /// Counts a request that ended, within the limits on label values and label sets.
    fn count_end(&mut self, record: &Record, outcome: &'static str) {
        let reason = record.reason.map_or(NONE, Reason::as_str);
        let customer = label(&mut self.customers, record.customer.as_ref());
        let pool = label(&mut self.pools, record.pool.as_ref());
        let set = (customer.to_owned(), pool.to_owned(), outcome, reason);
        let admitted = customer != OTHER && self.sets.admits(&set);
        if !admitted || pool == OTHER {
            self.gauges.values().folded += 1;
        }
        let (customer, pool, ..) = if admitted {
            set
        } else {
            (OTHER.to_owned(), OTHER.to_owned(), outcome, reason)
        };
        let labels = [
            KeyValue::new("customer", customer),
            KeyValue::new("pool", pool),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Returns the label of the record's pool.
    fn pool_label(&mut self, record: &Record) -> [KeyValue; 1] {
        let pool = label(&mut self.pools, record.pool.as_ref());
        [KeyValue::new("pool", pool.to_owned())]
    }
}

/// Returns the label value of a name: the name itself, `other` beyond the bound or `none` if there is no name.
fn label<'a>(bound: &mut Bound<Name>, name: Option<&'a Name>) -> &'a str {
    match name {
        Some(name) if bound.admits(name) => name.as_str(),
        Some(_) => OTHER,
        None => NONE,
    }
}

/// Returns the label value of an urgency class. Only the most urgent class has a value of its own, since its wait has a
/// target; a value for each class would make a scrape four times as long.
fn urgency(class: Option<class::Index>) -> &'static str {
    match class {
        Some(class::Index(0)) => "first",
        Some(_) => "later",
        None => NONE,
    }
}

/// Converts the record's detail, a duration in microseconds, to seconds.
fn seconds(record: &Record) -> f64 {
    Duration::from_micros(record.detail).as_secs_f64()
}
