//! Measures the encoded size of a snapshot of a configuration at the target size, and the time to encode and decode it.
//!
//! Run with `cargo run --release -p sassafrascrank-platform --example snapshot`.

use sassafrascrank_base::{
    name::Name,
    time::Time, //
};
use sassafrascrank_contract::document::Document;
use sassafrascrank_ledger::{
    Change,
    Entry,
    Origin,
    Record,
    State,
    state::WRITER_LIMIT, //
};
use sassafrascrank_platform::{
    api::RECORD_LIMIT,
    wire::config, //
};
use std::{
    fmt::Write,
    time::Instant, //
};

const CUSTOMERS: usize = 100;
const POOLS: usize = 199;
const HOSTS: usize = 1_400;

fn main() {
    let mut state = State::new(1);
    let document = Document::parse(&document()).expect("the document is valid");
    let values = document.values.into_iter();
    let entries = values
        .map(|(subject, value)| Entry {
            subject,
            basis: 0,
            value,
        })
        .collect();
    let change = |writer, entries| {
        Record::Change(Change {
            origin: origin(writer),
            entries,
        })
    };
    let change_size = config::encode(&change(0, Vec::clone(&entries))).len();
    state.apply(state.next(), Ok(change(0, entries)));
    report("values only", &state, change_size);
    for writer in 1..WRITER_LIMIT {
        state.apply(state.next(), Ok(change(writer, Vec::new())));
    }
    report("with all writers", &state, change_size);
}

fn report(case: &str, state: &State, change: usize) {
    let snapshot = state
        .snapshot(origin(0), Time::MIN)
        .expect("the state is complete");
    let record = Record::Snapshot(snapshot);
    let start = Instant::now();
    let text = config::encode(&record);
    let encoded = start.elapsed();
    let start = Instant::now();
    let decoded = config::decode(&text);
    let elapsed = start.elapsed();
    assert_eq!(decoded.as_ref(), Ok(&record));
    println!(
        "{case}: change {} KiB, snapshot {} KiB of {} KiB, encoded in {} us, decoded in {} us",
        change / 1024,
        text.len() / 1024,
        RECORD_LIMIT / 1024,
        encoded.as_micros(),
        elapsed.as_micros()
    );
}

fn origin(writer: usize) -> Origin {
    Origin {
        writer: Name::new(&format!("entry-{writer}")).expect("the name is valid"),
        incarnation: u64::MAX,
        sequence: 1,
    }
}

/// Returns a document at the target size. Each contract covers five pools and has three classes.
fn document() -> String {
    let mut text = "{\"customers\": {".to_owned();
    let classes: Vec<String> = ["preview", "normal", "overnight"]
        .iter()
        .map(|class| {
            format!(
                "{{\"name\": \"{class}\", \"share\": 30, \"queue_timeout_ms\": 1000, \"queue_limit\": 10}}"
            )
        })
        .collect();
    for customer in 0..CUSTOMERS {
        let shares: Vec<String> = (0..5)
            .map(|share| format!("\"pool-{}\": 10", (customer * 5 + share) % POOLS))
            .collect();
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\"team-{customer}\": {{\"credential_sha256\": \"{customer:064x}\", \"rate\": 10, \
             \"burst\": 10, \"shares\": {{{}}}, \"classes\": [{}]}},",
            shares.join(","),
            classes.join(",")
        );
    }
    text += "}, \"pools\": {";
    for pool in 0..POOLS {
        let _ = write!(text, "\"pool-{pool}\": {{}},");
    }
    text += "}, \"hosts\": {";
    for host in 0..HOSTS {
        let _ = write!(
            text,
            "\"host-{host}\": {{\"pool\": \"pool-{}\"}},",
            host % POOLS
        );
    }
    text + "}}"
}
