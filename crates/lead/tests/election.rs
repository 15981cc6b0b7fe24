//! When entries that read the same log claim the lead.

use sassafrascrank_base::{
    epoch,
    prelude::*, //
};
use sassafrascrank_lead::{
    Election, Timing,
    election::{
        Claim,
        Observation,
        Rank,
        Writer, //
    },
};
use std::fmt::Write;

const START: Time = Time::from_millis(1_000_000);
/// Time between two reads of the log.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the epoch of the claim with this number.
fn claimed(number: u64) -> u64 {
    (1..number).fold(epoch::next(None, 0), |latest, _| {
        epoch::next(Some(latest), 0)
    })
}

fn record(epoch: u64, capacity: u32) -> Observation {
    Observation {
        epoch,
        capacity,
        resigned: false,
        behind: false,
        writer: Writer::Other,
    }
}

/// Returns the milliseconds after which an entry with `capacity` claims the lead. It observes `leader` at each read
/// until `silent_after`.
fn first_claim(capacity: u32, leader: Option<Observation>, silent_after: Duration) -> Option<u128> {
    let mut election = Election::new(Timing::default(), 0, capacity, START);
    let mut now = START;
    while now < START + Duration::from_secs(10) {
        election.record_read(true, now, now);
        if let Some(leader) = leader
            && now < START + silent_after
        {
            election.observe(leader, now);
        }
        if let Claim::Append(_) = election.claim(Rank::Unknown, now) {
            return Some(now.since(START).as_millis());
        }
        now = now + READ_INTERVAL;
    }
    None
}

/// Returns the milliseconds from the death of a leader to the claim of an entry whose reads take `read`; 0 if the claim
/// comes before. `behind` tells whether the last records of the leader say that it is behind the log.
fn claim_after_death(behind: bool, read: Duration) -> Option<u128> {
    let death = START + Duration::from_secs(5);
    let mut election = Election::new(Timing::default(), 0, 250, START);
    let (mut now, mut started) = (START, START);
    while now < death + Duration::from_secs(35) {
        let length = if now < START + Duration::from_secs(2) {
            READ_INTERVAL
        } else {
            read
        };
        if now >= started + length {
            election.record_read(true, started, now);
            started = now;
            if now < death {
                let leader = Observation {
                    behind: behind && now >= START + Duration::from_secs(4),
                    ..record(claimed(1), 250)
                };
                election.observe(leader, now);
            }
        }
        if let Claim::Append(_) = election.claim(Rank::Unknown, now) {
            assert!(behind || now >= death, "the leader was alive");
            return Some(now.since(death).as_millis());
        }
        now = now + Duration::from_millis(10);
    }
    None
}

