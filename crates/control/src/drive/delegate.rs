//! Orders that a leader gives to other entries, its executors, and what happens to them when an executor fails.

use super::{
    Executor, frame,
    wire::{
        Batch,
        Command,
        Outcome,
        Results,
        failure,
        fault, //
    },
};
use crate::clock::Clock;
use core::net::SocketAddr;
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_schedule::order::{
    Envelope, Order, Target,
    report::{
        Answer,
        Failure,
        Report,
        View, //
    },
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    io,
    rc::Rc,
};
use tokio::{
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

/// Time for opening a connection to an executor.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which orders are collected, so that one write carries many.
const ORDER_DELAY: Duration = Duration::from_millis(3);
/// Time between two batches to an executor that has orders, so that its answers show that it is alive.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which an executor that has orders counts as failed.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Time after a failure for which an executor gets no orders.
const AVOID_TIME: Duration = Duration::from_millis(2_000);
/// Largest number of orders that an executor holds; the leader carries out further ones itself.
const OUTSTANDING_LIMIT: usize = 4_096;

/// Whether another entry may have carried out an order before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Delivery {
    /// Nobody has.
    First,
    /// An executor may have, or may yet do so.
    Repeat,
}

/// An order that an executor was given.
struct Given {
    order: Envelope<Order>,
    sent: Time,
}

/// One executor, and the orders that it has.
pub(super) struct Delegate {
    executor: Executor,
    clock: Clock,
    queue: RefCell<Vec<(u64, Command)>>,
    closed: RefCell<Vec<SocketAddr>>,
    given: RefCell<HashMap<u64, Given>>,
    next: Cell<u64>,
    wake: Notify,
    connected: Cell<bool>,
    /// Whether the leader no longer uses the executor.
    dismissed: Cell<bool>,
}

impl Delegate {
    pub(super) fn new(executor: Executor, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            executor,
            clock,
            queue: RefCell::default(),
            closed: RefCell::default(),
            given: RefCell::default(),
            next: Cell::new(0),
            wake: Notify::new(),
            connected: Cell::new(false),
            dismissed: Cell::new(false),
        })
    }

    pub(super) fn executor(&self) -> &Executor {
        &self.executor
    }

    /// Ends the connection once its orders are answered or have failed.
    pub(super) fn dismiss(&self) {
        self.dismissed.set(true);
        self.wake.notify_one();
    }

    /// Tells whether the executor takes another order.
    fn is_available(&self) -> bool {
        self.connected.get()
            && !self.dismissed.get()
            && self.given.borrow().len() < OUTSTANDING_LIMIT
    }

    /// Gives an order to the executor. Returns it if it is not one for a runner.
    pub(super) fn give(&self, order: Envelope<Order>) -> Option<Envelope<Order>> {
        let Ok(command) = Command::try_from(order.content()) else {
            return Some(order);
        };
        let number = self.next.get();
        self.next.set(number + 1);
        let sent = self.clock.now();
        self.given
            .borrow_mut()
            .insert(number, Given { order, sent });
        self.queue.borrow_mut().push((number, command));
        self.wake.notify_one();
        None
    }

    /// Lets the executor close its connections to a runner that has left.
    pub(super) fn close(&self, address: SocketAddr) {
        if self.connected.get() {
            self.closed.borrow_mut().push(address);
        }
    }

    /// Connects to the executor again and again until it is dismissed. Passes reports on to `report`, and the orders of a
    /// failed executor to `carry_out`, with whether the executor may have carried them out. `record` gets a line for each
    /// connection that is opened or lost.
    pub(super) async fn run<F: Future<Output = ()>>(
        &self,
        report: impl Fn(Envelope<Report>) -> F,
        carry_out: impl Fn(Envelope<Order>, Delivery),
        record: impl Fn(Event),
    ) {
        while !self.dismissed.get() {
            let connect = TcpStream::connect(self.executor.address);
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect).await {
                self.connected.set(true);
                record(self.event("executor-connected"));
                if let Err(error) = self.serve(stream, &report).await {
                    record(self.loss(&error));
                }
                self.connected.set(false);
            }
            let unsent = self.queue.take();
            let unsent: HashSet<u64> = unsent.into_iter().map(|(number, _)| number).collect();
            self.closed.borrow_mut().clear();
            for (number, given) in self.given.take() {
                let delivery = match unsent.contains(&number) {
                    true => Delivery::First,
                    false => Delivery::Repeat,
                };
                carry_out(given.order, delivery);
            }
            if !self.dismissed.get() {
                sleep(AVOID_TIME).await;
            }
        }
    }

    /// Returns the log line of a connection that has failed.
    fn loss(&self, error: &io::Error) -> Event {
        let reason = match error.kind() {
            io::ErrorKind::TimedOut => "silent",
            _ => "disconnected",
        };
        let (given, unsent) = (self.given.borrow().len(), self.queue.borrow().len());
        self.event("executor-lost")
            .with("reason", Value::Code(reason))
            .with("orders", Value::Count(given as u64))
            .with("unsent", Value::Count(unsent as u64))
    }

    fn event(&self, name: &'static str) -> Event {
        let address = self.executor.address.to_string();
        Event::new(name, self.clock.now())
            .with("by", Value::Text(address.into()))
            .with("zone", Value::Text(self.executor.zone.clone()))
    }

    async fn serve<F: Future<Output = ()>>(
        &self,
        stream: TcpStream,
        report: &impl Fn(Envelope<Report>) -> F,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        let heard = Cell::new(self.clock.now());
        tokio::select! {
            result = self.send(&mut writer, &heard) => result,
            result = self.receive(&mut reader, &heard, report) => result,
        }
    }

    /// Sends batches of orders until the executor is dismissed or silent.
    async fn send(&self, writer: &mut OwnedWriteHalf, heard: &Cell<Time>) -> io::Result<()> {
        loop {
            if self.given.borrow().is_empty() {
                if self.dismissed.get() {
                    return Ok(());
                }
                self.wake.notified().await;
                // It had nothing to answer before.
                heard.set(self.clock.now());
            } else {
                // After the interval, an empty batch shows whether the executor is alive.
                let _ = timeout(PROBE_INTERVAL, self.wake.notified()).await;
            }
            if self.clock.now().since(heard.get()) > SILENCE_LIMIT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            sleep(ORDER_DELAY).await;
            let batch = Batch {
                sent: self.clock.now().as_micros(),
                orders: self.queue.take(),
                closed: self.closed.take(),
            };
            frame::write(writer, &batch).await?;
        }
    }

    async fn receive<F: Future<Output = ()>>(
        &self,
        reader: &mut OwnedReadHalf,
        heard: &Cell<Time>,
        report: &impl Fn(Envelope<Report>) -> F,
    ) -> io::Result<()> {
        loop {
            let Results(results) = frame::read(reader).await?;
            heard.set(self.clock.now());
            for (number, outcome) in results {
                let given = self.given.borrow_mut().remove(&number);
                if let Some(given) = given
                    && let Some(answer) = given.report(outcome)
                {
                    report(given.order.reply(answer)).await;
                }
            }
        }
    }
}

