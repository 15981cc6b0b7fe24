//! Collection of events of several threads in causal order.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::{
        self,
        Event,
        Kind,
        Sink, //
    },
    thread::Collector, //
};
use sassafrascrank_ring::Signal;

/// A collector of two event rings, with a clock that the test sets.
struct Fixture {
    exchange: Sink,
    dispatch: Sink,
    collector: Collector,
    output: String,
}

impl Fixture {
    fn new() -> Self {
        let signal = Signal::new();
        let (exchange, first) = event::ring("exchange", 8, &signal);
        let (dispatch, second) = event::ring("dispatch", 8, &signal);
        Self {
            exchange,
            dispatch,
            collector: Collector::new(vec![first, second], Vec::new(), Vec::new()),
            output: String::new(),
        }
    }

    /// Collects a batch at `now` milliseconds and appends its events to the output.
    fn collect(&mut self, now: u64) {
        let batch = self.collector.batch(Time::from_millis(now));
        let events = batch
            .events
            .iter()
            .map(|event| format!(" {}@{}", event.kind, event.time.as_millis()));
        let remainder = if self.collector.is_empty() {
            "empty"
        } else {
            "more"
        };
        self.output += &format!("at {now}:{} ({remainder})\n", events.collect::<String>());
    }
}

fn event(millis: u64, kind: Kind) -> Event {
    Event::new(Time::from_millis(millis), kind)
}

/// Guards against an effect that is collected before its cause because the cause reached a ring that was read before.
#[test]
fn causes_come_before_effects() {
    let mut fixture = Fixture::new();
    fixture.dispatch.record(event(10, Kind::PeerFound));
    fixture.dispatch.record(event(30, Kind::Queued));
    fixture.collect(20);
    fixture.exchange.record(event(25, Kind::Arrived));
    fixture.collect(40);
    fixture.dispatch.record(event(50, Kind::Queued));
    fixture.exchange.record(event(50, Kind::Arrived));
    fixture.collect(50);
    insta::assert_snapshot!(fixture.output);
}

/// Guards against events that are held back until a clock that was set back catches up, and against a changed order of
/// the events of one thread.
#[test]
fn clock_set_back_delays_events_by_one_batch() {
    let mut fixture = Fixture::new();
    fixture.dispatch.record(event(900, Kind::Queued));
    fixture.dispatch.record(event(100, Kind::Granted));
    fixture.exchange.record(event(105, Kind::Answered));
    fixture.collect(110);
    fixture.collect(111);
    insta::assert_snapshot!(fixture.output);
}
