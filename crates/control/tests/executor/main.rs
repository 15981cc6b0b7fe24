//! Orders of a leader that another entry carries out, over loopback connections.

mod entry;

use core::net::SocketAddr;
use entry::{
    Entry,
    Polled,
    Starts,
    entry,
    entry_with, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::drive::Request;
use sassafrascrank_job::{
    Id,
    Job,
    Policy,
    Resource,
    Step, //
};
use sassafrascrank_schedule::{
    Config, Engine, Rules,
    engine::{
        Permission,
        Takeover, //
    },
    order::{
        self, Envelope,
        report::{
            self,
            Failure,
            Report,
            View, //
        },
    },
    runner::{
        Change,
        Listed, //
    },
};
use std::{
    collections::HashMap,
    fmt::Write,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    runtime::Builder,
    time::sleep, //
};

/// Epoch of the leader.
const EPOCH: u64 = 3;
/// Longest wait for an expected condition.
const LIMIT: Duration = Duration::from_secs(30);
const RUNNERS: usize = 20;

fn count(polled: &Polled) -> usize {
    polled.lock().unwrap().len()
}

const NOW: Time = Time::from_millis(1_700_000_000_000);

/// Returns a scheduler that has just begun to lead.
fn engine() -> Engine {
    let now = NOW;
    let takeover = Takeover {
        epoch: EPOCH,
        runs_until: Time::MIN,
        observed: Time::MIN,
        hosts: HashMap::new(),
        leases: HashMap::new(),
    };
    let mut engine = Engine::new(Rules::default(), takeover, &Config::default(), now);
    for index in 0..RUNNERS {
        let listed = Listed {
            id: format!("r{index}").as_str().into(),
            incarnation: 1,
            host: format!("host-{index}").as_str().into(),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".into(),
            labels: Box::default(),
            rack: "rack".into(),
            capacity: Resource::default(),
            draining: None,
            clock: None,
        };
        engine.update_runner(Change::Set(listed), now);
    }
    engine
}

/// Returns the polls of a scheduler that has just begun to lead.
fn polls() -> Vec<Envelope<order::Order>> {
    let mut engine = engine();
    engine.tick(Permission::Start, NOW, NOW);
    let orders = engine.take_orders().into_iter();
    let polls = orders.filter(|order| matches!(order.content(), order::Order::Poll(_)));
    polls.collect()
}

/// Lets the leader poll all runners, waits for the reports, and returns their number.
async fn poll_all(leader: &mut Entry) -> usize {
    let polls = polls();
    let (count, mut reports) = (polls.len(), 0);
    for poll in polls {
        assert!(leader.requests.send(Request::Order(poll)).is_ok());
    }
    wait_until("the polls are reported", || {
        while leader.reports.try_recv().is_some() {
            reports += 1;
        }
        reports == count
    })
    .await;
    count
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !condition() {
        assert!(began.elapsed() < LIMIT, "timed out: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against orders that are lost because the entry that carries them out has ended, and against orders that the
/// leader carries out although an executor does.
#[test]
fn orders_are_carried_out_although_an_executor_ends() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut leader, executor) = (entry(), entry());
        let delegate = Request::Delegate(vec![executor.executor.clone()]);
        assert!(leader.requests.send(delegate).is_ok());
        // Until the connection is open, the leader calls runners itself.
        let mut sent = 0;
        while count(&executor.polled) == 0 {
            sent += poll_all(&mut leader).await;
        }
        let own = count(&leader.polled);
        sent += poll_all(&mut leader).await;
        assert_eq!(
            count(&leader.polled),
            own,
            "the leader polls beside its executor"
        );
        executor.end.send(()).expect("the executor runs");
        sent += poll_all(&mut leader).await;
        let total = count(&leader.polled) + count(&executor.polled);
        assert!(total >= sent, "{total} of {sent} polls were carried out");
    });
}

/// Guards against an executor that is ended by what is no message, and against one that carries out orders for a leader
/// that it can't understand.
#[test]
fn malformed_message_ends_only_its_connection() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut leader, executor) = (entry(), entry());
        let messages: [&[u8]; 3] = [
            &[0xff, 0xff, 0xff, 0xff, 1, 2, 3],
            &[0, 0, 0, 3, 0xc1, 0xc1, 0xc1],
            b"GET / HTTP/1.1\r\n\r\n",
        ];
        for message in messages {
            let stream = tokio::net::TcpStream::connect(executor.executor.address).await;
            let mut stream = stream.unwrap();
            stream.write_all(message).await.unwrap();
            let mut rest = Vec::new();
            // The connection ends, with or without a reset.
            let _ = stream.read_to_end(&mut rest).await;
            assert_eq!(rest, b"");
        }
        let delegate = Request::Delegate(vec![executor.executor.clone()]);
        assert!(leader.requests.send(delegate).is_ok());
        let mut ready = false;
        wait_until("the executor polls", || {
            if !ready {
                for poll in polls() {
                    let _ = leader.requests.send(Request::Order(poll));
                }
            }
            while leader.reports.try_recv().is_some() {}
            ready = count(&executor.polled) > 0;
            ready
        })
        .await;
    });
}

