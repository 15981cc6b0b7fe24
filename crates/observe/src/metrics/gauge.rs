//! Gauges and counters whose values are read when the metrics are scraped.

use super::POOL_LIMIT;
use crate::status::{
    Status,
    update::{
        Phase,
        State, //
    },
};
use opentelemetry::{
    KeyValue,
    metrics::{
        AsyncInstrument,
        Meter, //
    },
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

/// Values of the instruments, shared with their callbacks. All callbacks run on the observe thread.
#[derive(Clone, Debug, Default)]
pub(super) struct Shared(Arc<Mutex<Values>>);

/// Values that the callbacks report.
#[derive(Debug, Default)]
pub(super) struct Values {
    /// Slots, running requests and queued requests, in this order, by pool.
    pools: BTreeMap<String, [u64; 3]>,
    /// Number of upstreams by pool and state.
    upstreams: BTreeMap<(String, &'static str), u64>,
    /// Offset of the configuration in force.
    configuration: u64,
    /// Offset of the membership view.
    membership: u64,
    members: u64,
    /// 1 while the platform's log answers, else 0.
    log_reachable: u64,
    /// 1 while the process serves callers, else 0.
    serving: u64,
    /// Events dropped by recording thread.
    pub(super) dropped: BTreeMap<&'static str, u64>,
    /// Records in the time line.
    pub(super) records: u64,
    /// Records overwritten in the time line.
    pub(super) overwritten: u64,
    /// Ended requests counted under the label value `other`.
    pub(super) folded: u64,
}

impl Shared {
    /// Locks the values.
    pub(super) fn values(&self) -> MutexGuard<'_, Values> {
        // A panic elsewhere ends the process, so a poisoned lock needs no handling.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates an instrument's callback from a function that reports values.
    fn callback<T>(
        &self,
        observe: fn(&Values, &dyn AsyncInstrument<T>),
    ) -> impl Fn(&dyn AsyncInstrument<T>) + use<T> {
        let shared = self.clone();
        move |instrument| observe(&shared.values(), instrument)
    }
}

impl Values {
    /// Sets the values that follow from the status.
    pub(super) fn set_status(&mut self, status: &Status) {
        self.pools.clear();
        self.upstreams.clear();
        for pool in &status.engine.pools {
            let sums = self
                .pools
                .entry(label(pool.name.as_str(), self.pools.len()))
                .or_default();
            for (sum, part) in sums.iter_mut().zip([pool.slots, pool.running, pool.queued]) {
                *sum += part;
            }
        }
        for upstream in &status.engine.upstreams {
            let pool = upstream.pool.as_str();
            let pool = if self.pools.contains_key(pool) {
                pool
            } else {
                "other"
            };
            for state in State::ALL {
                let count = self
                    .upstreams
                    .entry((pool.to_owned(), state.as_str()))
                    .or_default();
                *count += u64::from(upstream.state == state);
            }
        }
        self.configuration = status.platform.configuration;
        self.membership = status.platform.membership;
        self.members = status.platform.members.len() as u64;
        self.log_reachable = u64::from(status.platform.log_lost.is_none());
        self.serving = u64::from(status.phase == Phase::Serving);
    }
}

/// Returns the label value of a pool when `labelled` pools have a value of their own already.
fn label(pool: &str, labelled: usize) -> String {
    let label = if labelled < POOL_LIMIT { pool } else { "other" };
    label.to_owned()
}

/// Registers all gauges and all counters that are read at the scrape.
pub(super) fn register(meter: &Meter, shared: &Shared) {
    register_pools(meter, shared);
    register_platform(meter, shared);
    register_observe(meter, shared);
}

fn register_pools(meter: &Meter, shared: &Shared) {
    fn observe(values: &Values, instrument: &dyn AsyncInstrument<u64>, part: usize) {
        for (pool, parts) in &values.pools {
            instrument.observe(parts[part], &[KeyValue::new("pool", pool.clone())]);
        }
    }
    meter
        .u64_observable_gauge("slots")
        .with_description("Slots of the pool in this entry's partition")
        .with_callback(shared.callback(|values, instrument| observe(values, instrument, 0)))
        .build();
    meter
        .u64_observable_gauge("running")
        .with_description("Requests that run")
        .with_callback(shared.callback(|values, instrument| observe(values, instrument, 1)))
        .build();
    meter
        .u64_observable_gauge("queue.length")
        .with_description("Requests that wait")
        .with_callback(shared.callback(|values, instrument| observe(values, instrument, 2)))
        .build();
    meter
        .u64_observable_gauge("upstreams")
        .with_description("Upstreams by state")
        .with_callback(shared.callback(|values, instrument| {
            for ((pool, state), count) in &values.upstreams {
                let labels = [
                    KeyValue::new("pool", pool.clone()),
                    KeyValue::new("state", *state),
                ];
                instrument.observe(*count, &labels);
            }
        }))
        .build();
}

fn register_platform(meter: &Meter, shared: &Shared) {
    meter
        .u64_observable_gauge("configuration.offset")
        .with_description("Offset of the configuration in force")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.configuration, &[])),
        )
        .build();
    meter
        .u64_observable_gauge("membership.offset")
        .with_description("Offset of the membership view")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.membership, &[])),
        )
        .build();
    meter
        .u64_observable_gauge("members")
        .with_description("Entries in the membership view")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.members, &[])),
        )
        .build();
    meter
        .u64_observable_gauge("log.reachable")
        .with_description("1 while the platform's log answers")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.log_reachable, &[])),
        )
        .build();
    meter
        .u64_observable_gauge("serving")
        .with_description("1 while the process serves callers")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.serving, &[])),
        )
        .build();
}

fn register_observe(meter: &Meter, shared: &Shared) {
    meter
        .u64_observable_counter("ring.drops")
        .with_description("Events dropped because the ring of the recording thread was full")
        .with_callback(shared.callback(|values, instrument| {
            for (thread, dropped) in &values.dropped {
                instrument.observe(*dropped, &[KeyValue::new("thread", *thread)]);
            }
        }))
        .build();
    meter
        .u64_observable_gauge("timeline.records")
        .with_description("Records in the time line")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.records, &[])),
        )
        .build();
    meter
        .u64_observable_counter("timeline.overwritten")
        .with_description("Records of the time line overwritten by newer ones")
        .with_callback(
            shared.callback(|values, instrument| instrument.observe(values.overwritten, &[])),
        )
        .build();
    meter
        .u64_observable_counter("labels.folded")
        .with_description("Ended requests counted under the label value 'other'")
        .with_callback(shared.callback(|values, instrument| instrument.observe(values.folded, &[])))
        .build();
}
