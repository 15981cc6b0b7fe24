//! Bounds, retention, conflicts and handover of the table.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    key::Id,
    lease::{
        self,
        Lease, //
    },
    member::{
        Entry,
        Fold,
        Record, //
    },
    table::*, //
};

#[derive(Clone, Debug, Eq, PartialEq)]
struct Reply(usize);

impl Size for Reply {
    fn size(&self) -> usize {
        self.0
    }
}

const LIMIT: Limit = Limit {
    count: 40,
    bytes: 4_500,
    answer: 100,
    retention: Duration::from_secs(600),
};
const ME: Fingerprint = Fingerprint(1);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn id(created: u64, low: u64) -> Id {
    Id::from_bits(u128::from(created * 1_000) << 80 | u128::from(low))
}

fn begin(table: &mut Table<Reply>, now: u64, id: Id) -> Admission {
    table.begin(at(now), id, ME, ticket::Key::default(), || Ok(()))
}

fn run(table: &mut Table<Reply>, now: u64, id: Id) -> Slot {
    match begin(table, now, id) {
        Admission::Run(slot) => slot,
        other => panic!("{other:?}"),
    }
}

fn refused(begin: Admission) -> (Outcome, Reason) {
    match begin {
        Admission::Refuse(refusal) => (refusal.outcome, refusal.reason),
        other => panic!("{other:?}"),
    }
}

/// Guards against a repeat that runs, and a key that stays blocked after an attempt which did not run.
#[test]
fn repeats_get_what_is_known_of_the_first_request() {
    let mut table = Table::new(LIMIT);
    let (a, b, c) = (id(1_000, 1), id(1_000, 2), id(1_000, 3));
    let slot = run(&mut table, 1_000, a);
    assert_eq!(
        begin(&mut table, 1_000, a),
        Admission::Wait(ticket::Key::default())
    );
    assert!(table.finish(at(1_001), slot, Reply(7)));
    assert!(!table.lost(at(1_001), slot), "an attempt ends once");
    assert_eq!(begin(&mut table, 1_002, a), Admission::Replay(slot));
    assert_eq!(table.answer(slot), Some(&Reply(7)));
    let slot = run(&mut table, 1_000, b);
    assert!(table.not_run(slot));
    let slot = run(&mut table, 1_000, b);
    assert!(table.lost(at(1_001), slot));
    assert_eq!(
        refused(begin(&mut table, 1_002, b)),
        (Outcome::Unknown, Reason::ConnectionLost)
    );
    let slot = run(&mut table, 1_000, c);
    assert!(table.finish(at(1_001), slot, Reply(101)));
    assert_eq!(
        refused(begin(&mut table, 1_002, c)),
        (Outcome::Answered, Reason::AnswerDropped)
    );
    assert_eq!(table.bytes(), 7);
}

/// Guards against a refusal that tells one customer what became of another customer's request.
#[test]
fn another_fingerprint_gets_the_same_conflict_in_every_state() {
    let mut table = Table::new(LIMIT);
    let conflict = Admission::Refuse(Refusal::not_run(Reason::KeyConflict));
    let other = |table: &mut Table<Reply>, id| {
        table.begin(
            at(1_000),
            id,
            Fingerprint(2),
            ticket::Key::default(),
            || panic!("the key is known"),
        )
    };
    let slots: Vec<Slot> = (0..4)
        .map(|low| run(&mut table, 1_000, id(1_000, low)))
        .collect();
    table.finish(at(1_000), slots[1], Reply(1));
    table.finish(at(1_000), slots[2], Reply(101));
    table.lost(at(1_000), slots[3]);
    (0..4).for_each(|low| assert_eq!(other(&mut table, id(1_000, low)), conflict));
    assert_eq!(table.count().conflict, 4);
}

/// Guards against a key created ahead of the present, whose outcome would be dropped before the key is too old to run,
/// and against a clock that steps back after the drop.
#[test]
fn a_dropped_key_never_runs_again() {
    let mut table = Table::new(LIMIT);
    let early = id(1_005, 1);
    let slot = run(&mut table, 1_000, early);
    table.finish(at(1_001), slot, Reply(1));
    assert_eq!(begin(&mut table, 1_603, early), Admission::Replay(slot));
    assert_eq!(begin(&mut table, 1_605, early), Admission::Replay(slot));
    assert_eq!(
        refused(begin(&mut table, 1_606, early)),
        (Outcome::Unknown, Reason::KeyExpired)
    );
    assert_eq!(
        refused(begin(&mut table, 1_604, early)),
        (Outcome::Unknown, Reason::KeyExpired)
    );
    assert!(table.is_empty() && table.bytes() == 0);
}

