//! Wire format of records, pages and hosts.

use proptest::prelude::*;
use sassafrascrank_base::{
    name::Name,
    time::Time, //
};
use sassafrascrank_contract::model::{
    Assignment,
    Subject,
    Value, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Image,
    Origin,
    Record,
    Revision,
    Snapshot,
    WriterState, //
};
use sassafrascrank_platform::{
    Condition, Host,
    wire::{
        self, config,
        member::{
            self,
            Membership, //
            Transition,
        },
    },
};
use std::fmt::Write;

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9_.-]{1,63}".prop_map(|text| Name::new(&text).unwrap())
}

fn origin() -> impl Strategy<Value = Origin> {
    (name(), any::<u64>(), 1..=u64::MAX).prop_map(|(writer, incarnation, sequence)| Origin {
        writer,
        incarnation,
        sequence,
    })
}

fn entry() -> impl Strategy<Value = (Subject, Value)> {
    let host = (name(), name())
        .prop_map(|(host, pool)| (Subject::Host(host), Value::Assignment(Assignment { pool })));
    let kinds = (name(), 0..3_u8).prop_map(|(name, kind)| match kind {
        0 => (Subject::Customer(name), Value::Removed),
        1 => (Subject::Pool(name), Value::Removed),
        _ => (Subject::Host(name), Value::Removed),
    });
    prop_oneof![host, kinds]
}

fn change() -> impl Strategy<Value = Record> {
    let entries = proptest::collection::vec((entry(), any::<u64>()), 0..8);
    (origin(), entries).prop_map(|(origin, entries)| {
        let entries = entries.into_iter();
        Record::Change(Change {
            origin,
            entries: entries
                .map(|((subject, value), basis)| Entry {
                    subject,
                    basis,
                    value,
                })
                .collect(),
        })
    })
}

fn snapshot() -> impl Strategy<Value = Record> {
    let values = proptest::collection::vec((entry(), any::<u64>(), name()), 0..8);
    let writers = proptest::collection::vec((origin(), any::<u64>()), 0..8);
    let numbers = (any::<u64>(), any::<u64>(), 0..u64::from(u32::MAX));
    (origin(), numbers, values, writers).prop_map(
        |(origin, (through, floor, written), values, writers)| {
            let values = values.into_iter();
            let writers = writers.into_iter();
            let image = Image {
                through,
                floor,
                values: values
                    .map(|((subject, value), offset, writer)| {
                        let revision = Revision {
                            offset,
                            writer,
                            value,
                        };
                        (subject, revision)
                    })
                    .collect(),
                writers: writers
                    .map(|(origin, offset)| WriterState {
                        writer: origin.writer,
                        incarnation: origin.incarnation,
                        sequence: origin.sequence,
                        offset,
                    })
                    .collect(),
            };
            Record::Snapshot(Snapshot {
                origin,
                written: Time::from_millis(written),
                image,
            })
        },
    )
}

fn membership() -> impl Strategy<Value = Membership> {
    let address = (any::<[u8; 4]>(), any::<u16>()).prop_map(std::net::SocketAddr::from);
    let join = (name(), address).prop_map(|(zone, address)| Transition::Join { zone, address });
    let retire = name().prop_map(|by| Transition::Retire { by });
    let transition = prop_oneof![join, Just(Transition::Leave), retire];
    (origin(), name(), any::<u64>(), transition).prop_map(
        |(origin, host, incarnation, transition)| Membership {
            origin,
            host,
            incarnation,
            transition,
        },
    )
}

