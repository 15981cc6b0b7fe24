//! Results of applying single records.

mod common;

use common::{
    Random,
    apply,
    assignment,
    change,
    contract,
    name,
    origin,
    pool,
    subject, //
};
use core::time::Duration;
use sassafrascrank_base::time::Time;
use sassafrascrank_contract::model::Value;
use sassafrascrank_ledger::{
    Error, Retention, Schedule, State, Verdict,
    state::{
        ENTRY_LIMIT,
        TOMBSTONE_LIMIT,
        WRITER_LIMIT, //
    },
};
use std::fmt::Write;

/// Subject, basis and value of an entry.
type Set<'a> = (&'a str, u64, Value);

/// Returns a state with the pools `a` and `b`, the customer `c` and the host `h`, all at offset 1.
fn base() -> State {
    let mut state = State::new(1);
    let entries = [
        ("pool/a", 0, pool(8)),
        ("pool/b", 0, pool(8)),
        ("customer/c", 0, contract(1, &[("a", 60)])),
        ("host/h", 0, assignment("a")),
    ];
    let verdict = apply(&mut state, change(origin("base", 1), &entries));
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    state
}

/// Guards against accepting a change that contradicts another value or itself, and against an error message without a
/// remedy.
#[test]
fn a_contradicting_change_is_invalid_and_changes_nothing() {
    let many: Vec<_> = (0..=ENTRY_LIMIT).map(|n| format!("host/n{n}")).collect();
    let many: Vec<_> = many
        .iter()
        .map(|text| (text.as_str(), 0, assignment("a")))
        .collect();
    let cases: Vec<(&str, Vec<Set>)> = vec![
        ("no entries", vec![]),
        ("too many entries", many),
        (
            "subject twice",
            vec![("pool/n", 0, pool(1)), ("pool/n", 0, pool(2))],
        ),
        ("other kind", vec![("pool/n", 0, assignment("a"))]),
        (
            "contract names unknown pool",
            vec![("customer/n", 0, contract(2, &[("z", 1)]))],
        ),
        ("host in unknown pool", vec![("host/n", 0, assignment("z"))]),
        ("pool used by contract", vec![("pool/a", 1, Value::Removed)]),
        (
            "pool used by host",
            vec![
                ("pool/a", 1, Value::Removed),
                ("customer/c", 1, Value::Removed),
            ],
        ),
        (
            "pool removed beside its new user",
            vec![
                ("pool/b", 1, Value::Removed),
                ("host/n", 0, assignment("b")),
            ],
        ),
        (
            "shares above a whole",
            vec![("customer/n", 0, contract(2, &[("a", 41)]))],
        ),
        (
            "same credential",
            vec![("customer/n", 0, contract(1, &[("b", 1)]))],
        ),
        (
            "good entry beside a bad one",
            vec![("pool/n", 0, pool(1)), ("host/n", 0, assignment("z"))],
        ),
    ];
    let mut messages = String::new();
    for (case, entries) in cases {
        let mut state = base();
        let before = state.export().unwrap().values;
        let verdict = apply(&mut state, change(origin("w", 1), &entries));
        let Verdict::Invalid(error) = verdict else {
            panic!("{case}: {verdict:?}");
        };
        writeln!(messages, "{case}: {error}").unwrap();
        assert_eq!(state.export().unwrap().values, before, "{case}");
        assert_eq!(state.through(), 2, "{case}");
    }
    insta::assert_snapshot!(messages);
}

/// Guards against checks that reject valid changes: shares of exactly 100%, and a pool that is removed together with
/// its last users.
#[test]
fn a_change_at_the_limit_is_accepted() {
    let mut state = base();
    let full = [("customer/n", 0, contract(2, &[("a", 40)]))];
    let full = apply(&mut state, change(origin("w", 1), &full));
    let gone = [
        ("pool/a", 1, Value::Removed),
        ("customer/c", 1, Value::Removed),
        ("customer/n", 2, Value::Removed),
        ("host/h", 1, assignment("b")),
    ];
    let gone = apply(&mut state, change(origin("w", 2), &gone));
    insta::assert_debug_snapshot!((full, gone, state.version()));
}

