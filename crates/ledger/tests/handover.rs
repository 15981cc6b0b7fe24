//! Snapshots, deleted records and states taken over from peers.

mod common;

use common::{
    Random,
    apply,
    apply_log,
    assignment,
    change,
    contract,
    digest,
    origin,
    pool,
    random_log, //
};
use sassafrascrank_base::time::Time;
use sassafrascrank_ledger::{
    Error,
    Image,
    Record,
    State,
    Status,
    Verdict, //
};

/// Guards against a process that starts from a snapshot and reaches another state than one that reads the whole stream.
#[test]
fn a_snapshot_and_the_tail_equal_the_fold_from_the_start() {
    let mut adopted = 0;
    for seed in 0..200 {
        let log = random_log(seed, 200);
        let mut whole = State::new(1);
        apply_log(&mut whole, &log, 1);
        let first = 2 + Random(seed).below(150);
        let mut fresh = State::new(first);
        apply_log(&mut fresh, &log, first);
        if fresh.status() == Status::Complete {
            adopted += 1;
            assert_eq!(digest(&fresh), digest(&whole), "seed {seed}, first {first}");
            assert_eq!(
                fresh.version(),
                whole.version(),
                "seed {seed}, first {first}"
            );
        }
    }
    // Nearly every log has a usable snapshot after its first retained record.
    assert!(adopted > 150, "{adopted} of 200 logs had a usable snapshot");
}

/// Guards against readers that reach different results for the same record.
#[test]
fn readers_of_one_log_reach_the_same_verdicts() {
    let mut lines = Vec::new();
    for seed in 0..3 {
        let log = random_log(seed, 60);
        let mut states = [State::new(1), State::new(1)];
        for record in log {
            let [one, two] = &mut states;
            let verdict = apply(one, record.clone());
            assert_eq!(apply(two, record), verdict, "seed {seed}");
            let verdict = format!("{verdict:?}");
            let kind = verdict
                .split([' ', '('])
                .next()
                .unwrap_or_default()
                .to_owned();
            lines.push(format!("seed {seed}, offset {}: {kind}", one.through()));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a process that serves a partial configuration when the log has deleted old records and contains no
/// snapshot.
#[test]
fn an_expired_log_without_snapshot_is_incomplete() {
    let mut state = State::new(5);
    let verdict = apply(
        &mut state,
        change(origin("w", 1), &[("pool/a", 0, pool(4))]),
    );
    assert_eq!(verdict, Verdict::Pending);
    assert_eq!(state.status(), Status::Incomplete);
    assert_eq!(state.export(), None);
    assert_eq!(state.snapshot(origin("w", 2), Time::MIN), None);
    assert_eq!(state.pools().count(), 0);
}

/// Guards against adopting a snapshot that ends before the first retained record, which would skip the records between.
#[test]
fn a_snapshot_with_a_gap_before_the_log_is_not_adopted() {
    let log = random_log(3, 40);
    let mut writer = State::new(1);
    apply_log(&mut writer, &log[..10], 1);
    let snapshot = Record::Snapshot(writer.snapshot(origin("entry", 1), Time::MIN).unwrap());
    for (first, adopted) in [(11, true), (12, false)] {
        let mut state = State::new(first);
        let verdict = state.apply(first, Ok(snapshot.clone()));
        assert_eq!(verdict, Verdict::Snapshot { adopted }, "first {first}");
        assert_eq!(state.status() == Status::Complete, adopted, "first {first}");
    }
}

/// Guards against a return to an older configuration. Older and newer states of peers arrive in any order, as after a
/// partition, processes start at different offsets, and the log deletes old records.
#[test]
fn the_configuration_never_goes_back() {
    for seed in 0..200 {
        let mut random = Random(seed);
        let log = random_log(seed, 120);
        let mut images: Vec<Image> = Vec::new();
        let mut writer = State::new(1);
        let mut digests = vec![digest(&writer)];
        for (index, record) in log.iter().enumerate() {
            apply(&mut writer, record.clone());
            digests.push(digest(&writer));
            if index % 10 == 9 {
                images.push(writer.export().unwrap());
            }
        }
        let mut state = State::new(1 + random.below(2) * 30);
        let mut through = 0;
        let mut version = state.version();
        for step in 0..150 {
            let at = format!("seed {seed}, step {step}");
            match random.below(10) {
                0 => {
                    let image = images[random.below(images.len() as u64) as usize].clone();
                    let newer = image.through > state.through();
                    assert_eq!(state.import(image), Ok(newer), "{at}");
                }
                1 => state.expire(random.below(120) + 1),
                _ => {
                    let next = state.next();
                    if let Some(record) = log.get(next as usize - 1) {
                        state.apply(next, Ok(record.clone()));
                    }
                }
            }
            assert!(
                state.through() >= through,
                "{at}: through {}",
                state.through()
            );
            assert!(state.version() >= version, "{at}: {:?}", state.version());
            (through, version) = (state.through(), state.version());
            if through > 0 {
                let whole = digests[through as usize];
                assert_eq!(digest(&state), whole, "{at}: through {through}");
            }
        }
    }
}

/// Guards against adopting an inconsistent state from a peer or a snapshot.
#[test]
fn a_contradicting_image_is_refused() {
    let mut state = State::new(1);
    let entries = [
        ("pool/a", 0, pool(8)),
        ("customer/c", 0, contract(1, &[("a", 60)])),
        ("host/h", 0, assignment("a")),
    ];
    apply(&mut state, change(origin("w", 1), &entries));
    let good = state.export().unwrap();
    let mut bad: Vec<(&str, Image)> = Vec::new();
    let mut image = good.clone();
    image
        .values
        .retain(|(subject, _)| !subject.to_string().starts_with("pool/"));
    bad.push(("pool missing", image));
    let mut image = good.clone();
    image.values.push(image.values[0].clone());
    bad.push(("subject twice", image));
    let mut image = good.clone();
    image.values[0].1.offset = 2;
    bad.push(("value after through", image));
    let mut image = good.clone();
    image.floor = 9;
    bad.push(("floor after through", image));
    let mut image = good;
    image.writers[0].offset = 9;
    bad.push(("writer after through", image));
    let mut messages: Vec<String> = Vec::new();
    for (case, image) in bad {
        let mut fresh = State::new(3);
        let error: Error = fresh.import(image).expect_err(case);
        messages.push(format!("{case}: {error}"));
        assert_eq!(fresh.status(), Status::Incomplete, "{case}");
    }
    insta::assert_snapshot!(messages.join("\n"));
}
