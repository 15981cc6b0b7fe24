//! Publication through a log in memory, in virtual time and with seeded interleavings.

use core::time::Duration;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::document::Document;
use sassafrascrank_ledger::{
    Entry,
    State,
    Status, //
};
use sassafrascrank_platform::{
    Error, Item, Log, Page, Stream,
    follow::catch_up,
    publish::{
        self,
        Outcome,
        publish,
        publish_entries, //
    },
};
use std::sync::{
    Arc,
    Mutex, //
};

const TIME_LIMIT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Shared {
    records: Vec<Box<str>>,
    random: u64,
    first: u64,
    /// Percentage of appends whose response is lost.
    lost_percent: u64,
    down: bool,
    /// Reads fail once this many records exist.
    unreadable_from: Option<usize>,
}

impl Shared {
    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// A log in memory, whose calls yield to the runtime a random number of times.
#[derive(Clone, Default)]
struct MemoryLog(Arc<Mutex<Shared>>);

impl MemoryLog {
    fn new(seed: u64, lost_percent: u64) -> Self {
        Self(Arc::new(Mutex::new(Shared {
            random: seed,
            first: 1,
            lost_percent,
            ..Shared::default()
        })))
    }

    async fn wait(&self) {
        let turns = self.0.lock().unwrap().draw(4);
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }
}

fn unavailable(sent: bool) -> Error {
    Error::Unavailable {
        sent,
        reason: "test".to_owned(),
    }
}

impl Log for MemoryLog {
    async fn append(&mut self, _: Stream, body: &str) -> Result<u64, Error> {
        self.wait().await;
        let offset = {
            let mut shared = self.0.lock().unwrap();
            if shared.down {
                return Err(unavailable(false));
            }
            let lost = shared.draw(100) < shared.lost_percent;
            if lost && shared.draw(2) == 0 {
                return Err(unavailable(true));
            }
            shared.records.push(body.into());
            if lost {
                return Err(unavailable(true));
            }
            shared.records.len() as u64
        };
        self.wait().await;
        Ok(offset)
    }