/// Returns the order of a scheduler to start a task.
fn start() -> Envelope<order::Order> {
    let mut engine = engine();
    engine.tick(Permission::Start, NOW, NOW);
    for poll in engine.take_orders() {
        if let order::Order::Poll(order) = poll.content() {
            let answer = report::Answer {
                fault: None,
                sent: NOW,
                clock: Some(7),
                result: Ok(View::default()),
            };
            let report = poll.reply(Report::Poll {
                runner: order.target.runner,
                acknowledged: 0,
                answer,
            });
            engine.report(report, NOW);
        }
    }
    let policy = Policy {
        pool: "pool".into(),
        priority: 0,
        attempts: 2,
        stretch: 1_600,
        target: Duration::from_millis(600),
    };
    let job = Job {
        id: Id(1),
        queue: "queue".into(),
        policy,
        specification: "text".into(),
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }]
        .into(),
        repeat: None,
        account: None,
        submitted: NOW,
    };
    engine.add(Arc::new(job), NOW);
    engine.tick(Permission::Start, NOW, NOW);
    engine.take_records().expect("a run is planned");
    engine.records_stored(NOW);
    engine.tick(Permission::Start, NOW, NOW);
    let mut orders = engine.take_orders().into_iter();
    let start = orders.find(|order| matches!(order.content(), order::Order::Start(_)));
    start.expect("the run starts")
}

/// Returns what a leader learns of a start that its executor has carried out without being able to report it, if the
/// leader's own copy of the order has the given result.
async fn repeated_start(starts: Starts) -> Result<(), Failure> {
    let (mut leader, executor) = (entry_with(starts), entry_with(Starts::Unanswered));
    let delegate = Request::Delegate(vec![executor.executor.clone()]);
    assert!(leader.requests.send(delegate).is_ok());
    while count(&executor.polled) == 0 {
        poll_all(&mut leader).await;
    }
    assert!(leader.requests.send(Request::Order(start())).is_ok());
    let started = Arc::clone(&executor.started);
    wait_until("the executor starts the task", || {
        started.load(Ordering::Relaxed) == 1
    })
    .await;
    executor.end.send(()).expect("the executor runs");
    let mut result = None;
    wait_until("the start is reported", || {
        let reports = core::iter::from_fn(|| leader.reports.try_recv());
        for report in reports {
            if let Report::Start { answer, .. } = report.content() {
                result = Some(answer.result);
            }
        }
        result.is_some()
    })
    .await;
    result.expect("it was just set")
}

/// Guards against a task that runs twice: its first run is at a runner that only the executor could reach, before its
/// availability zone was cut off, and the leader takes the failure of its own copy of the order for that of the start.
#[test]
fn start_that_a_lost_executor_may_have_made_is_unknown() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        use Failure::{Fenced, NoCapacity, Replaced, StaleAttempt, Unhealthy, Unsent};
        let failures = [
            Unsent,
            StaleAttempt,
            NoCapacity,
            Unhealthy,
            Fenced,
            Replaced,
        ];
        let mut table = String::new();
        for failure in failures {
            let result = repeated_start(Starts::Failed(failure)).await;
            let result = result.map_err(Failure::as_str);
            let _ = writeln!(table, "{}: {result:?}", failure.as_str());
        }
        let answered = repeated_start(Starts::Answered).await;
        let _ = writeln!(table, "answered: {answered:?}");
        insta::assert_snapshot!(table);
    });
}

/// An order as a leader sends it.
#[derive(serde::Serialize)]
enum Action {
    Poll {
        until: Option<u64>,
        acknowledged: u64,
        wait_ms: u64,
    },
}

/// Sends a batch with one poll, which was sent at `sent` by the leader's clock, and waits for its result.
async fn poll_raw(stream: &mut tokio::net::TcpStream, number: u64, sent: u64) {
    let action = Action::Poll {
        until: None,
        acknowledged: 0,
        wait_ms: 0,
    };
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let order = (number, (format!("r{number}"), address, 3_u64, action));
    let batch = (sent, vec![order], Vec::<SocketAddr>::new());
    let bytes = rmp_serde::to_vec(&batch).unwrap();
    stream.write_u32(bytes.len() as u32).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    loop {
        let length = stream.read_u32().await.unwrap();
        let mut bytes = vec![0; length as usize];
        stream.read_exact(&mut bytes).await.unwrap();
        let results: Vec<(u64, serde::de::IgnoredAny)> = rmp_serde::from_slice(&bytes).unwrap();
        if results.iter().any(|(result, _)| *result == number) {
            return;
        }
    }
}

/// Guards against an executor that was paused and carries out orders seconds late, when their leader has given them to
/// another entry or has lost the lead. The clocks of the two entries differ.
#[test]
fn order_that_an_executor_reads_late_is_not_carried_out() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let executor = entry();
        let stream = tokio::net::TcpStream::connect(executor.executor.address).await;
        let mut stream = stream.unwrap();
        let clock = 1_000_000_000;
        poll_raw(&mut stream, 1, clock).await;
        poll_raw(&mut stream, 2, clock - 2_000_000).await;
        poll_raw(&mut stream, 3, clock).await;
        assert_eq!(*executor.polled.lock().unwrap(), ["r1", "r3"]);
    });
}