/// Guards against an unreadable record that blocks later records or affects the configuration in force.
#[test]
fn a_record_that_cannot_be_read_is_skipped() {
    let mut state = base();
    let error = Error::Unreadable("field record: value {: write it as documented".to_owned());
    assert_eq!(state.apply(2, Err(error.clone())), Verdict::Invalid(error));
    let verdict = apply(
        &mut state,
        change(origin("w", 1), &[("pool/a", 1, pool(4))]),
    );
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    assert_eq!((state.through(), state.version().0), (3, 3));
}

/// Guards against a record that was appended again after a lost answer and takes effect twice or is reported as stale,
/// and against a late copy of an older record that takes effect.
#[test]
fn a_repeat_is_ignored() {
    let mut state = base();
    let first = change(origin("w", 1), &[("pool/a", 1, pool(4))]);
    let second = change(origin("w", 2), &[("pool/a", 2, pool(5))]);
    let records = [first.clone(), first.clone(), second.clone(), first, second];
    let verdicts: Vec<_> = records
        .into_iter()
        .map(|record| apply(&mut state, record))
        .collect();
    insta::assert_debug_snapshot!((verdicts, state.get(&subject("pool/a"))));
}

/// Guards against a change based on a state from before a removal that restores the removed subject, also after its
/// tombstone was discarded, and against an unbounded number of tombstones.
#[test]
fn a_removed_subject_stays_removed() {
    let mut state = base();
    apply(
        &mut state,
        change(origin("w", 1), &[("host/h", 1, Value::Removed)]),
    );
    let mut bases = vec![state.basis(&subject("host/h"))];
    let stale = |state: &mut State, sequence, basis| {
        let record = change(
            origin("late", sequence),
            &[("host/h", basis, assignment("a"))],
        );
        assert!(
            matches!(apply(state, record), Verdict::Stale { .. }),
            "basis {basis}"
        );
    };
    stale(&mut state, 1, 0);
    stale(&mut state, 2, 1);
    for sequence in 2..=u64::try_from(TOMBSTONE_LIMIT).unwrap() + 2 {
        let text = format!("host/t{sequence}");
        let basis = state.basis(&subject(&text));
        let record = change(origin("w", sequence), &[(&text, basis, Value::Removed)]);
        assert!(matches!(
            apply(&mut state, record),
            Verdict::Accepted { .. }
        ));
    }
    bases.push(state.basis(&subject("host/h")));
    stale(&mut state, 3, 0);
    stale(&mut state, 4, 1);
    let image = state.export().unwrap();
    insta::assert_debug_snapshot!((bases, image.floor, image.values.len()));
}

/// Guards against an unbounded number of writers, and against a repeated record of a discarded writer that takes effect
/// twice.
#[test]
fn a_forgotten_writer_cannot_repeat_a_change() {
    let mut state = base();
    let record = change(origin("w", 1), &[("pool/a", 1, pool(4))]);
    apply(&mut state, record.clone());
    for number in 0..=WRITER_LIMIT {
        let writer = format!("writer{number}");
        apply(&mut state, change(origin(&writer, 1), &[]));
    }
    assert!(state.export().unwrap().writers.len() <= WRITER_LIMIT);
    let verdict = apply(&mut state, record);
    insta::assert_debug_snapshot!((
        verdict,
        state
            .get(&subject("pool/a"))
            .map(|revision| revision.offset)
    ));
}

/// Guards against applying a record after a gap that the log did not report, or a record that was applied before.
#[test]
fn a_gap_or_an_old_offset_changes_nothing() {
    let mut state = base();
    let record = change(origin("w", 1), &[("pool/a", 1, pool(4))]);
    assert_eq!(state.apply(1, Ok(record.clone())), Verdict::Old);
    assert_eq!(state.apply(3, Ok(record)), Verdict::Gap { next: 2 });
    assert_eq!((state.through(), state.version().0), (1, 1));
}