/// Guards against early eviction, and against an answer that finds no room when it arrives.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_old_ones() {
    let mut table = Table::new(LIMIT);
    let slots: Vec<Slot> = (0..40)
        .map(|low| run(&mut table, 1_000, id(1_000, low)))
        .collect();
    let full = (Outcome::NotRun, Reason::KeyTableFull);
    assert_eq!(refused(begin(&mut table, 1_000, id(1_000, 40))), full);
    slots
        .iter()
        .for_each(|slot| assert!(table.finish(at(1_000), *slot, Reply(100))));
    assert_eq!(refused(begin(&mut table, 1_600, id(1_600, 40))), full);
    assert!(matches!(
        begin(&mut table, 1_600, id(1_000, 39)),
        Admission::Replay(_)
    ));
    run(&mut table, 1_601, id(1_600, 40));
    let mut table = Table::new(Limit {
        bytes: 250,
        ..LIMIT
    });
    run(&mut table, 1_000, id(1_000, 0));
    run(&mut table, 1_000, id(1_000, 1));
    assert_eq!(refused(begin(&mut table, 1_000, id(1_000, 2))), full);
    assert_eq!(table.count().full, 1);
}

fn lease(host: &str) -> Lease {
    let entry = Entry {
        host: Name::new(host).unwrap(),
        incarnation: 1,
    };
    Lease::new(
        entry,
        Name::new("suva").unwrap(),
        lease::Limit::DEFAULT,
        Fold::default(),
    )
}

fn read(lease: &mut Lease, now: u64, log: &[Record]) {
    let have = lease.view().offset as usize;
    for (offset, record) in (1..).zip(log).skip(have) {
        lease.apply(at(now), offset, record).unwrap();
    }
}

/// Guards against a planned stop that makes keys unknown, a handover before its record, a second one, one that does
/// not fit, and keys that the sender has forgotten but the receiver, whose clock is behind, would run.
#[test]
fn a_handover_moves_outcomes_and_lowers_the_fence_as_a_whole() {
    let (mut a, mut b, mut log) = (lease("a"), lease("b"), Vec::new());
    log.push(a.join("127.0.0.1:80".parse().unwrap()).unwrap());
    read(&mut a, 100, &log);
    log.push(b.join("127.0.0.1:80".parse().unwrap()).unwrap());
    read(&mut a, 100, &log);
    read(&mut b, 100, &log);
    let (mut old, mut new) = (Table::new(LIMIT), Table::new(LIMIT));
    let join = old.export(&a, b.me()).unwrap();
    assert!(b.accept_join_ack(at(100), &a.acknowledge_join(b.me()).unwrap()));
    new.accept(at(100), &mut b, join).unwrap();
    assert!(
        (0..9).all(|low| b.fence(id(0, low).hash()) == Time::MIN),
        "the joined entry needs no fence"
    );
    let slots: Vec<Slot> = (0..40)
        .map(|low| run(&mut old, 1_000, id(1_000, low)))
        .collect();
    slots[1..]
        .iter()
        .for_each(|slot| assert!(old.finish(at(1_000), *slot, Reply(9))));
    log.push(a.leave().unwrap());
    read(&mut a, 1_001, &log);
    let handover = old.export(&a, b.me()).unwrap();
    assert_eq!((handover.items.len(), handover.floor), (40, at(400)));
    assert_eq!(
        handover.items[0].state,
        RequestState::Lost,
        "a running attempt may have run"
    );
    assert_eq!(
        new.accept(at(1_001), &mut b, handover.clone()),
        Err(Error::Unread)
    );
    read(&mut b, 1_001, &log);
    let moved = (0..40)
        .map(|low| id(1_000, low).hash())
        .find(|hash| b.fence(*hash) > Time::MIN)
        .unwrap();
    assert_eq!(b.fence(moved), at(1_007));
    let mut small = Table::new(Limit { count: 39, ..LIMIT });
    assert_eq!(
        small.accept(at(1_001), &mut b, handover.clone()),
        Err(Error::Full)
    );
    assert!(small.is_empty() && b.fence(moved) == at(1_007));
    assert_eq!(new.accept(at(1_000), &mut b, handover.clone()), Ok(40));
    assert_eq!(b.fence(moved), at(400));
    assert!(old.finish(at(1_002), slots[0], Reply(9)));
    let again = old.export(&a, b.me()).unwrap();
    assert_eq!(new.accept(at(1_002), &mut b, again), Ok(0));
    assert_eq!(new.accept(at(1_002), &mut b, handover), Ok(0));
    assert!(
        (0..40).all(|low| matches!(begin(&mut new, 1_003, id(1_000, low)), Admission::Replay(_)))
    );
    assert_eq!(new.bytes(), 360);
}

/// Guards against a handover that follows a later view than the departure: the receiver, which may not know that view,
/// would take a key that went elsewhere for one that never ran.
#[test]
fn a_departed_entry_hands_over_by_the_zone_at_its_departure() {
    let (mut a, mut b, mut c) = (lease("a"), lease("b"), lease("c"));
    let address = "127.0.0.1:80".parse().unwrap();
    let mut log = vec![a.join(address).unwrap(), b.join(address).unwrap()];
    read(&mut a, 100, &log);
    let mut old = Table::new(LIMIT);
    for low in 0..40 {
        let slot = run(&mut old, 1_000, id(1_000, low));
        assert!(old.finish(at(1_000), slot, Reply(9)));
    }
    log.push(a.leave().unwrap());
    log.push(c.join(address).unwrap());
    read(&mut a, 1_001, &log);
    assert_eq!(old.export(&a, b.me()).unwrap().items.len(), 40);
    assert_eq!(old.export(&a, c.me()), None);
}