/// Guards against a dead leader that nobody replaces, and whose runs all lapse, because reads of the log are slow.
#[test]
fn dead_leader_is_replaced_while_reads_are_slow() {
    let mut table = String::new();
    for millis in [600, 1_500, 2_100, 3_000] {
        for behind in [false, true] {
            let claim = claim_after_death(behind, Duration::from_millis(millis));
            assert!(claim.is_some(), "reads take {millis} ms, behind {behind}");
            writeln!(
                table,
                "reads take {millis} ms, behind {behind}: claims after {claim:?} ms"
            )
            .expect("text can be written");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a leader that keeps the role although it lacks processor capacity, against entries of the same size
/// that take the role from each other, and against a small entry that leads first although larger ones exist.
#[test]
fn larger_entries_lead() {
    let forever = Duration::MAX;
    let brief = Duration::from_secs(1);
    let mut table = String::new();
    for (name, capacity, leader, silent_after) in [
        ("first start, small", 120, None, forever),
        ("first start, large", 500, None, forever),
        (
            "small leader, large entry",
            500,
            Some(record(claimed(1), 120)),
            forever,
        ),
        (
            "large leader, small entry",
            120,
            Some(record(claimed(1), 500)),
            forever,
        ),
        (
            "leader of the same size",
            250,
            Some(record(claimed(1), 250)),
            forever,
        ),
        (
            "leader of unknown size",
            250,
            Some(record(claimed(1), 0)),
            forever,
        ),
        (
            "silent leader of the same size",
            250,
            Some(record(claimed(1), 250)),
            brief,
        ),
    ] {
        let after = first_claim(capacity, leader, silent_after);
        writeln!(table, "{name}: {after:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against entries that take the role from each other again and again: a leader that was replaced by a larger
/// entry must not claim while that entry leads.
#[test]
fn replaced_leader_stays_follower() {
    let mut small = Election::new(Timing::default(), 0, 120, START);
    small.record_read(true, START, START);
    let now = START + Duration::from_millis(900);
    small.record_read(true, now, now);
    assert_eq!(small.claim(Rank::Unknown, now), Claim::Refresh);
    let now = now + READ_INTERVAL;
    let Claim::Append(epoch) = small.claim(Rank::Unknown, now) else {
        panic!("nobody else claims");
    };
    small.claim_confirmed(epoch, START);
    assert!(small.observe(record(claimed(2), 500), START + READ_INTERVAL));
    for step in 1..200 {
        let now = now + READ_INTERVAL * step;
        small.record_read(true, now, now);
        small.observe(record(claimed(2), 500), now);
        assert_eq!(
            small.claim(Rank::Unknown, now),
            Claim::Wait,
            "after {step} reads"
        );
    }
}

/// Guards against an entry that claims although another one has just done so and takes the role from it at once. The
/// read that is requested before a claim shows the other claim.
#[test]
fn log_is_read_once_more_before_a_claim() {
    let mut election = Election::new(Timing::default(), 0, 250, START);
    let resigned = Observation {
        resigned: true,
        ..record(claimed(1), 250)
    };
    election.record_read(true, START, START);
    election.observe(resigned, START);
    assert_eq!(election.claim(Rank::Unknown, START), Claim::Refresh);
    election.observe(record(claimed(2), 250), START + READ_INTERVAL / 5);
    election.record_read(true, START, START + READ_INTERVAL / 5);
    assert_eq!(
        election.claim(Rank::Unknown, START + READ_INTERVAL),
        Claim::Wait
    );
}

/// Guards against followers that wait longer than needed after an outage of the log, because they take records from
/// before the outage, which they read after it, as proof that the leader is alive.
#[test]
fn records_from_before_an_outage_do_not_prove_a_live_leader() {
    let mut election = Election::new(Timing::default(), 0, 250, START);
    election.record_read(true, START, START);
    election.observe(record(claimed(1), 250), START);
    let back = START + Duration::from_secs(6);
    election.observe(record(claimed(1), 250), back);
    let mut now = back;
    let mut claim = Claim::Wait;
    while !matches!(claim, Claim::Append(_)) {
        election.record_read(true, now, now);
        claim = election.claim(Rank::Unknown, now);
        now = now + READ_INTERVAL;
    }
    assert!(
        now.since(back) < Timing::default().election_timeout,
        "{:?}",
        now.since(back)
    );
}

/// Guards against an entry that claims again and again after a rejected claim, while it has not read the record of the
/// entry with the higher epoch yet. This happens when the log is slow.
#[test]
fn rejected_claim_is_not_repeated_at_once() {
    let resigned = Observation {
        resigned: true,
        ..record(claimed(1), 250)
    };
    let earlier_incarnation = Observation {
        writer: Writer::EarlierIncarnation,
        ..record(claimed(1), 250)
    };
    let mut table = String::new();
    for (name, leader) in [
        ("after a resignation", resigned),
        ("after a restart", earlier_incarnation),
        ("much smaller leader", record(claimed(1), 60)),
    ] {
        let mut election = Election::new(Timing::default(), 0, 250, START);
        let mut now = START;
        let mut claims = Vec::new();
        while now < START + Duration::from_secs(4) {
            election.record_read(true, now, now);
            if now == START {
                election.observe(leader, now);
            }
            if let Claim::Append(_) = election.claim(Rank::Unknown, now) {
                claims.push(now.since(START).as_millis());
                election.step_down(now);
            }
            now = now + READ_INTERVAL;
        }
        writeln!(table, "{name}: claims at {claims:?} ms").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against an entry that keeps a claim whose epoch another process holds, and against one that then waits for a
/// higher epoch, although the other process has resigned.
#[test]
fn claim_is_lost_to_another_process_with_the_same_epoch() {
    let mut table = String::new();
    for (name, writer, resigned) in [
        ("own record", Writer::Own, false),
        ("unknown writer", Writer::Unknown, false),
        ("other entry", Writer::Other, false),
        ("other entry that resigns", Writer::Other, true),
        ("earlier incarnation", Writer::EarlierIncarnation, false),
    ] {
        let mut election = Election::new(Timing::default(), 1 << 63, 1_000, START);
        let mut now = START;
        let mut claims = Vec::new();
        let mut lost = None;
        while now < START + Duration::from_secs(4) {
            election.record_read(true, now, now);
            if let Claim::Append(epoch) = election.claim(Rank::Unknown, now) {
                claims.push((epoch::round(epoch), now.since(START).as_millis()));
                if lost.is_none() {
                    let same = Observation {
                        writer,
                        resigned,
                        behind: false,
                        ..record(epoch, 1_000)
                    };
                    lost = Some(election.observe(same, now));
                }
            }
            now = now + READ_INTERVAL;
        }
        let lost = lost.unwrap();
        writeln!(table, "{name}: lost {lost}, claims (round, ms) {claims:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a takeover that takes longer than the 3 s for which a job may stand, because a read failed meanwhile: the
/// log has closed its connections, and the next read succeeds.
#[test]
fn failed_read_does_not_delay_a_claim() {
    let rank = Rank::Known {
        delay: Duration::ZERO,
        settle: Duration::ZERO,
    };
    let mut table = String::new();
    for (name, fails_every, silent_at) in [
        ("no failure", u128::MAX, 1_000),
        ("a failure in 2.4 s", 2_400, 1_000),
        ("a failure in 1.2 s", 1_200, 1_000),
        ("a failure when the claim is due", 2_500, 1_000),
    ] {
        let mut election = Election::new(Timing::default(), 0, 1_000, START);
        let mut now = START;
        let claimed = loop {
            let after = now.since(START).as_millis();
            let succeeds = after == 0 || !after.is_multiple_of(fails_every);
            election.record_read(succeeds, now, now);
            if after <= silent_at {
                election.observe(record(claimed(1), 1_000), now);
            }
            if let Claim::Append(_) = election.claim(rank, now) {
                break after - silent_at;
            }
            now = now + READ_INTERVAL;
        };
        writeln!(table, "{name}: claims after {claimed} ms").unwrap();
    }
    insta::assert_snapshot!(table);
}
