//! Tests of serialised messages: round trips, malformed and oversized messages, and other versions.

mod common;

use core::fmt::Write;
use insta::assert_snapshot;
use proptest::prelude::*;
use sassafrascrank_base::prelude::Time;
use sassafrascrank_claim::{
    lease,
    member::Entry,
    table::RequestState, //
};
use sassafrascrank_peer::{
    message::{
        self,
        Demand,
        DrainNotice,
        Level,
        PoolHash, //
        Report,
        StoredAnswer,
    },
    wire::{
        self,
        ConnectionState,
        Error,
        HANDOVER_LIMIT,
        REPORT_LIMIT,
        STATE_LIMIT, //
    },
};
use serde_json::{
    Value,
    json, //
};

/// Seed of the random cases; a failure also prints the case itself.
const SEED: u64 = 23;

/// A report as JSON, without the types under test.
fn json_report() -> Value {
    let sender = json!({
        "h": "entry-1", "i": 5, "z": "suva", "a": "10.0.0.1:80", "p": "10.0.0.1:81", "t": 9,
    });
    json!({"v": 1, "f": sender, "n": 1, "t": 0, "c": 0, "m": 0, "r": 0})
}

fn decode_report(body: &[u8]) -> Result<Report, Error> {
    let report: wire::Report = wire::decode(body, REPORT_LIMIT)?;
    report.check(&mut ConnectionState::default())
}

/// Decodes the report of [`json_report`] with one field changed or added.
fn decode_with(path: &str, value: Value) -> Result<Report, Error> {
    let mut report = json_report();
    match path.split_once('.') {
        Some((object, field)) => report[object][field] = value,
        None => report[path] = value,
    }
    decode_report(&rmp_serde::to_vec_named(&report).unwrap())
}

/// Decodes the report of [`json_report`] with the given bytes as demand.
fn decode_with_demand(bytes: &[u8]) -> Result<Report, Error> {
    let mut body = rmp_serde::to_vec_named(&json_report()).unwrap();
    // One more field in the map, its name, and a value of the type `bin 16`.
    body[0] += 1;
    body.extend([0xa1, b'd', 0xc5]);
    body.extend((bytes.len() as u16).to_be_bytes());
    body.extend(bytes);
    decode_report(&body)
}

fn entries() -> impl Strategy<Value = Entry> {
    ("[a-z0-9_.-]{1,63}", any::<u64>()).prop_map(|(host, incarnation)| Entry {
        host: common::name(&host),
        incarnation,
    })
}

fn levels() -> impl Strategy<Value = Demand> {
    (any::<u32>(), any::<u8>(), any::<u8>()).prop_map(|(hash, a, b)| Demand {
        pool: PoolHash(hash),
        millislots: Level(a.max(b)).value(),
        spill_millislots: Level(a.min(b)).value(),
    })
}

prop_compose! {
    fn reports()(
        from in entries(),
        to in entries(),
        ports in any::<(u16, u16)>(),
        numbers in any::<[u64; 8]>(),
        millis in 0..(1_u64 << 50),
        demands in prop::collection::vec(levels(), 0..=wire::DEMAND_LIMIT),
        drain_notices in prop::collection::vec(entries(), 0..=wire::DRAIN_NOTICE_LIMIT),
        flags in any::<[bool; 4]>(),
    ) -> Report {
        let [sequence, config_offset, membership_offset, revision, first, second, start, fence] = numbers;
        let [resend_demand, joining, agrees, extra] = flags;
        let start = Time::from_micros(start);
        let mut report = Report {
            sequence, config_offset, membership_offset, revision, resend_demand, joining, demands,
            ..common::minimal_report(0)
        };
        report.now = Time::from_millis(millis);
        report.sender.callers.set_port(ports.0);
        report.sender.peers.set_port(ports.1);
        let notice = |entry: Entry| DrainNotice { host: entry.host, incarnation: entry.incarnation };
        report.drain_notices = drain_notices.into_iter().map(notice).collect();
        if extra {
            let (from, to) = (from.clone(), to.clone());
            report.answer = Some(lease::Answer { from: from.clone(), revision: second, start, agrees });
            report.request = Some(lease::Request { from, to, revision: first, start });
        }
        report.sender.entry = from.clone();
        report.join_ack = extra.then(|| lease::JoinAck { from, to, fence: Time::from_micros(fence) });
        report
    }
}

/// Checks a property with cases that are the same in each run.
fn check<S: Strategy>(
    strategy: S,
    cases: u32,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let result = prop::test_runner::TestRunner::new(config).run(&strategy, test);
    result.unwrap_or_else(|error| panic!("seed {SEED}: {error}"));
}

