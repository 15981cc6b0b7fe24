//! Events of several threads must be drained in an order that puts causes first.

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
struct Rig {
    exchange: Sink,
    dispatch: Sink,
    collector: Collector,
    seen: String,
}

impl Rig {
    fn new() -> Self {
        let signal = Signal::new();
        let (exchange, first) = event::ring("exchange", 8, &signal);
        let (dispatch, second) = event::ring("dispatch", 8, &signal);
        Self {
            exchange,
            dispatch,
            collector: Collector::new(vec![first, second], Vec::new(), Vec::new()),
            seen: String::new(),
        }
    }

    /// Notes what is drained at `now`.
    fn batch(&mut self, now: u64) {
        let batch = self.collector.batch(Time::from_millis(now));
        let events = batch
            .events
            .iter()
            .map(|event| format!(" {}@{}", event.kind, event.time.as_millis()));
        let empty = if self.collector.is_empty() {
            "empty"
        } else {
            "more"
        };
        self.seen += &format!("at {now}:{} ({empty})\n", events.collect::<String>());
    }
}

fn event(millis: u64, kind: Kind) -> Event {
    Event::new(Time::from_millis(millis), kind)
}

/// Guards against an effect that is drained before its cause, which reached a ring that was looked at already.
#[test]
fn causes_come_before_effects() {
    let mut rig = Rig::new();
    rig.dispatch.record(event(10, Kind::PeerFound));
    rig.dispatch.record(event(30, Kind::Queued));
    rig.batch(20);
    rig.exchange.record(event(25, Kind::Arrived));
    rig.batch(40);
    rig.dispatch.record(event(50, Kind::Queued));
    rig.exchange.record(event(50, Kind::Arrived));
    rig.batch(50);
    insta::assert_snapshot!(rig.seen);
}

/// Guards against events that wait until a clock that was set back has caught up, and against events of one thread
/// that change their order.
#[test]
fn clock_set_back_delays_one_batch() {
    let mut rig = Rig::new();
    rig.dispatch.record(event(900, Kind::Queued));
    rig.dispatch.record(event(100, Kind::Granted));
    rig.exchange.record(event(105, Kind::Answered));
    rig.batch(110);
    rig.batch(111);
    insta::assert_snapshot!(rig.seen);
}
