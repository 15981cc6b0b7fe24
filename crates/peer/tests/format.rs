//! Test of the encoded bytes of each kind of message between entries, since processes of two versions exchange messages
//! during an upgrade.

mod common;

use core::fmt::Write;
use insta::assert_snapshot;
use sassafrascrank_claim::table::RequestState;
use sassafrascrank_peer::{
    message::{
        self,
        Host,
        StoredAnswer, //
    },
    wire::{
        self,
        ConnectionState,
        HANDOVER_LIMIT,
        REPORT_LIMIT,
        STATE_LIMIT, //
    },
};

fn state() -> message::State {
    let host = |name: &str, leaving: bool| Host {
        name: common::name(name),
        incarnation: 7,
        zone: common::name("suva"),
        address: "10.0.0.9:8080".parse().unwrap(),
        leaving,
    };
    message::State {
        config: Some(common::image(7)),
        member: Some(common::view(5, &["suva", "nadi"])),
        hosts: Some(vec![host("host-1", false), host("host-2", true)]),
    }
}

fn handover() -> message::Handover {
    let mut handover = common::handover(&[None, None, None]);
    handover.items[0].state = RequestState::Lost;
    handover.items[1].state = RequestState::Dropped;
    handover.items[2].state = RequestState::Answered(StoredAnswer {
        status: 201,
        headers: vec![("x-a".to_owned(), "value".into())],
        body: Some("body".into()),
    });
    handover
}

/// Guards against a renamed or missing field, which a process of the other version would ignore or refuse.
#[test]
fn each_kind_of_message_keeps_its_bytes() {
    let mut lines = String::new();
    let mut add = |case: &str, body: Vec<u8>| {
        writeln!(lines, "{case}: {}", body.escape_ascii()).unwrap();
    };
    let mut link = ConnectionState::default();
    for case in ["first report", "later report"] {
        let report = wire::Report::new(&common::full_report(0), &mut link);
        add(case, wire::encode(&report, REPORT_LIMIT).unwrap());
    }
    let state = wire::State::from(&state());
    add("state", wire::encode(&state, STATE_LIMIT).unwrap());
    let handover = wire::Handover::from(&handover());
    add("handover", wire::encode(&handover, HANDOVER_LIMIT).unwrap());
    assert_snapshot!(lines);
}