    async fn read(&mut self, _: Stream, from: u64, limit: usize) -> Result<Page, Error> {
        self.wait().await;
        let shared = self.0.lock().unwrap();
        let unreadable = shared
            .unreadable_from
            .is_some_and(|count| shared.records.len() >= count);
        if shared.down || unreadable {
            return Err(unavailable(true));
        }
        if from < shared.first {
            return Err(Error::Expired {
                first: shared.first,
            });
        }
        let records = (1..)
            .zip(&shared.records)
            .skip(from as usize - 1)
            .take(limit);
        Ok(Page {
            first: shared.first,
            end: shared.records.len() as u64,
            records: records
                .map(|(offset, body)| Item {
                    offset,
                    body: body.clone(),
                })
                .collect(),
        })
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn document(text: &str) -> Document {
    Document::parse(text).unwrap()
}

/// Guards against a race that both operators win or both lose, also when responses are lost, and against a result that
/// does not match what happened.
#[tokio::test(start_paused = true)]
async fn exactly_one_of_two_racing_operators_succeeds() {
    let (mut raced, mut ann_won) = (0, 0);
    for seed in 0..300 {
        let log = MemoryLog::new(seed, 30);
        let (mut one, mut two, mut reader) = (log.clone(), log.clone(), log);
        let ann = document(r#"{"pools": {"a": {"slots": 1}, "b": {"slots": 1}}}"#);
        let bob = document(r#"{"pools": {"b": {"slots": 2}, "c": {"slots": 2}}}"#);
        let (ann, bob) = tokio::join!(
            publish(&mut one, &ann, name("ann"), 1, TIME_LIMIT),
            publish(&mut two, &bob, name("bob"), 1, TIME_LIMIT),
        );
        let mut state = State::new(1);
        catch_up(&mut reader, &mut state).await.unwrap();
        let slots: Vec<u32> = state.pools().map(|(.., pool)| pool.slots).collect();
        let at = format!("seed {seed}: {ann:?}, {bob:?}, slots {slots:?}");
        match (ann.unwrap(), bob.unwrap()) {
            (Outcome::Accepted { .. }, Outcome::Stale { by, .. }) => {
                assert_eq!((by, slots), (Some(name("ann")), vec![1, 1]), "{at}");
                (raced, ann_won) = (raced + 1, ann_won + 1);
            }
            (Outcome::Stale { by, .. }, Outcome::Accepted { .. }) => {
                assert_eq!((by, slots), (Some(name("bob")), vec![2, 2]), "{at}");
                raced += 1;
            }
            // One of them read the other's change before it published its own.
            (Outcome::Accepted { offset: first, .. }, Outcome::Accepted { offset: second, .. }) => {
                let expected = if first < second { [1, 2, 2] } else { [1, 1, 2] };
                assert_eq!(slots, expected, "{at}");
            }
            _ => panic!("{at}"),
        }
    }
    // The interleavings must include races that each of the two operators wins.
    assert!(
        raced > 30 && ann_won > 10 && ann_won < raced,
        "{raced} races, ann won {ann_won}"
    );
}

/// Guards against a result that says that a change is in force although it is not, or that nothing was published
/// although the record may be in the log.
#[tokio::test(start_paused = true)]
async fn result_matches_the_effect_of_the_publication() {
    let mut results = Vec::new();
    let good = document(r#"{"pools": {"a": {}}}"#);
    let mut log = MemoryLog::new(1, 0);
    results.push(publish(&mut log, &document("{}"), name("ops"), 1, TIME_LIMIT).await);
    results.push(publish(&mut log, &good, name("ops"), 2, TIME_LIMIT).await);
    let unknown_pool = document(r#"{"hosts": {"h": {"pool": "z"}}}"#);
    results.push(publish(&mut log, &unknown_pool, name("ops"), 3, TIME_LIMIT).await);
    log.0.lock().unwrap().unreadable_from = Some(3);
    results.push(publish(&mut log, &good, name("ops"), 4, TIME_LIMIT).await);
    log.0.lock().unwrap().down = true;
    results.push(publish(&mut log, &good, name("ops"), 5, TIME_LIMIT).await);
    let mut expired = MemoryLog::new(1, 0);
    expired.0.lock().unwrap().first = 2;
    expired.0.lock().unwrap().records.push("{}".into());
    results.push(publish(&mut expired, &good, name("ops"), 6, TIME_LIMIT).await);
    let lines: Vec<String> = results
        .iter()
        .map(|result| match result {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => format!("error: {error}"),
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a decision that takes effect although a value that it is based on has changed since.
#[tokio::test(start_paused = true)]
async fn entries_with_an_outdated_basis_are_stale() {
    let mut log = MemoryLog::new(1, 0);
    let pool = document(r#"{"pools": {"a": {}}}"#);
    let (subject, value) = pool.values.first_key_value().unwrap();
    let entry = |basis| Entry {
        subject: subject.clone(),
        basis,
        value: value.clone(),
    };
    let mut results = Vec::new();
    let cases = [
        (1, vec![]),
        (2, vec![entry(0)]),
        (3, vec![entry(0)]),
        (4, vec![entry(1)]),
    ];
    for (incarnation, entries) in cases {
        let published = publish_entries(&mut log, entries, name("ops"), incarnation, TIME_LIMIT);
        results.push(format!("{:?}", published.await));
    }
    insta::assert_snapshot!(results.join("\n"));
}

/// Guards against a publisher that reports that nothing was published, or does not search the log for its record, when
/// every response is lost. The seeds decide which appends take effect.
#[tokio::test(start_paused = true)]
async fn record_whose_responses_are_all_lost_is_found() {
    for seed in 0..50 {
        let mut log = MemoryLog::new(seed, 100);
        let good = document(r#"{"pools": {"a": {}}}"#);
        let result = publish(&mut log, &good, name("ops"), 1, TIME_LIMIT).await;
        assert!(
            matches!(result, Ok(Outcome::Accepted { .. })),
            "seed {seed}: {result:?}"
        );
    }
}

/// Guards against the outcome "unknown" although no append was sent, when the log fails after it was read.
#[tokio::test(start_paused = true)]
async fn append_that_is_never_sent_is_an_error() {
    struct ReadOnly(MemoryLog);
    impl Log for ReadOnly {
        async fn append(&mut self, _: Stream, _: &str) -> Result<u64, Error> {
            Err(unavailable(false))
        }
        async fn read(&mut self, stream: Stream, from: u64, limit: usize) -> Result<Page, Error> {
            self.0.read(stream, from, limit).await
        }
    }
    let mut log = ReadOnly(MemoryLog::new(1, 0));
    let good = document(r#"{"pools": {"a": {}}}"#);
    let result = publish(&mut log, &good, name("ops"), 1, TIME_LIMIT).await;
    assert_eq!(result, Err(publish::Error::Log(unavailable(false))));
    let mut state = State::new(1);
    catch_up(&mut log, &mut state).await.unwrap();
    assert_eq!((state.status(), state.through()), (Status::Complete, 0));
}
