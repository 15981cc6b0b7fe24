//! Recording of events, and request ids.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::event::{
    self,
    Event,
    Kind,
    request, //
};
use sassafrascrank_ring::Signal;
use std::collections::HashSet;

mod support;

/// Guards against a full ring that blocks the recording thread, overwrites events or drops them without counting.
#[test]
fn full_ring_drops_and_counts() {
    let (mut sink, mut source) = event::ring("dispatch", 3, &Signal::new());
    for number in 1..=5 {
        sink.record(Event::new(Time::from_millis(number), Kind::Queued).detail(number));
    }
    let kept: Vec<_> = core::iter::from_fn(|| source.try_recv())
        .map(|event| event.detail)
        .collect();
    sink.record(Event::new(Time::from_millis(6), Kind::Queued).detail(6));
    let later = source.try_recv().map(|event| event.detail);
    insta::assert_snapshot!(format!(
        "kept {kept:?}, dropped {}, then {later:?}, dropped {}",
        source.dropped(),
        sink.dropped(),
    ));
}

/// Guards against larger events, which would make the rings larger: at 88 bytes, a ring of 8,192 events takes 704 KiB.
#[test]
fn event_size_is_bounded() {
    assert!(size_of::<Event>() <= 88, "{} bytes", size_of::<Event>());
}

/// Guards against two threads or two incarnations of a process that assign the same request id.
#[test]
fn request_ids_are_unique() {
    let host = support::name("suva-1");
    let mut ids = HashSet::new();
    for incarnation in [7, 8] {
        let origin = request::Origin::new(&host, incarnation);
        for thread in 0..2 {
            let mut counter = request::Counter::new(origin, thread, 2);
            ids.extend((0..100).map(|_| counter.next_id()));
        }
    }
    assert_eq!(ids.len(), 400);
}

/// Guards against request ids that change when an entry forwards them in a header, and against accepting invalid ones.
#[test]
fn request_ids_round_trip_through_text() {
    let id = support::request(255);
    assert_eq!(id.to_string().parse(), Ok(id));
    let invalid = [
        "",
        "-",
        "12-1",
        "0000000000000000-1",
        "0f16f495adf9424d-",
        "0f16f495adf9424d-+1",
        "0f16f495adf9424d",
    ];
    let refused =
        invalid.map(|text| format!("{text:?}: {}\n", text.parse::<request::Id>().is_err()));
    insta::assert_snapshot!(refused.concat());
}
