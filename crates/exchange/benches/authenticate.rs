//! Time to find the customer of a credential, by index and by comparison with every contract.

use divan::{
    Bencher,
    black_box, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model;
use sassafrascrank_dispatch::{
    Snapshot,
    catalog::Customer, //
};
use sassafrascrank_exchange::caller::Directory;
use sha2::{
    Digest,
    Sha256, //
};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Numbers of customers in the directory.
const CUSTOMERS: [usize; 3] = [10, 100, 1_000];

fn main() {
    divan::main();
}

/// Looks up the credential of the last customer by the keyed hash of its digest.
#[divan::bench(args = CUSTOMERS)]
fn index(bencher: Bencher<'_, '_>, customers: usize) {
    let directory = Directory::from(&snapshot(customers));
    let credential = credential(customers - 1);
    bencher.bench_local(|| directory.authenticate(black_box(&credential)).is_some());
}

/// Looks up a credential that no customer has.
#[divan::bench(args = CUSTOMERS)]
fn index_unknown(bencher: Bencher<'_, '_>, customers: usize) {
    let directory = Directory::from(&snapshot(customers));
    bencher.bench_local(|| directory.authenticate(black_box(b"guess")).is_some());
}

/// Compares the digest with that of every contract, as a baseline without an index.
#[divan::bench(args = CUSTOMERS)]
fn scan(bencher: Bencher<'_, '_>, customers: usize) {
    let snapshot = snapshot(customers);
    let credential = credential(customers - 1);
    bencher.bench_local(|| {
        let digest = Sha256::digest(black_box(&credential));
        let mut found = None;
        for customer in &snapshot.customers {
            if bool::from(customer.contract.digest.ct_eq(digest.as_slice())) {
                found = Some(customer);
            }
        }
        found.is_some()
    });
}

fn credential(index: usize) -> Vec<u8> {
    format!("credential-of-customer-{index:04}").into_bytes()
}

fn snapshot(customers: usize) -> Snapshot {
    let customer = |index| {
        let contract = model::Contract {
            digest: Sha256::digest(credential(index)).into(),
            rate: model::Rate {
                per_second: 1,
                burst: 1,
            },
            concurrency: None,
            shares: Vec::new(),
            classes: Vec::new(),
            retry_percent: 10,
            spill: false,
        };
        Customer {
            key: customer::Key::default(),
            name: Name::new(&format!("c{index}")).unwrap_or_else(|_| Name::placeholder()),
            contract: Arc::new(contract),
            shares: Vec::new(),
        }
    };
    Snapshot {
        customers: (0..customers).map(customer).collect(),
        ..Snapshot::default()
    }
}