/// Guards against fields that are lost or changed, also in a later report that omits its sender, and against valid
/// reports that exceed the size limit.
#[test]
fn reports_survive_encoding_and_decoding() {
    check((reports(), 0..(1_u64 << 50)), 128, |(report, later)| {
        let (near, far) = (
            &mut ConnectionState::default(),
            &mut ConnectionState::default(),
        );
        let second = Report {
            now: Time::from_millis(later),
            ..report.clone()
        };
        for report in [report, second] {
            let body = wire::encode(&wire::Report::new(&report, near), REPORT_LIMIT);
            let body = body.map_err(|error| TestCaseError::fail(error.to_string()))?;
            let wire: wire::Report = wire::decode(&body, REPORT_LIMIT).unwrap();
            prop_assert_eq!(wire.check(far), Ok(report));
        }
        Ok(())
    });
}

/// Guards against encoding and decoding that changes an outcome in a handover.
#[test]
fn handovers_survive_encoding_and_decoding() {
    let body = prop::option::of(prop::collection::vec(any::<u8>(), 0..300));
    let outcomes = prop::collection::vec((0..3_u8, any::<u128>(), body), 0..20);
    check(outcomes, 128, |outcomes| {
        let mut handover = common::handover(&vec![None; outcomes.len()]);
        for (item, (kind, bits, body)) in handover.items.iter_mut().zip(outcomes) {
            item.id = sassafrascrank_claim::key::Id::from_bits(bits);
            item.state = match kind {
                0 => RequestState::Lost,
                1 => RequestState::Dropped,
                _ => RequestState::Answered(StoredAnswer {
                    status: 200,
                    headers: vec![("x-a".to_owned(), vec![0xe9, 0x20].into())],
                    body: body.map(Into::into),
                }),
            };
        }
        let body = wire::encode(&wire::Handover::from(&handover), HANDOVER_LIMIT).unwrap();
        let wire: wire::Handover = wire::decode(&body, HANDOVER_LIMIT).unwrap();
        prop_assert_eq!(message::Handover::try_from(wire), Ok(handover));
        Ok(())
    });
}

/// Guards against encoding and decoding that loses or changes a part of a state.
#[test]
fn states_survive_encoding_and_decoding() {
    for state in [
        message::State::default(),
        message::State {
            config: Some(common::image(7)),
            member: Some(common::view(5, &["suva", "nadi"])),
            hosts: None,
        },
    ] {
        let body = wire::encode(&wire::State::from(&state), STATE_LIMIT).unwrap();
        let wire: wire::State = wire::decode(&body, STATE_LIMIT).unwrap();
        assert_eq!(message::State::try_from(wire), Ok(state));
    }
}

/// Guards against a panic or an endless loop while decoding arbitrary bytes, or valid reports with one changed bit.
#[test]
fn arbitrary_bytes_are_refused_or_read() {
    check(prop::collection::vec(any::<u8>(), 0..200), 2_000, |bytes| {
        let _ = wire::decode::<wire::Report>(&bytes, REPORT_LIMIT);
        let _ = wire::decode::<wire::State>(&bytes, STATE_LIMIT).map(message::State::try_from);
        let _ =
            wire::decode::<wire::Handover>(&bytes, HANDOVER_LIMIT).map(message::Handover::try_from);
        Ok(())
    });
    let report = wire::Report::new(&common::full_report(0), &mut ConnectionState::default());
    let body = wire::encode(&report, REPORT_LIMIT).unwrap();
    for index in 0..body.len() {
        for bit in 0..8 {
            let mut body = body.clone();
            body[index] ^= 1 << bit;
            let report = wire::decode::<wire::Report>(&body, REPORT_LIMIT);
            let _ = report.and_then(|report| report.check(&mut ConnectionState::default()));
        }
    }
}

/// Guards against errors that don't say which field to change and how.
#[test]
fn errors_name_field_value_and_remedy() {
    let notices = |host: &str, count: usize| json!(vec![(host, 1); count]);
    let results = [
        decode_with("f", Value::Null),
        decode_with("f.h", json!("Entry 1")),
        decode_with("f.z", json!("")),
        decode_with("f.a", json!("10.0.0.1")),
        decode_with("f.p", json!("x".repeat(500))),
        decode_with_demand(&[0; 7]),
        decode_with_demand(&[0; 6 * 257]),
        decode_with_demand(&[0, 0, 0, 1, 4, 5]),
        decode_with("s", notices("h", 129)),
        decode_with("s", notices("H", 1)),
        decode_with("s", notices(&"h".repeat(200), 100)),
        decode_with("l", json!({"s": 1})),
        decode_with("w", json!({"e": ["", 1], "f": 1})),
        decode_with("n", json!("one")),
        decode_report(b"text"),
        decode_report(b""),
    ];
    let errors = results.map(Result::unwrap_err);
    let mut lines = String::new();
    for error in errors {
        writeln!(lines, "{error}").unwrap();
    }
    assert_snapshot!(lines);
}

