//! Serialisation of reservations.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    model::{
        Absence,
        Cause,
        Finish,
        Maintenance,
        Progress,
        Reservation,
        Step,
        Subject,
        Value,
        Wave, //
    },
    wire, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Guards against a step, result or stop cause that changes by serialisation and deserialisation.
#[test]
fn reservation_survives_the_wire() {
    let progresses = [
        Progress::Running,
        Progress::Paused,
        Progress::Stopped(Cause::Failures),
        Progress::Stopped(Cause::Rack),
    ];
    let steps = [Step::Draining, Step::Out, Step::Returning];
    let results = [Maintenance::Done, Maintenance::Broken, Maintenance::Skipped];
    let at = Time::from_millis(1_700_000_000_123);
    for progress in progresses {
        let absence = |step| Absence {
            step,
            since: at,
            wave: 7,
        };
        let reservation = Reservation {
            wave: Wave {
                number: 7,
                started: at,
                since: at,
                progress,
            },
            hosts: (1..)
                .map(|n| name(&format!("h{n}")))
                .zip(steps.map(absence))
                .collect(),
            moves: BTreeMap::from([(name("h1"), name("comun"))]),
            failed: BTreeMap::from([(name("h4"), at)]),
            finished: (5..)
                .map(|n| name(&format!("h{n}")))
                .zip(results.map(|result| Finish { at, result }))
                .collect(),
        };
        let value = Value::Reservation(Arc::new(reservation));
        let text = serde_json::to_string(&wire::Value::from(&value)).unwrap();
        let read: wire::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(Value::try_from(read).unwrap(), value, "{text}");
    }
    let subject = Subject::Reservation(name("alba"));
    assert_eq!(Subject::try_from(subject.to_string().as_str()), Ok(subject));
}
