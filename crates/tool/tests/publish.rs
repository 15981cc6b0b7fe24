//! Publication against the stand-in of the platform.

mod common;

use common::{
    file,
    mask,
    proxy,
    run, //
};
use sassafrascrank_standin::{
    Platform,
    platform::{
        Faults,
        Outage,
        Settings, //
    },
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

const POOL: &str = "{ \"pools\": { \"comun\": { \"slots\": 8 } }, \"hosts\": { \"w1\": { \"pool\": \"comun\" } } }";

fn publish(path: &str, platform: SocketAddr, writer: &str) -> String {
    let platform = platform.to_string();
    let arguments = ["publish", path, "--platform", &platform, "--writer", writer];
    run(&[&arguments[..], &["--timeout", "2"]].concat(), "")
}

/// Guards against a change that is in force but is not reported as accepted with its offset.
#[test]
fn an_accepted_change_names_its_offset_and_subjects() {
    let platform = Platform::start(Settings::default()).unwrap();
    let path = file("accepted.jsonc", POOL);
    let first = publish(&path, platform.address(), "operator");
    let second = publish(&path, platform.address(), "operator");
    assert_eq!(platform.end("config"), 2);
    insta::assert_snapshot!(first + &second);
}

/// Guards against a report of "accepted" although another writer changed the subject first.
#[test]
fn concurrent_change_makes_the_publication_stale() {
    let platform = Platform::start(Settings::default()).unwrap();
    let address = platform.address();
    let rival = file(
        "rival.jsonc",
        "{ \"pools\": { \"comun\": { \"slots\": 4 } } }",
    );
    let proxy = proxy::start(address, move || {
        publish(&rival, address, "rival");
    });
    let path = file("slower.jsonc", POOL);
    insta::assert_snapshot!(publish(&path, proxy, "operator"));
}

/// Guards against a report of "nothing was published" for an append that may have taken effect.
#[test]
fn an_append_without_an_answer_is_unknown() {
    let platform = Arc::new(Platform::start(Settings::default()).unwrap());
    let failing = platform.clone();
    let proxy = proxy::start(platform.address(), move || {
        failing.set_faults(Faults {
            outage: Outage::Closed,
            ..Default::default()
        });
    });
    let path = file("unknown.jsonc", POOL);
    let text = publish(&path, proxy, "operator");
    // The reason is that of the last retry, which depends on the timing.
    let reason = text.find(" (").zip(text.rfind("): "));
    let (from, to) = reason.unwrap();
    insta::assert_snapshot!(text.replace(&text[from..=to], ""));
}

/// Guards against a publication that never ends, or that is reported as successful, while the platform is unreachable.
#[test]
fn nothing_is_published_while_the_platform_is_away() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let path = file("away.jsonc", POOL);
    let text = publish(&path, address, "operator");
    insta::assert_snapshot!(text);
}

/// Guards against a document that is sent although it does not pass its check.
#[test]
fn a_wrong_document_is_not_sent() {
    let platform = Platform::start(Settings::default()).unwrap();
    let path = file(
        "wrong.jsonc",
        "{ \"pools\": { \"comun\": { \"slots\": 0 } } }",
    );
    let wrong = publish(&path, platform.address(), "operator");
    let path = file("empty.jsonc", "{}");
    let empty = publish(&path, platform.address(), "operator");
    assert_eq!(platform.end("config"), 0);
    insta::assert_snapshot!(mask(&(wrong + &empty), &[]));
}

/// Guards against an assignment to a pool that does not exist, after which the host would get no work.
#[test]
fn a_host_in_an_unknown_pool_is_rejected_by_the_ledger() {
    let platform = Platform::start(Settings::default()).unwrap();
    let path = file(
        "orphan.jsonc",
        "{ \"hosts\": { \"w1\": { \"pool\": \"nowhere\" } } }",
    );
    insta::assert_snapshot!(publish(&path, platform.address(), "operator"));
}
