//! Builders for configuration values and hosts.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    Subject,
    Value,
    model, //
};
use sassafrascrank_dispatch::catalog::Host;
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

pub(crate) type Values = BTreeMap<Subject, Value>;

pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn contract(
    shares: &[(&str, u32)],
    rate: (u32, u32),
    concurrency: Option<u32>,
    spill: bool,
) -> Value {
    let class = |text: &str, share| model::Class {
        name: name(text),
        share,
        queue_timeout: Duration::from_millis(700),
        queue_limit: 16,
    };
    Value::Contract(Arc::new(model::Contract {
        digest: [0; model::DIGEST_BYTES],
        rate: model::Rate {
            per_second: rate.0,
            burst: rate.1,
        },
        concurrency,
        shares: shares
            .iter()
            .map(|(pool, share)| (name(pool), *share))
            .collect(),
        classes: vec![class("urgent", 60), class("bulk", 40)],
        retry_percent: 10,
        spill,
    }))
}

pub(crate) fn pool(slots: u32) -> Value {
    Value::Pool(Arc::new(model::Pool {
        slots,
        connections: 64,
        attempt_timeout: ATTEMPT_TIMEOUT,
        availability_percent: 50,
        spare: false,
    }))
}

pub(crate) fn assign(host: &str, pool: &str) -> (Subject, Value) {
    let pool = name(pool);
    (
        Subject::Host(name(host)),
        Value::Assignment(model::Assignment { pool }),
    )
}

pub(crate) fn host(text: &str, zone: &str, incarnation: u64) -> Host {
    Host {
        name: name(text),
        incarnation,
        availability_zone: name(zone),
        address: "127.0.0.1:9".parse().unwrap(),
        leaving: false,
    }
}
