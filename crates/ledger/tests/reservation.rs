//! Reserved hosts stay assigned to their pool.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Assignment,
    Pool,
    Reservation,
    Step,
    Subject,
    Value, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Origin,
    Record,
    State,
    Verdict, //
};
use std::sync::Arc;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn append(state: &mut State, values: Vec<(Subject, Value)>) -> String {
    let offset = state.next();
    let entries = values.into_iter().map(|(subject, value)| Entry {
        basis: state.basis(&subject),
        subject,
        value,
    });
    let change = Change {
        origin: Origin {
            writer: name("test"),
            incarnation: 1,
            sequence: offset,
        },
        entries: entries.collect(),
    };
    match state.apply(offset, Ok(Record::Change(change))) {
        Verdict::Accepted { .. } => "accepted".into(),
        Verdict::Invalid(error) => error.to_string(),
        other => format!("{other:?}"),
    }
}

fn pool() -> Value {
    Value::Pool(Arc::new(Pool {
        slots: 8,
        connections: 64,
        attempt_timeout: Duration::from_secs(30),
        availability_percent: 80,
        spare: false,
    }))
}

fn assignment(pool: &str) -> (Subject, Value) {
    let value = Value::Assignment(Assignment { pool: name(pool) });
    (Subject::Host(name("h1")), value)
}

fn reservation(pool: &str, hosts: &[&str]) -> (Subject, Value) {
    let absence = Absence {
        step: Step::Draining,
        since: Time::MIN,
        wave: 1,
    };
    let hosts = hosts.iter().map(|host| (name(host), absence)).collect();
    let value = Value::Reservation(Arc::new(Reservation {
        hosts,
        ..Reservation::default()
    }));
    (Subject::Reservation(name(pool)), value)
}

/// Guards against a host that is reserved in one pool while it is assigned to another.
#[test]
fn reserved_host_stays_in_its_pool() {
    let mut state = State::new(1);
    let pools = ["alba", "comun"].map(|text| (Subject::Pool(name(text)), pool()));
    let steps = [
        ("create pools", pools.to_vec()),
        (
            "reserve an unassigned host",
            vec![reservation("alba", &["h1"])],
        ),
        ("assign to alba", vec![assignment("alba")]),
        ("reserve in comun", vec![reservation("comun", &["h1"])]),
        ("reserve in alba", vec![reservation("alba", &["h1"])]),
        ("move while reserved", vec![assignment("comun")]),
        (
            "remove while reserved",
            vec![(Subject::Host(name("h1")), Value::Removed)],
        ),
        (
            "release and move",
            vec![reservation("alba", &[]), assignment("comun")],
        ),
        (
            "value of another kind",
            vec![(Subject::Reservation(name("alba")), pool())],
        ),
    ];
    let lines = steps.map(|(step, values)| format!("{step}: {}", append(&mut state, values)));
    insta::assert_snapshot!(lines.join("\n"));
}