impl Given {
    /// Returns the report on the order.
    fn report(&self, outcome: Outcome) -> Option<Report> {
        let (sent, clock) = (self.sent, outcome.clock);
        let fault = outcome
            .result
            .as_ref()
            .err()
            .and_then(|&number| fault(number));
        let result = outcome.result.map_err(failure);
        let done = |result: Result<_, Failure>| Answer {
            sent,
            clock,
            result: result.map(|_| ()),
            fault: fault.clone(),
        };
        Some(match self.order.content() {
            Order::Start(start) => Report::Start {
                run: start.run,
                runner: start.target.runner,
                answer: done(result),
            },
            Order::Stop(stop) => Report::Stop {
                run: stop.run,
                runner: stop.target.runner,
                answer: done(result),
            },
            Order::Poll(poll) => Report::Poll {
                runner: poll.target.runner,
                acknowledged: poll.acknowledged,
                answer: Answer {
                    sent,
                    clock,
                    result: result
                        .and_then(|view| View::try_from(view).map_err(|_| Failure::Rejected)),
                    fault,
                },
            },
            Order::Pace(pace) => Report::Pace {
                run: pace.run,
                percent: pace.percent,
                answer: done(result),
            },
            _ => return None,
        })
    }
}

/// Returns the executor for a runner: always the same one of the runner's availability zone while the executors are the
/// same, since each new connection to a runner is expensive.
pub(super) fn choose<'a>(
    delegates: &'a [Rc<Delegate>],
    target: &Target,
) -> Option<&'a Rc<Delegate>> {
    let runner = hash::text(&target.id);
    let weight = |delegate: &Rc<Delegate>| {
        let executor = hash::text(&delegate.executor.address.to_string());
        hash::mix(runner ^ executor)
    };
    let in_zone = |delegate: &Rc<Delegate>| delegate.executor.zone == target.zone;
    let available = delegates.iter().filter(|delegate| delegate.is_available());
    available.max_by_key(|delegate| (in_zone(delegate), weight(delegate)))
}