/// Guards against a handover or a state that is accepted although a part of it is malformed.
#[test]
fn messages_with_malformed_parts_are_refused() {
    let mut lines = String::new();
    let mut add_error = |error: Error| writeln!(lines, "{error}").unwrap();
    let mut refuse = |stored: StoredAnswer| {
        let mut handover = common::handover(&[None]);
        handover.items[0].state = RequestState::Answered(stored);
        let body = wire::encode(&wire::Handover::from(&handover), HANDOVER_LIMIT).unwrap();
        let wire: wire::Handover = wire::decode(&body, HANDOVER_LIMIT).unwrap();
        add_error(message::Handover::try_from(wire).unwrap_err());
    };
    let stored = |status, name: &str, value: &'static [u8]| StoredAnswer {
        status,
        headers: vec![(name.to_owned(), value.into())],
        body: None,
    };
    refuse(stored(99, "a", b""));
    refuse(stored(200, "A", b""));
    refuse(stored(200, "a b", b""));
    refuse(stored(200, "a", b"x\r\ny"));
    refuse(StoredAnswer {
        headers: vec![("a".to_owned(), "".into()); 129],
        ..stored(200, "a", b"")
    });
    let image = common::image(2);
    let state = message::State {
        config: Some(image),
        member: None,
        hosts: None,
    };
    add_error(message::State::try_from(wire::State::from(&state)).unwrap_err());
    let mut view = common::view(2, &["suva"]);
    view.offset = 1;
    let state = message::State {
        config: None,
        member: Some(view),
        hosts: None,
    };
    add_error(message::State::try_from(wire::State::from(&state)).unwrap_err());
    let large = common::handover(&[Some(HANDOVER_LIMIT)]);
    add_error(wire::encode(&wire::Handover::from(&large), HANDOVER_LIMIT).unwrap_err());
    assert_snapshot!(lines);
}

/// Guards against a rolling upgrade in which an old process refuses a message with an additional field, or misreads a
/// message of a higher version.
#[test]
fn other_versions_are_read_or_refused() {
    let plain = decode_report(&rmp_serde::to_vec_named(&json_report()).unwrap()).unwrap();
    assert_eq!(plain.demands, []);
    assert_eq!(decode_with("unknown", json!(["x", {"y": 1}])), Ok(plain));
    let mut lines = String::new();
    for v in [0, 2, 700] {
        let other = json!({"v": v, "another": "form"});
        let error = decode_report(&rmp_serde::to_vec_named(&other).unwrap()).unwrap_err();
        writeln!(lines, "{error}").unwrap();
    }
    assert_snapshot!(lines);
}

/// Guards against levels that are off by more than 5%, that don't grow, or that change when rounded again.
#[test]
fn levels_are_close_and_stable() {
    let mut value = 125;
    while value < 1_000_000_000 {
        let rounded = Level::of(value).value();
        assert!(
            rounded.abs_diff(value) * 20 <= value,
            "{value} became {rounded}"
        );
        assert_eq!(Level::of(rounded).value(), rounded);
        value += value / 97 + 1;
    }
    for level in 1..=u8::MAX {
        assert!(Level(level - 1).value() < Level(level).value());
        assert_eq!(Level::of(Level(level).value()), Level(level));
    }
    assert_eq!(Level::of(1), Level(1));
}

/// Guards against an unintended change of the size of messages.
#[test]
fn encoded_sizes_are_stable() {
    let (near, far) = (
        &mut ConnectionState::default(),
        &mut ConnectionState::default(),
    );
    let mut lines = String::new();
    let mut size = |case: &str, report: &Report, near: &mut ConnectionState| {
        let body = wire::encode(&wire::Report::new(report, near), REPORT_LIMIT).unwrap();
        writeln!(lines, "{case}: {}", body.len()).unwrap();
        body
    };
    let first = size("first report", &common::minimal_report(0), near);
    let wire: wire::Report = wire::decode(&first, REPORT_LIMIT).unwrap();
    wire.check(far).unwrap();
    size("later report", &common::minimal_report(0), near);
    let late = Report {
        now: Time::from_millis(1_800_000_000_000 + 3_600_000),
        sequence: 100_000,
        config_offset: 1_000_000,
        membership_offset: 100_000,
        revision: 100_000,
        ..common::minimal_report(0)
    };
    size("report with large numbers", &late, near);
    let mut demands = common::minimal_report(0);
    demands.demands = vec![common::demand("quoting", 1_000, 0); 199];
    size("199 pools", &demands, near);
    size("every field", &common::full_report(0), near);
    let zones = ["nicoya", "cruz", "liberia", "filadelfia"];
    let state = message::State {
        config: None,
        member: Some(common::view(32, &zones)),
        hosts: None,
    };
    let body = wire::encode(&wire::State::from(&state), STATE_LIMIT).unwrap();
    writeln!(lines, "membership of 32 entries: {}", body.len()).unwrap();
    let handover = common::handover(&[Some(1_000); 100]);
    let body = wire::encode(&wire::Handover::from(&handover), HANDOVER_LIMIT).unwrap();
    writeln!(lines, "100 outcomes of 1,000 bytes: {}", body.len()).unwrap();
    assert_snapshot!(lines);
}
