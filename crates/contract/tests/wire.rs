//! Serialisation and validation of values.

use core::time::Duration;
use proptest::prelude::*;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::{
    model,
    wire, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9_.-]{1,63}".prop_map(|text| Name::new(&text).unwrap())
}

fn classes() -> impl Strategy<Value = Vec<model::Class>> {
    let class = (1..=12_u32, 1..=3_600_000_u64, 1..=100_000_u32);
    proptest::collection::vec(class, 1..=8).prop_map(|classes| {
        let classes = classes.into_iter().enumerate();
        classes
            .map(|(index, (share, timeout, limit))| model::Class {
                name: Name::new(&format!("class{index}")).unwrap(),
                share,
                queue_timeout: Duration::from_millis(timeout),
                queue_limit: limit,
            })
            .collect()
    })
}

fn contract() -> impl Strategy<Value = model::Value> {
    let shares = proptest::collection::btree_map(name(), 1..=100_u32, 1..20);
    let rate = (1..=1_000_000_u32, 1..=1_000_000_u32);
    let concurrency = proptest::option::of(1..=1_000_000_u32);
    let rest = (0..=100_u32, any::<bool>());
    (
        any::<[u8; 32]>(),
        rate,
        concurrency,
        shares,
        classes(),
        rest,
    )
        .prop_map(
            |(
                digest,
                (per_second, burst),
                concurrency,
                shares,
                classes,
                (retry_percent, spill),
            )| {
                let shares: BTreeMap<Name, u32> = shares;
                model::Value::Contract(Arc::new(model::Contract {
                    digest,
                    rate: model::Rate { per_second, burst },
                    concurrency,
                    shares: shares.into_iter().collect(),
                    classes,
                    retry_percent,
                    spill,
                }))
            },
        )
}

fn pool() -> impl Strategy<Value = model::Value> {
    let numbers = (
        1..=1_024_u32,
        1..=65_535_u32,
        1..=86_400_000_u64,
        0..=100_u32,
    );
    (numbers, any::<bool>()).prop_map(|((slots, connections, timeout, percent), spare)| {
        model::Value::Pool(Arc::new(model::Pool {
            slots,
            connections,
            attempt_timeout: Duration::from_millis(timeout),
            availability_percent: percent,
            spare,
        }))
    })
}

fn value() -> impl Strategy<Value = model::Value> {
    let assignment = name().prop_map(|pool| model::Value::Assignment(model::Assignment { pool }));
    prop_oneof![contract(), pool(), assignment, Just(model::Value::Removed)]
}

/// Guards against a record with two shares of one pool, of which the last would silently take effect.
#[test]
fn a_share_given_twice_is_refused() {
    let text = r#"{"credential_sha256":"","rate":1,"burst":1,"shares":{"a":1,"a":2},"classes":[]}"#;
    let error = serde_json::from_str::<wire::Contract>(text).unwrap_err();
    insta::assert_snapshot!(error);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a field that is lost or changed by serialisation and deserialisation.
    #[test]
    fn a_valid_value_survives_the_wire(value in value()) {
        let text = serde_json::to_string(&wire::Value::from(&value)).unwrap();
        let read: wire::Value = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(model::Value::try_from(read), Ok(value));
    }

    /// Guards against a panic on a pool with arbitrary numbers, and against accepting numbers that are out of range.
    #[test]
    fn an_arbitrary_pool_is_checked(
        slots: u32, connections: u32, attempt_timeout_ms: u32, availability_percent: u32, spare: bool,
    ) {
        let wire = wire::Pool { slots, connections, attempt_timeout_ms, availability_percent, spare };
        let valid = (1..=1_024).contains(&slots)
            && (1..=65_535).contains(&connections)
            && (1..=86_400_000).contains(&attempt_timeout_ms)
            && availability_percent <= 100;
        prop_assert_eq!(model::Pool::try_from(wire).is_ok(), valid);
    }

    /// Guards against a panic of the digest decoder on arbitrary text, and against accepting an invalid digest.
    #[test]
    fn an_arbitrary_digest_is_checked(text in "\\PC{0,70}") {
        let wire = wire::Contract {
            credential_sha256: text.clone(),
            rate: 1,
            burst: 1,
            concurrency: None,
            shares: BTreeMap::from([("a".to_owned(), 1)]),
            classes: vec![wire::Class {
                name: "x".to_owned(),
                share: 1,
                queue_timeout_ms: 1,
                queue_limit: 1,
            }],
            retry_percent: 0,
            spill: false,
        };
        let valid = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        prop_assert_eq!(model::Contract::try_from(wire).is_ok(), valid);
    }
}
