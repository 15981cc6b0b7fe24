//! Sample messages that several tests share.
#![allow(dead_code, reason = "each test binary uses a part of them")]

pub(crate) mod simulation;

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::Id,
    lease,
    member::{
        Change,
        Entry,
        Fold,
        Record,
        View, //
    },
    table::{
        Fingerprint,
        Item,
        RequestState, //
    },
};
use sassafrascrank_contract::model::{
    Assignment,
    Subject,
    Value, //
};
use sassafrascrank_ledger::{
    Image,
    Revision,
    WriterState, //
};
use sassafrascrank_peer::message::{
    Demand,
    DrainNotice,
    Handover,
    PoolHash, //
    Report,
    Sender,
    StoredAnswer,
};

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn entry(index: usize) -> Entry {
    Entry {
        host: name(&format!("entry-{index}")),
        incarnation: 1_700_000_000_000 + index as u64,
    }
}

pub(crate) fn sender(index: usize, zone: &str) -> Sender {
    Sender {
        entry: entry(index),
        zone: name(zone),
        callers: format!("10.0.0.{}:8080", index + 1).parse().unwrap(),
        peers: format!("10.0.0.{}:8090", index + 1).parse().unwrap(),
    }
}

/// A report with only the fields that every report has.
pub(crate) fn minimal_report(index: usize) -> Report {
    Report {
        sender: sender(index, "suva"),
        sequence: 7,
        now: Time::from_millis(1_800_000_000_000),
        config_offset: 1_000,
        membership_offset: 40,
        revision: 38,
        resend_demand: false,
        demands: Vec::new(),
        drain_notices: Vec::new(),
        request: None,
        answer: None,
        joining: false,
        join_ack: None,
    }
}

/// A report with every field.
pub(crate) fn full_report(index: usize) -> Report {
    Report {
        resend_demand: true,
        demands: vec![demand("quoting", 8_000, 500), demand("roofing", 0, 0)],
        drain_notices: vec![DrainNotice {
            host: name("runner-3"),
            incarnation: 9,
        }],
        request: Some(lease::Request {
            from: entry(index),
            to: entry(index + 1),
            revision: 38,
            start: Time::from_micros(1_800_000_000_000_123),
        }),
        answer: Some(lease::Answer {
            from: entry(index),
            revision: 37,
            start: Time::from_micros(1_800_000_000_000_456),
            agrees: false,
        }),
        joining: true,
        join_ack: Some(lease::JoinAck {
            from: entry(index),
            to: entry(index + 1),
            fence: Time::from_micros(1_800_000_000_000_789),
        }),
        ..minimal_report(index)
    }
}

pub(crate) fn demand(pool: &str, millislots: u64, spill_millislots: u64) -> Demand {
    let pool = PoolHash::of(&name(pool));
    Demand {
        pool,
        millislots,
        spill_millislots,
    }
}

/// A view of `count` entries, divided between the zones in turn.
pub(crate) fn view(count: usize, zones: &[&str]) -> View {
    let mut fold = Fold::default();
    for index in 0..count {
        let sender = sender(index, zones[index % zones.len()]);
        let change = Change::Join {
            entry: sender.entry,
            zone: sender.zone,
            address: sender.callers,
        };
        let record = Record {
            sequence: 1,
            change,
        };
        fold.apply(index as u64 + 1, &record).unwrap();
    }
    fold.view().clone()
}

pub(crate) fn image(through: u64) -> Image {
    let held = |value| Revision {
        offset: 3,
        writer: name("ana"),
        value,
    };
    let assignment = Assignment {
        pool: name("quoting"),
    };
    Image {
        through,
        floor: 2,
        values: vec![
            (
                Subject::Host(name("h1")),
                held(Value::Assignment(assignment)),
            ),
            (Subject::Pool(name("old")), held(Value::Removed)),
        ],
        writers: vec![WriterState {
            writer: name("ana"),
            incarnation: 5,
            sequence: 2,
            offset: 3,
        }],
    }
}

pub(crate) fn handover(bodies: &[Option<usize>]) -> Handover {
    let items = bodies.iter().enumerate().map(|(index, body)| Item {
        id: Id::from_bits(index as u128 + 1),
        fingerprint: Fingerprint(u128::MAX - index as u128),
        state: RequestState::Answered(StoredAnswer {
            status: 201,
            headers: vec![("content-type".to_owned(), "text/plain".into())],
            body: body.map(|size| vec![0xa5; size].into()),
        }),
    });
    Handover {
        from: entry(0),
        to: entry(1),
        departed: true,
        floor: Time::from_micros(1_800_000_000_000_000),
        items: items.collect(),
    }
}
