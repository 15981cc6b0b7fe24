//! Measures how the time of the engine's decisions grows with the number of runners.
//!
//! `cargo run --release -p sassafrascrank-schedule --example scale` prints the mean time of a tick for several numbers
//! of runners, first without jobs and then with one job for every ten runners, and then while many tasks wait, without and
//! with client accounts.

use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use sassafrascrank_schedule::{
    Engine, Order, Rules,
    config::{
        self,
        Account,
        Accounts,
        Config, //
    },
    engine::{
        Permission,
        Takeover, //
    },
    fleet::host,
    order::report::{
        Answer,
        Report,
        View, //
    },
    runner::{
        Change,
        Listed, //
    },
};
use std::{
    collections::HashMap,
    sync::Arc,
    time::Instant, //
};

const START_TIME: Time = Time::from_millis(1_700_000_000_000);
const TICK: Duration = Duration::from_millis(20);
/// Number of ticks of a measurement, 10 s in all.
const TICK_COUNT: u32 = 500;
const POOL_COUNT: usize = 5;

fn pool(index: usize) -> Arc<str> {
    format!("pool{}", index % POOL_COUNT).into()
}

/// Client accounts of a measurement, and the processor time that each may use; 0 stands for no limit.
#[derive(Clone, Copy)]
struct Clients {
    count: usize,
    cap: u64,
}

const NO_CLIENTS: Clients = Clients { count: 0, cap: 0 };

fn account(index: usize) -> Arc<str> {
    format!("account{index}").into()
}

fn accounts(clients: Clients) -> Option<Accounts> {
    let mut accounts = Accounts::default();
    for index in 0..clients.count {
        let row = Account {
            name: account(index),
            weight: 1_000,
            cap: Resource {
                cpu: clients.cap,
                ..Resource::default()
            },
        };
        accounts.insert(row, []).expect("names differ");
    }
    (clients.count > 0).then_some(accounts)
}

fn config(clients: Clients) -> Config {
    let pools = (0..POOL_COUNT).map(|index| config::Pool {
        name: pool(index),
        guarded: false,
        standby: index + 1 == POOL_COUNT,
    });
    Config {
        version: 1,
        queues: Vec::new(),
        pools: pools.collect(),
        accounts: accounts(clients),
    }
}

const HOST_CAPACITY: Resource = Resource {
    cpu: 64_000,
    memory: 131_072,
    gpu: 0,
};

fn runner(index: usize) -> Listed {
    Listed {
        id: format!("r{index}").into(),
        incarnation: 1,
        host: format!("h{index}").into(),
        pool: pool(index),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        labels: vec![Arc::from("a"), Arc::from("rack")].into(),
        rack: "rack".into(),
        capacity: HOST_CAPACITY,
        draining: None,
        clock: Some(1_000),
    }
}

fn host(index: usize) -> host::Listed {
    host::Listed {
        name: format!("h{index}").into(),
        pool: pool(index),
        state: host::State::Up,
        zone: "zone".into(),
        labels: vec![Arc::from("a"), Arc::from("rack")].into(),
        capacity: HOST_CAPACITY,
        runner: Some(format!("r{index}").into()),
    }
}

/// Answers all orders at once, and returns their number.
fn answer(engine: &mut Engine, hosts: usize, now: Time) -> usize {
    let orders = engine.take_orders();
    let count = orders.len();
    for order in orders {
        fn done<T>(sent: Time, result: T) -> Answer<T> {
            Answer {
                fault: None,
                sent,
                clock: Some(1_000 + sent.since(START_TIME).as_millis() as u64),
                result: Ok(result),
            }
        }
        let report = match order.content() {
            Order::Start(start) => Report::Start {
                run: start.run,
                runner: start.target.runner,
                answer: done(now, ()),
            },
            Order::Poll(poll) => Report::Poll {
                runner: poll.target.runner,
                acknowledged: poll.acknowledged,
                answer: done(
                    now,
                    View {
                        truncated: true,
                        ..View::default()
                    },
                ),
            },
            Order::ListHosts => Report::Hosts(Some((0..hosts).map(host).collect())),
            _ => continue,
        };
        engine.report(order.reply(report), now);
    }
    count
}

fn job(id: u64, clients: Clients) -> Job {
    let step = Step {
        count: 4,
        need: Resource {
            cpu: 6_000,
            memory: 8_000,
            gpu: 0,
        },
        estimate: Duration::from_secs(1),
        ..Step::default()
    };
    Job {
        id: Id(id),
        queue: "queue".into(),
        policy: Policy {
            pool: pool(id as usize % (POOL_COUNT - 1)),
            priority: 0,
            attempts: 2,
            stretch: 1_600,
            target: Duration::from_millis(600),
        },
        specification: "text".into(),
        steps: vec![step].into(),
        repeat: None,
        account: (clients.count > 0).then(|| account(id as usize % clients.count)),
        submitted: START_TIME,
    }
}

/// Returns the mean time of a tick, and the number of orders per second.
fn measure(runners: usize, jobs: u64, clients: Clients) -> (Duration, f64) {
    let takeover = Takeover {
        epoch: 1,
        runs_until: Time::MIN,
        observed: Time::MIN,
        hosts: HashMap::new(),
        leases: HashMap::new(),
    };
    let mut engine = Engine::new(Rules::default(), takeover, &config(clients), START_TIME);
    for index in 0..runners {
        engine.update_runner(Change::Set(runner(index)), START_TIME);
    }
    let mut now = START_TIME;
    let mut orders = 0;
    let mut spent = Duration::ZERO;
    for tick in 0..TICK_COUNT {
        now = now + TICK;
        if tick == 10 {
            for id in 0..jobs {
                engine.add(Arc::new(job(id, clients)), now);
            }
        }
        let began = Instant::now();
        engine.tick(Permission::Start, now, now);
        if engine.take_records().is_some() {
            engine.records_stored(now);
        }
        spent += began.elapsed();
        orders += answer(&mut engine, runners, now);
        engine.take_notes();
    }
    (
        spent / TICK_COUNT,
        f64::from(orders as u32) / (TICK_COUNT * TICK).as_secs_f64(),
    )
}

fn main() {
    for runners in [50, 350, 1_000, 3_000] {
        let (idle, polls) = measure(runners, 0, NO_CLIENTS);
        let (busy, orders) = measure(runners, runners as u64 / 10, NO_CLIENTS);
        println!(
            "{runners} runners: idle {idle:?} a tick, {polls:.0} orders a second; \
             a tenth at work {busy:?} a tick, {orders:.0} orders a second"
        );
    }
    let cases = [
        ("no accounts", NO_CLIENTS),
        ("20 accounts", Clients { count: 20, cap: 0 }),
        (
            "20 capped accounts",
            Clients {
                count: 20,
                cap: 6_000,
            },
        ),
    ];
    for (name, clients) in cases {
        for jobs in [500, 1_000, 2_000, 4_000] {
            let (busy, _) = measure(50, jobs, clients);
            println!("50 runners, {jobs} jobs of 4 tasks, {name}: {busy:?} a tick");
        }
    }
}