fn host() -> impl Strategy<Value = Host> {
    let address = (any::<[u8; 16]>(), any::<u16>()).prop_map(std::net::SocketAddr::from);
    let condition = prop_oneof![Just(Condition::Live), Just(Condition::Leaving)];
    (name(), address, name(), name(), condition, any::<u64>()).prop_map(
        |(host, address, zone, rack, condition, incarnation)| Host {
            host,
            address,
            zone,
            rack,
            condition,
            incarnation,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a field of a configuration record that encoding or decoding loses or changes.
    #[test]
    fn configuration_record_round_trips(record in prop_oneof![change(), snapshot()]) {
        prop_assert_eq!(config::decode(&config::encode(&record)), Ok(record));
    }

    /// Guards against a field of a membership record that encoding or decoding loses or changes.
    #[test]
    fn membership_record_round_trips(record in membership()) {
        prop_assert_eq!(member::decode(&member::encode(&record)), Ok(record));
    }

    /// Guards against a field of a host that encoding or decoding loses or changes.
    #[test]
    fn host_round_trips(host in host()) {
        let text = serde_json::to_string(&wire::host::Host::from(&host)).unwrap();
        prop_assert_eq!(wire::decode::<wire::host::Host, Host>(&text), Ok(host));
    }

    /// Guards against a panic on arbitrary text, and against its acceptance as a record.
    #[test]
    fn arbitrary_text_is_rejected(text in "\\PC{0,200}") {
        prop_assert!(config::decode(&text).is_err());
        prop_assert!(member::decode(&text).is_err());
    }
}

/// Guards against a record that is accepted although a value is invalid, and against an error without field, value and
/// remedy.
#[test]
fn errors_of_invalid_records_name_field_value_and_remedy() {
    let origin = r#""origin":{"writer":"w","incarnation":1,"sequence":1}"#;
    let entry = |text: &str| format!(r#"{{"change":{{{origin},"entries":[{text}]}}}}"#);
    let configs = [
        ("truncated", "{\"change\":{".to_owned()),
        ("unknown kind", format!(r#"{{"merge":{{{origin}}}}}"#)),
        ("no origin", r#"{"change":{"entries":[]}}"#.to_owned()),
        (
            "sequence 0",
            r#"{"change":{"origin":{"writer":"w","incarnation":1,"sequence":0},"entries":[]}}"#
                .to_owned(),
        ),
        (
            "bad writer",
            r#"{"change":{"origin":{"writer":"W","incarnation":1,"sequence":1},"entries":[]}}"#
                .to_owned(),
        ),
        (
            "unknown subject",
            entry(r#"{"subject":"team/a","basis":0,"value":"removed"}"#),
        ),
        (
            "bad subject name",
            entry(r#"{"subject":"pool/A","basis":0,"value":"removed"}"#),
        ),
        (
            "negative basis",
            entry(r#"{"subject":"pool/a","basis":-1,"value":"removed"}"#),
        ),
        (
            "bad value",
            entry(r#"{"subject":"pool/a","basis":0,"value":{"pool":{"slots":0}}}"#),
        ),
        (
            "field twice",
            entry(r#"{"subject":"pool/a","basis":0,"basis":1,"value":"removed"}"#),
        ),
    ];
    let members = [
        (
            "bad address",
            format!(
                r#"{{"join":{{{origin},"host":"h","incarnation":1,"zone":"z","address":"h:1"}}}}"#
            ),
        ),
        (
            "no retiring host",
            format!(r#"{{"retire":{{{origin},"host":"h","incarnation":1}}}}"#),
        ),
    ];
    let mut messages = String::new();
    for (case, text) in configs {
        let error = config::decode(&text).expect_err(case);
        writeln!(messages, "{case}: {error}").unwrap();
    }
    for (case, text) in members {
        let error = member::decode(&text).expect_err(case);
        writeln!(messages, "{case}: {error}").unwrap();
    }
    insta::assert_snapshot!(messages);
}

/// Guards against a change of the record formats that other versions of the processes can't decode.
#[test]
fn record_formats_match_the_documentation() {
    let origin = Origin {
        writer: Name::new("ops").unwrap(),
        incarnation: 7,
        sequence: 1,
    };
    let subject = Subject::Host(Name::new("h1").unwrap());
    let value = Value::Assignment(Assignment {
        pool: Name::new("quoting").unwrap(),
    });
    let change = Record::Change(Change {
        origin: origin.clone(),
        entries: vec![Entry {
            subject: subject.clone(),
            basis: 4,
            value: value.clone(),
        }],
    });
    let revision = Revision {
        offset: 5,
        writer: origin.writer.clone(),
        value,
    };
    let snapshot = Record::Snapshot(Snapshot {
        origin: origin.clone(),
        written: Time::from_millis(1_000),
        image: Image {
            through: 5,
            floor: 0,
            values: vec![(subject, revision)],
            writers: vec![WriterState {
                writer: origin.writer.clone(),
                incarnation: 7,
                sequence: 1,
                offset: 5,
            }],
        },
    });
    let membership = |transition| {
        member::encode(&Membership {
            origin: origin.clone(),
            host: Name::new("entry1").unwrap(),
            incarnation: 9,
            transition,
        })
    };
    let join = membership(Transition::Join {
        zone: Name::new("suva").unwrap(),
        address: "10.0.0.7:8080".parse().unwrap(),
    });
    let retire = membership(Transition::Retire {
        by: Name::new("entry2").unwrap(),
    });
    let lines = [
        config::encode(&change),
        config::encode(&snapshot),
        join,
        membership(Transition::Leave),
        retire,
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
