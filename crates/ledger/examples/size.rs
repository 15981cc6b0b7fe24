//! Measures the memory of a configuration, and the time to apply changes to it, at one of three sizes.
//!
//! Run with `cargo run --release -p sassafrascrank-ledger --example size -- 1`; the argument 0, 1 or 2 chooses the
//! size. Each size needs a process of its own, because memory freed by one would hide that of the next.

use core::time::Duration;
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
    env,
    fs,
    sync::Arc,
    time::Instant, //
};

/// Customers, pools and hosts: a tenth of the target size, the target size, and twice the target size.
const SIZES: [(u32, u32, u32); 3] = [(10, 20, 140), (100, 199, 1_400), (200, 398, 2_800)];

/// Changes that are timed at each size: those of one day at the target size.
const CHANGES: u32 = 1_300;

/// Pools in one contract.
const SHARES: u32 = 5;

fn main() {
    let argument = env::args().nth(1).unwrap_or_else(|| "1".to_owned());
    let index = argument.parse::<usize>().ok();
    let Some(&(customers, pools, hosts)) = index.and_then(|index| SIZES.get(index)) else {
        eprintln!("argument {argument}: use 0, 1 or 2");
        return;
    };
    let before = resident_bytes();
    let mut state = State::new(1);
    fill(&mut state, customers, pools, hosts);
    let memory = resident_bytes().saturating_sub(before);
    let change_time = time_changes(&mut state, customers, pools);
    let import_time = time_import(&state);
    println!("customers  pools  hosts  time of one change  snapshot and import  resident memory");
    println!(
        "{customers:>9} {pools:>6} {hosts:>6} {:>16.1} us {:>17.0} us {:>11} KiB",
        change_time.as_secs_f64() * 1e6 / f64::from(CHANGES),
        import_time.as_secs_f64() * 1e6,
        memory / 1024
    );
}

/// Applies one change for each subject.
fn fill(state: &mut State, customers: u32, pools: u32, hosts: u32) {
    for index in 0..pools {
        let value = Value::Pool(Arc::new(Pool {
            slots: 8,
            connections: 64,
            attempt_timeout: Duration::from_secs(30),
            availability_percent: 80,
            spare: false,
        }));
        set(state, Subject::Pool(name("pool", index)), value);
    }
    for index in 0..customers {
        let value = contract(index, pools, 10);
        set(state, Subject::Customer(name("team", index)), value);
    }
    for index in 0..hosts {
        let pool = name("pool", index % pools);
        let value = Value::Assignment(Assignment { pool });
        set(state, Subject::Host(name("host", index)), value);
    }
}

/// Changes contracts and assignments alternately and returns the total time of applying the changes.
fn time_changes(state: &mut State, customers: u32, pools: u32) -> Duration {
    let records: Vec<Record> = (0..CHANGES)
        .map(|index| {
            let (subject, value) = if index % 2 == 0 {
                let customer = index / 2 % customers;
                let value = contract(customer, pools, 11 + index);
                (Subject::Customer(name("team", customer)), value)
            } else {
                let pool = name("pool", index % pools);
                let subject = Subject::Host(name("new", index));
                (subject, Value::Assignment(Assignment { pool }))
            };
            let basis = basis_after(state, &subject, index, customers);
            record(state.next() + u64::from(index), subject, basis, value)
        })
        .collect();
    let start = Instant::now();
    for record in records {
        let verdict = state.apply(state.next(), Ok(record));
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    }
    start.elapsed()
}

/// Returns the basis that `subject` will have when the change with this index is applied.
fn basis_after(state: &State, subject: &Subject, index: u32, customers: u32) -> u64 {
    match (subject, index.checked_sub(2 * customers)) {
        (Subject::Customer(_), Some(last)) => state.next() + u64::from(last),
        _ => state.basis(subject),
    }
}

fn time_import(state: &State) -> Duration {
    let start = Instant::now();
    let origin = origin(u64::MAX);
    let snapshot = state.snapshot(origin, Time::MIN).map(|it| it.image);
    let mut fresh = State::new(2);
    let imported = snapshot.map(|image| fresh.import(image));
    assert_eq!(imported, Some(Ok(true)));
    start.elapsed()
}

fn set(state: &mut State, subject: Subject, value: Value) {
    let basis = state.basis(&subject);
    let record = record(state.next(), subject, basis, value);
    let verdict = state.apply(state.next(), Ok(record));
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
}

fn record(sequence: u64, subject: Subject, basis: u64, value: Value) -> Record {
    Record::Change(Change {
        origin: origin(sequence),
        entries: vec![Entry {
            subject,
            basis,
            value,
        }],
    })
}

fn origin(sequence: u64) -> Origin {
    Origin {
        writer: name("size", 0),
        incarnation: 1,
        sequence,
    }
}

fn contract(customer: u32, pools: u32, rate: u32) -> Value {
    let mut digest = [0; 32];
    digest[..4].copy_from_slice(&customer.to_le_bytes());
    let classes = ["preview", "normal", "overnight"];
    Value::Contract(Arc::new(Contract {
        digest,
        rate: Rate {
            per_second: rate,
            burst: rate,
        },
        concurrency: None,
        shares: (0..SHARES)
            .map(|share| (name("pool", (customer * SHARES + share) % pools), 10))
            .collect(),
        classes: classes
            .into_iter()
            .map(|class| Class {
                name: name(class, 0),
                share: 30,
                queue_timeout: Duration::from_secs(60),
                queue_limit: 100,
            })
            .collect(),
        retry_percent: 10,
        spill: false,
    }))
}

fn name(prefix: &str, index: u32) -> Name {
    // The text is a valid name for every prefix in this file.
    Name::new(&format!("{prefix}-{index}")).expect("valid name")
}

/// Returns the resident memory of this process in bytes, 0 where `/proc` is missing.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    // Linux on x86-64 has pages of 4 KiB.
    pages.unwrap_or(0) * 4096
}