/// Guards against a race that both operators win or both lose. Two operators change overlapping subjects based on what
/// they last read, in seeded interleavings.
#[test]
fn of_two_racing_operators_exactly_one_wins() {
    for seed in 0..500 {
        let mut random = Random(seed);
        let mut state = base();
        let mut sequence = 0;
        for round in 0..20 {
            sequence += 1;
            let seen = state.basis(&subject("pool/a"));
            let mut records = vec![
                change(
                    origin("ann", sequence),
                    &[("pool/a", seen, pool(1 + round))],
                ),
                change(
                    origin("bob", sequence),
                    &[("pool/a", seen, pool(100 + round)), ("pool/b", 1, pool(8))],
                ),
            ];
            if random.below(2) == 0 {
                records.swap(0, 1);
            }
            // After a lost answer, an operator appends a second copy.
            if random.below(3) == 0 {
                let copy = records[random.below(2) as usize].clone();
                records.push(copy);
            }
            let verdicts: Vec<_> = records
                .into_iter()
                .map(|it| apply(&mut state, it))
                .collect();
            // Bob's change also names pool b, whose offset changes when his first change is accepted.
            let accepted = verdicts
                .iter()
                .filter(|it| matches!(it, Verdict::Accepted { .. }));
            let accepted = accepted.count();
            let first_wins = matches!(verdicts[0], Verdict::Accepted { .. });
            assert_eq!(accepted, 1, "seed {seed}, round {round}: {verdicts:?}");
            let later = state.basis(&subject("pool/b")) != 1;
            assert!(
                first_wins || later,
                "seed {seed}, round {round}: {verdicts:?}"
            );
        }
    }
}

/// Guards against conflicts between teams that change different subjects. 100 teams make 1,300 changes in a day, each
/// based on a state that is up to 50 records old.
#[test]
fn changes_of_different_teams_never_conflict() {
    for seed in 0..5 {
        let mut random = Random(seed);
        let mut state = base();
        let mut bases = vec![0; 100];
        let mut sequences = vec![0; 100];
        for _ in 0..26 {
            let mut order: Vec<usize> = (0..100).collect();
            for index in (1..100).rev() {
                order.swap(index, random.below(index as u64 + 1) as usize);
            }
            // Fifty teams read the same state, then append one after the other in any order.
            for team in order.into_iter().take(50) {
                sequences[team] += 1;
                let text = format!("customer/team{team}");
                let value = contract(100 + team as u8, &[("b", 1)]);
                let record = change(
                    origin(&format!("team{team}"), sequences[team]),
                    &[(&text, bases[team], value)],
                );
                let offset = state.next();
                let verdict = apply(&mut state, record);
                assert!(
                    matches!(verdict, Verdict::Accepted { .. }),
                    "seed {seed}, team {team}: {verdict:?}"
                );
                bases[team] = offset;
            }
        }
        assert_eq!(
            (state.through(), state.version().0),
            (1_301, 1_301),
            "seed {seed}"
        );
    }
}

/// Guards against records that are deleted before a snapshot is written, and against each of eight processes writing a
/// snapshot.
#[test]
fn snapshots_are_written_in_time_and_by_few() {
    let retention = Retention {
        records: 1_600,
        age: Duration::from_secs(160_000),
    };
    let schedules: Vec<_> = (0..8)
        .map(|seed| Schedule::new(retention, seed, Time::MIN))
        .collect();
    let mut state = base();
    let mut report = String::new();
    let mut written = 0;
    for second in (0..400_000).step_by(20) {
        let now = Time::from_millis(second * 1_000);
        if second % 400 == 0 {
            apply(&mut state, change(origin("w", second + 1), &[]));
        }
        let due: Vec<_> = schedules
            .iter()
            .filter(|it| it.is_due(&state, now))
            .collect();
        if due.is_empty() {
            continue;
        }
        written += 1;
        let through = state.through();
        writeln!(
            report,
            "at {second} s, through {through}: {} due",
            due.len()
        )
        .unwrap();
        let snapshot = state.snapshot(origin("entry", written), now).unwrap();
        apply(
            &mut state,
            sassafrascrank_ledger::Record::Snapshot(snapshot),
        );
    }
    insta::assert_snapshot!(report);
    assert_eq!(
        state
            .pools()
            .map(|(pool, ..)| pool.clone())
            .collect::<Vec<_>>(),
        [name("a"), name("b")]
    );
}
