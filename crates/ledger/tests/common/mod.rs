//! Values, records and a seeded random number generator for the tests.

#![allow(dead_code, reason = "each test file uses a part")]

use core::{
    fmt::Debug,
    hash::Hasher,
    time::Duration, //
};
use sassafrascrank_base::{
    name::Name,
    time::Time, //
};
use sassafrascrank_contract::model::{
    Assignment,
    Class,
    Contract,
    Pool,
    Rate,
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
use std::{
    hash::DefaultHasher,
    sync::Arc, //
};

/// Random number generator SplitMix64.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn subject(text: &str) -> Subject {
    Subject::try_from(text).unwrap()
}

pub(crate) fn origin(writer: &str, sequence: u64) -> Origin {
    Origin {
        writer: name(writer),
        incarnation: 1,
        sequence,
    }
}

pub(crate) fn pool(slots: u32) -> Value {
    Value::Pool(Arc::new(Pool {
        slots,
        connections: 64,
        attempt_timeout: Duration::from_secs(30),
        availability_percent: 80,
        spare: false,
    }))
}

/// Returns a contract whose credential digest consists of the byte `digest`.
pub(crate) fn contract(digest: u8, shares: &[(&str, u32)]) -> Value {
    let shares = shares.iter();
    Value::Contract(Arc::new(Contract {
        digest: [digest; 32],
        rate: Rate {
            per_second: 10,
            burst: 10,
        },
        concurrency: None,
        shares: shares.map(|&(pool, share)| (name(pool), share)).collect(),
        classes: vec![Class {
            name: name("x"),
            share: 100,
            queue_timeout: Duration::from_secs(1),
            queue_limit: 10,
        }],
        retry_percent: 10,
        spill: false,
    }))
}

pub(crate) fn assignment(pool: &str) -> Value {
    Value::Assignment(Assignment { pool: name(pool) })
}

pub(crate) fn change(origin: Origin, entries: &[(&str, u64, Value)]) -> Record {
    let entries = entries.iter();
    Record::Change(Change {
        origin,
        entries: entries
            .map(|(text, basis, value)| Entry {
                subject: subject(text),
                basis: *basis,
                value: value.clone(),
            })
            .collect(),
    })
}

/// Applies `record` at the next offset.
pub(crate) fn apply(state: &mut State, record: Record) -> Verdict {
    state.apply(state.next(), Ok(record))
}

/// Applies a whole log from the offset `first` on, and reads records again after a snapshot was adopted.
pub(crate) fn apply_log(state: &mut State, log: &[Record], first: u64) {
    state.expire(first);
    while let Some(record) = log.get(usize::try_from(state.next() - 1).unwrap()) {
        let next = state.next();
        state.apply(next, Ok(record.clone()));
    }
}

/// Returns a digest of everything that a state exports.
pub(crate) fn digest(state: &State) -> u64 {
    digest_of(&state.export())
}

pub(crate) fn digest_of(value: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(format!("{value:?}").as_bytes());
    hasher.finish()
}

/// Returns a log of random changes, among them repeated, stale and invalid ones, and occasional snapshots.
pub(crate) fn random_log(seed: u64, length: usize) -> Vec<Record> {
    let mut random = Random(seed);
    let mut state = State::new(1);
    let mut log: Vec<Record> = Vec::new();
    for sequence in 1..=u64::try_from(length).unwrap() {
        let origin = origin(&format!("w{}", random.below(4)), sequence);
        let record = match random.below(20) {
            0 => Record::Snapshot(state.snapshot(origin, Time::from_millis(sequence)).unwrap()),
            1 if !log.is_empty() => log[random.below(log.len() as u64) as usize].clone(),
            _ => random_change(&mut random, &state, origin),
        };
        state.apply(state.next(), Ok(record.clone()));
        log.push(record);
    }
    log
}

fn random_change(random: &mut Random, state: &State, origin: Origin) -> Record {
    let pool_name = format!("p{}", random.below(6));
    let (text, value) = match random.below(8) {
        0 => (format!("pool/{pool_name}"), Value::Removed),
        1..=3 => (
            format!("pool/{pool_name}"),
            pool(1 + random.below(8) as u32),
        ),
        4 | 5 => (
            format!("host/h{}", random.below(20)),
            assignment(&pool_name),
        ),
        6 => (format!("host/h{}", random.below(20)), Value::Removed),
        _ => {
            let customer = random.below(5);
            let share = 10 + random.below(20) as u32;
            let value = contract(customer as u8, &[(&pool_name, share)]);
            (format!("customer/c{customer}"), value)
        }
    };
    let stale = random.below(5) == 0;
    let basis = state.basis(&subject(&text)) + u64::from(stale);
    change(origin, &[(&text, basis, value)])
}
