//! Log appends and service during a log outage, for the three ways of section 5.2 of the design.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::*,
    lease::*,
    member::*, //
};
use std::fmt::Write;

const ENTRIES: usize = 8;
const RATE: u64 = 1_000;
/// Claims that fit into one append of the first way.
const BATCH: u64 = 100;
/// Slices of the second way.
const SLICES: u64 = 256;
const HOUR: u64 = 3_600;
/// Entries that stop and start again in an hour: 170 a day.
const RESTARTS: u64 = 7;

fn at(seconds: u64) -> Time {
    Time::from_millis((1_000_000 + seconds) * 1_000)
}

/// A zone of the chosen way whose members joined and read the log until second 30.
fn zone() -> (Vec<Lease>, Vec<Record>) {
    let (zone, mut log) = (Name::new("suva").unwrap(), Vec::new());
    let lease = |index: usize| {
        let entry = Entry {
            host: Name::new(&format!("h{index}")).unwrap(),
            incarnation: 1,
        };
        Lease::new(entry, zone.clone(), Limit::DEFAULT, Fold::default())
    };
    let mut leases: Vec<Lease> = (0..ENTRIES).map(lease).collect();
    for index in 0..ENTRIES {
        log.push(leases[index].join("127.0.0.1:80".parse().unwrap()).unwrap());
        for lease in &mut leases[..=index] {
            let have = lease.view().offset as usize;
            for (offset, record) in (1..).zip(&log).skip(have) {
                lease.apply(at(0), offset, record).unwrap();
            }
        }
        let me = leases[index].me().clone();
        if let Some(witness) = leases[0].acknowledge_join(&me) {
            leases[index].accept_join_ack(at(0), &witness);
        }
    }
    assert!(
        leases
            .iter()
            .all(|lease| matches!(lease.state(), State::Active(_)))
    );
    leases
        .iter_mut()
        .for_each(|lease| assert!(lease.confirm(at(30), log.len() as u64)));
    (leases, log)
}

/// Returns how many of 10 keys per second can run in an outage from second 30, in percent; each second the entries
/// that live confirm each other.
fn served(outage: u64, lost: Option<u64>) -> u64 {
    let (mut leases, _) = zone();
    let (mut served, mut asked) = (0, 0);
    for second in 31..=30 + outage {
        let alive = |index: usize| index != 0 || lost.is_none_or(|at| second < 30 + at);
        for index in (0..ENTRIES).filter(|index| alive(*index)) {
            for request in leases[index].request_confirmations(at(second)) {
                let peer = (0..ENTRIES)
                    .find(|peer| *leases[*peer].me() == request.to)
                    .unwrap();
                if alive(peer)
                    && let Some(answer) = leases[peer].answer(&request)
                {
                    leases[index].record_answer(&answer);
                }
            }
        }
        for low in 0..10_u64 {
            let bits = u128::from(at(second).as_millis()) << 80 | u128::from(low);
            let key = Key::new(Name::new("suva").unwrap(), Id::from_bits(bits));
            let permits = leases.iter().enumerate().filter(|(index, _)| alive(*index));
            served += permits
                .filter(|(_, lease)| lease.permit(at(second), &key).is_ok())
                .count() as u64;
            asked += 1;
        }
    }
    served * 100 / asked
}

/// Guards against a protocol that appends for each request or stops with the log.
#[test]
fn the_chosen_way_appends_least_and_serves_through_an_outage() {
    let requests = RATE * HOUR;
    let per_million = |appends: u64| appends as f64 * 1e6 / requests as f64;
    let mut out = String::from("way                 appends/h  per million requests");
    // A stop and a start of the second way write one record for each slice that moves.
    let slices = SLICES + RESTARTS * 2 * SLICES / ENTRIES as u64;
    let (_, log) = zone();
    let joined = log.len() as u64 + RESTARTS * 2;
    for (way, appends) in [
        ("claim per request", requests / BATCH),
        ("slices", slices),
        ("membership", joined),
    ] {
        write!(
            out,
            "\n{way:<18} {appends:>10} {:>21.1}",
            per_million(appends)
        )
        .unwrap();
    }
    out.push_str("\n\nkeyed requests served in a log outage, percent; without peer confirmation, slices serve L\n");
    out.push_str("outage     claim  slices  membership  membership, one entry lost after 60 s");
    for outage in [5, 300, 900, 1_800] {
        let slices = Limit::DEFAULT.lease.as_secs().min(outage) * 100 / outage;
        let (all, lost) = (served(outage, None), served(outage, Some(60)));
        write!(
            out,
            "\n{outage:>5} s {:>8} {slices:>7} {all:>11} {lost:>38}",
            0
        )
        .unwrap();
    }
    assert_eq!(served(900, None), 100);
    insta::assert_snapshot!(out);
}
