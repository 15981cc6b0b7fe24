//! Membership and lease, one scenario for each hole that the review of the protocol found.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::*,
    lease::*,
    member::*, //
};
use std::fmt::Write;

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn lease(host: &str, incarnation: u64) -> Lease {
    let entry = Entry {
        host: Name::new(host).unwrap(),
        incarnation,
    };
    Lease::new(
        entry,
        Name::new("suva").unwrap(),
        Limit::DEFAULT,
        Fold::default(),
    )
}

fn join(lease: &mut Lease) -> Record {
    lease.join("127.0.0.1:80".parse().unwrap()).unwrap()
}

/// Reads the rest of the log at `now`, and confirms the view.
fn read(lease: &mut Lease, now: u64, log: &[Record]) {
    let have = lease.view().offset as usize;
    for (offset, record) in (1..).zip(log).skip(have) {
        lease.apply(at(now), offset, record).unwrap();
    }
    lease.confirm(at(now), log.len() as u64);
}

fn key(created: u64, low: u64) -> Key {
    let bits = u128::from(created * 1_000) << 80 | u128::from(low);
    Key::new(Name::new("suva").unwrap(), Id::from_bits(bits))
}

/// Two active members a and b with their log at 1,000 s.
fn pair() -> (Lease, Lease, Vec<Record>) {
    let (mut a, mut b) = (lease("a", 1), lease("b", 1));
    let mut log = vec![join(&mut a)];
    read(&mut a, 900, &log);
    log.push(join(&mut b));
    read(&mut a, 901, &log);
    read(&mut b, 901, &log);
    let witness = a.acknowledge_join(b.me()).unwrap();
    assert!(b.accept_join_ack(at(901), &witness));
    read(&mut a, 1_000, &log);
    read(&mut b, 1_000, &log);
    (a, b, log)
}

/// Guards against a first member that runs keys which a retired, still running member may run too: b retires a, which
/// confirms alone and cut off from the log, then leaves, and c finds an empty zone.
#[test]
fn an_entry_that_joins_an_emptied_zone_has_a_fence() {
    let (_, mut b, mut log) = pair();
    log.push(b.retire(lease("a", 1).me().clone()).unwrap());
    read(&mut b, 1_001, &log);
    log.push(b.leave().unwrap());
    let mut c = lease("c", 1);
    log.push(join(&mut c));
    read(&mut c, 1_002, &log);
    assert_eq!(c.state(), State::Joining(at(1_002)));
    c.tick(at(1_007));
    assert_eq!(c.state(), State::Active(at(1_002 + 900 + 5 + 1)));
}

/// Guards against the same fault where all members left: the last keys may have been run a moment ago.
#[test]
fn an_entry_that_joins_after_the_last_leave_waits_for_one_lease() {
    let (mut a, mut b, mut log) = pair();
    log.push(a.leave().unwrap());
    read(&mut b, 1_001, &log);
    log.push(b.leave().unwrap());
    let mut c = lease("c", 1);
    log.push(join(&mut c));
    read(&mut c, 1_002, &log);
    assert_eq!(c.state(), State::Active(at(1_008)));
}

/// Guards against a view import that hides an entry which joined, ran keys and departed in the skipped records.
#[test]
fn an_import_that_skips_records_raises_the_fence() {
    let (mut a, mut b, mut log) = pair();
    let mut c = lease("c", 1);
    log.push(join(&mut c));
    read(&mut b, 1_001, &log);
    let record = Record {
        sequence: 2,
        change: Change::Leave {
            entry: c.me().clone(),
        },
    };
    log.push(record);
    read(&mut b, 1_002, &log);
    assert!(a.import(at(1_003), b.view().clone()));
    assert_eq!(a.state(), State::Active(at(1_009)));
    let (old, _, _) = pair();
    assert!(
        !a.import(at(1_004), old.view().clone()),
        "an older view must not replace a newer one"
    );
    assert_eq!(a.view().offset, 4);
}

/// Guards against a restarted process that continues the membership of its predecessor without its memory.
#[test]
fn a_process_that_reads_the_join_of_its_predecessor_runs_nothing() {
    let (_, _, log) = pair();
    let mut a = lease("a", 1);
    read(&mut a, 1_001, &log);
    assert_eq!(a.state(), State::Departed);
    let mut again = lease("a", 2);
    assert_eq!(join(&mut again).writer().incarnation, 2);
}

/// Guards against a confirmation by another process at the address of a member, and by an answer to another round.
#[test]
fn only_the_named_process_confirms_and_only_its_round() {
    let (mut a, b, _) = pair();
    let old = a.request_confirmations(at(1_003)).remove(0);
    let request = a.request_confirmations(at(1_010)).remove(0);
    assert_eq!(lease("b", 2).answer(&request), None);
    a.record_answer(&b.answer(&old).unwrap());
    assert_eq!(a.horizon(), at(1_005));
    a.record_answer(&b.answer(&request).unwrap());
    assert_eq!(a.horizon(), at(1_015));
}

