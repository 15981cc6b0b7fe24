//! Capacity of the time line, its queries and its JSON form.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    admin::query,
    event::{
        Event,
        Kind, //
    },
    names::{
        Names,
        Table, //
    },
    timeline::{
        Filter,
        Process,
        Record,
        Timeline,
        wire, //
    },
};
use slotmap::SlotMap;

mod support;
use support::{
    lines,
    name,
    request, //
};

/// Returns a time line of one process with requests of two customers, a draining upstream and two configurations.
fn timeline(capacity: usize) -> Timeline {
    let mut customers = SlotMap::<customer::Key, ()>::with_key();
    let mut pools = SlotMap::<pool::Key, ()>::with_key();
    let mut upstreams = SlotMap::<upstream::Key, ()>::with_key();
    let [alba, brisa] = [customers.insert(()), customers.insert(())];
    let [quoting, roofing] = [pools.insert(()), pools.insert(())];
    let runner = upstreams.insert(());
    let mut names = Names::default();
    names.add(Table {
        customers: vec![(alba, name("alba")), (brisa, name("brisa"))],
        pools: vec![(quoting, name("quoting")), (roofing, name("roofing"))],
        upstreams: vec![(runner, name("runner-1"))],
        members: Vec::new(),
    });
    let process = Process {
        host: name("suva-1"),
        incarnation: 7,
    };
    let mut timeline = Timeline::new(process, capacity);
    let at = Time::from_millis;
    let first = |event: Event| event.request(request(1)).customer(alba).pool(quoting);
    let second = |event: Event| {
        event
            .request(request(2))
            .class(class::Index(1))
            .customer(brisa)
            .pool(roofing)
    };
    let refusal = Refusal::not_run(Reason::RateLimited);
    for event in [
        Event::new(at(1), Kind::ConfigurationInForce).detail(11),
        first(Event::new(at(2), Kind::Arrived)),
        second(Event::new(at(3), Kind::Arrived)),
        second(Event::refused(at(4), &refusal)),
        Event::new(at(5), Kind::UpstreamDraining)
            .upstream(runner)
            .pool(quoting),
        Event::new(at(6), Kind::ConfigurationInForce).detail(12),
        first(Event::attempt_failed(at(7), Reason::ConnectFailed)).upstream(runner),
        first(Event::answered(at(9), Duration::from_millis(2))),
    ] {
        timeline.append(&event, &names);
    }
    timeline
}

fn found(query: &str) -> Vec<Record> {
    let filter = query::parse(query).expect("a valid query");
    timeline(100).query(&filter)
}

/// Guards against a filter that omits a matching record or returns another one.
#[test]
fn filters_find_records() {
    let queries = [
        "",
        "request=0f16f495adf9424d-1",
        "host=runner-1",
        "host=suva-1&limit=1",
        "pool=quoting&customer=",
        "customer=brisa",
        "configuration=12",
        "since=2&limit=2",
        "limit=2",
        "customer=alba&pool=roofing",
    ];
    let results = queries.map(|query| format!("?{query}\n{}\n", lines(&found(query))));
    insta::assert_snapshot!(results.concat());
}

/// Guards against an invalid query that is accepted with another meaning instead of rejected.
#[test]
fn invalid_queries_are_rejected() {
    let queries = [
        "hots=a",
        "request=1",
        "host=A",
        "since=-1",
        "limit=0",
        "limit=2001",
        "configuration=1e3",
    ];
    let errors = queries.map(|query| match query::parse(query) {
        Ok(filter) => format!("{query}: accepted as {filter:?}\n"),
        Err(error) => format!("{query}: {error}; {}\n", error.remedy()),
    });
    insta::assert_snapshot!(errors.concat());
}

/// Guards against a time line that grows beyond its capacity or overwrites the newest records.
#[test]
fn new_records_overwrite_the_oldest() {
    let timeline = timeline(3);
    let held = lines(&timeline.query(&Filter::default()));
    insta::assert_snapshot!(format!(
        "held {}, overwritten {}\n{held}",
        timeline.len(),
        timeline.overwritten()
    ));
}

/// Guards against a JSON form that loses or changes a field.
#[test]
fn records_round_trip_through_json() {
    let records = found("");
    let json: Vec<_> = records
        .iter()
        .map(|record| {
            serde_json::to_string(&wire::Record::from(record)).expect("records can be encoded")
        })
        .collect();
    let read = json.iter().map(|json| {
        let wire: wire::Record = serde_json::from_str(json).expect("records can be decoded");
        Record::try_from(wire).expect("records are valid")
    });
    assert_eq!(read.collect::<Vec<_>>(), records);
    insta::assert_snapshot!(json.join("\n"));
}

/// Guards against an invalid field that is accepted, and against an error that doesn't name the field.
#[test]
fn invalid_json_fields_are_named() {
    let valid = wire::Record::from(&found("")[1]);
    let errors = ["host", "kind", "request", "reason", "outcome", "pool"].map(|field| {
        let mut json = serde_json::to_value(&valid).expect("records can be encoded");
        json[field] = "?".into();
        let wire: wire::Record = serde_json::from_value(json).expect("the shape is valid");
        Record::try_from(wire)
            .expect_err("the field is invalid")
            .to_string()
    });
    insta::assert_snapshot!(errors.join("\n"));
}
