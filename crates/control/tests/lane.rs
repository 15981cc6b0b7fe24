//! Appends over several connections, in the virtual time of the runtime.

use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    clock::Clock,
    port::{
        AppendError,
        Item,
        Log,
        OperatorRecord,
        Page,
        Producer,
        ReadError,
        Topic, //
    },
    store::Lane,
};
use sassafrascrank_schedule::runner::Change;
use std::{
    cell::RefCell,
    collections::VecDeque,
    fmt::Write,
    rc::Rc, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// What becomes of one try.
#[derive(Clone, Copy)]
enum Fate {
    /// It is answered after so many milliseconds.
    Stored(u64),
    /// Its answer is lost.
    Lost,
    /// Nothing is done.
    Refused,
}

/// A log whose tries end as a script says.
struct Script(Rc<RefCell<VecDeque<Fate>>>);

impl Log for Script {
    async fn newest(&mut self, _: Topic) -> Result<Page, ReadError> {
        Ok(Page::default())
    }

    async fn read(&mut self, _: Topic, _: u64, _: Duration) -> Result<Page, ReadError> {
        Ok(Page::default())
    }

    async fn append(
        &mut self,
        _: &Producer,
        _: &[(String, Vec<u8>)],
        timeout: Duration,
    ) -> Result<u64, AppendError> {
        let fate = self.0.borrow_mut().pop_front().unwrap_or(Fate::Lost);
        match fate {
            Fate::Stored(after) => {
                sleep(Duration::from_millis(after)).await;
                Ok(0)
            }
            Fate::Lost => {
                sleep(timeout).await;
                Err(AppendError::Unknown("no answer".to_owned()))
            }
            Fate::Refused => Err(AppendError::Refused("busy".to_owned())),
        }
    }

    async fn announce(&mut self, _: u64, _: bool) -> Result<(), AppendError> {
        Ok(())
    }

    fn operator_record(_: &Item) -> Result<Option<OperatorRecord>, String> {
        Ok(None)
    }

    fn runner(_: &Item) -> Result<Change, String> {
        Err("there is none".to_owned())
    }
}

/// Guards against a lost answer that holds up all decisions until a timeout, against a refusal that is reported although
/// another try may have been stored, and against tries that a slow log gets on top of each other.
#[tokio::test(start_paused = true)]
async fn append_is_sent_on_further_connections_until_one_answers() {
    use Fate::{
        Lost,
        Refused,
        Stored, //
    };
    let cases: [(&str, &[Fate]); 6] = [
        ("answered", &[Stored(10)]),
        ("one answer lost", &[Lost, Stored(10)]),
        ("three answers lost", &[Lost, Lost, Lost, Stored(10)]),
        (
            "slow",
            &[Stored(360), Stored(360), Stored(360), Stored(360)],
        ),
        ("refused", &[Refused]),
        ("lost, then refused", &[Lost, Refused, Refused, Refused]),
    ];
    let mut report = String::new();
    for (name, fates) in cases {
        let script = Rc::new(RefCell::new(fates.iter().copied().collect::<VecDeque<_>>()));
        let mut lane = Lane::new(|| Script(Rc::clone(&script)), Clock::new());
        let producer = Producer {
            name: "entry".into(),
            epoch: 1,
            sequence: 0,
        };
        let began = Instant::now();
        let result = lane.append(&producer, &[]).await;
        let tries = fates.len() - script.borrow().len();
        writeln!(
            report,
            "{name}: {result:?} after {:?}, {tries} tries",
            began.elapsed()
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}