/// Guards against a peer that agrees while its own retirement record may already be in the log.
#[test]
fn a_peer_with_an_append_in_flight_does_not_confirm() {
    let (mut a, mut b, mut log) = pair();
    let request = a.request_confirmations(at(1_010)).remove(0);
    let record = b.retire(a.me().clone()).unwrap();
    assert!(!b.answer(&request).unwrap().agrees);
    assert!(b.request_confirmations(at(1_010)).is_empty());
    log.push(record);
    read(&mut b, 1_011, &log);
    assert!(!b.answer(&request).unwrap().agrees);
}

/// Guards against service beyond D, for which a joining entry without a witness waits.
#[test]
fn peers_confirm_for_d_after_the_last_log_read() {
    let (mut a, _, _) = pair();
    assert_eq!(a.request_confirmations(at(1_900)).len(), 1);
    assert!(a.request_confirmations(at(1_901)).is_empty());
}

/// Guards against a late witness that leaves the long fence in place, and a new witness that hides its own.
#[test]
fn a_late_witness_lowers_the_fence_to_its_own() {
    let (a, _, mut log) = pair();
    let mut c = lease("c", 1);
    log.push(join(&mut c));
    read(&mut c, 1_001, &log);
    c.tick(at(1_006));
    let long = State::Active(at(1_907));
    assert_eq!(c.state(), long);
    let mut d = lease("d", 1);
    log.push(join(&mut d));
    read(&mut c, 1_007, &log);
    read(&mut d, 1_007, &log);
    assert!(d.accept_join_ack(at(1_007), &c.acknowledge_join(d.me()).unwrap()));
    assert_eq!(d.state(), long);
    assert_eq!(
        a.acknowledge_join(c.me()),
        None,
        "a has not read the join of c"
    );
    let mut a = a;
    read(&mut a, 1_008, &log);
    assert!(c.accept_join_ack(at(1_010), &a.acknowledge_join(c.me()).unwrap()));
    assert_eq!(c.state(), State::Active(at(1_016)));
}

/// Guards against refusals whose outcome claims too much.
#[test]
fn permits_name_what_is_certain() {
    let (mut a, mut b, mut log) = pair();
    let own = |lease: &Lease, created| {
        (0..)
            .map(|low| key(created, low))
            .find(|key| lease.route(key) == Route::Own)
            .unwrap()
    };
    let mut out = String::new();
    for created in [1_000, 1_005, 1_006, 1_009, 1_010] {
        writeln!(
            out,
            "created {created}: {:?}",
            a.permit(at(1_003), &own(&a, created))
        )
        .unwrap();
    }
    let foreign = own(&b, 1_002);
    writeln!(out, "foreign: {:?}", a.permit(at(1_003), &foreign)).unwrap();
    log.push(b.leave().unwrap());
    writeln!(out, "frozen: {:?}", b.permit(at(1_003), &foreign)).unwrap();
    read(&mut a, 1_004, &log);
    writeln!(out, "moved: {:?}", a.permit(at(1_004), &foreign)).unwrap();
    let kept = (0..)
        .map(|low| key(1_002, low))
        .find(|key| a.fence(key.hash()) < at(1_002))
        .unwrap();
    writeln!(out, "kept: {:?}", a.permit(at(1_004), &kept)).unwrap();
    assert_eq!(
        a.permit(at(1_004), &foreign).unwrap_err().reason,
        Reason::KeyExpired
    );
    insta::assert_snapshot!(out);
}

/// Guards against two entries that retire each other, a retirement that races with a leave, and late repeats.
#[test]
fn the_fold_ignores_repeats_and_writers_that_are_not_members() {
    let entry = |host| lease(host, 1).me().clone();
    let (zone, address) = (Name::new("suva").unwrap(), "127.0.0.1:80".parse().unwrap());
    let join = |host| Change::Join {
        entry: entry(host),
        zone: zone.clone(),
        address,
    };
    let retire = |host, by| Change::Retire {
        entry: entry(host),
        by: entry(by),
    };
    let changes = [
        (1, join("a")),
        (1, join("b")),
        (1, join("b")),
        (2, retire("a", "b")),
        (2, retire("b", "a")),
        (2, retire("a", "b")),
        (3, Change::Leave { entry: entry("a") }),
        (1, join("a")),
        (3, Change::Leave { entry: entry("b") }),
        (4, retire("b", "b")),
    ];
    let (mut fold, mut out) = (Fold::default(), String::new());
    for (offset, (sequence, change)) in (1..).zip(changes) {
        let effect = fold.apply(offset, &Record { sequence, change }).unwrap();
        let name = match effect {
            Effect::Joined(entry, _) => format!("joined {}", entry.host),
            Effect::Departed(entry, _) => format!("departed {}", entry.host),
            other => format!("{other:?}"),
        };
        writeln!(out, "{offset}: {name}").unwrap();
    }
    let gap = fold.apply(
        12,
        &Record {
            sequence: 5,
            change: join("c"),
        },
    );
    writeln!(out, "{}", gap.unwrap_err()).unwrap();
    insta::assert_snapshot!(out);
}
