//! Execution of orders, each in a task of its own, on this entry or through an executor.

use super::{
    delegate::{
        self,
        Delegate,
        Delivery, //
    },
    executor, //
};
use crate::{
    clock::Clock,
    port::{
        CallError,
        Fleet,
        Platform,
        Runners, //
    },
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use sassafrascrank_schedule::{
    fleet::host::Outcome,
    order::{
        Action, Envelope, Order, Target,
        report::{
            Answer,
            Report, //
        },
    },
};
use sassafrascrank_trace::Sink;
use std::{
    cell::RefCell,
    net,
    rc::Rc,
    sync::Arc, //
};
use tokio::{
    task::spawn_local,
    time::sleep, //
};

/// Pause before the next attempt to send while the ring of reports is full.
const FULL_PAUSE: Duration = Duration::from_millis(3);

/// Parts of the drive thread.
pub struct Drive<P> {
    /// The platform.
    pub platform: P,
    /// Requests of the control thread.
    pub requests: Receiver<Request>,
    /// Signal of `requests`.
    pub signal: Signal,
    /// Reports for the control thread.
    pub reports: Sender<Envelope<Report>>,
    /// Log lines and metrics.
    pub sink: Sink,
    /// The clock of the process.
    pub clock: Clock,
    /// Listener for leaders whose orders this entry carries out, if there is one.
    pub executor: Option<net::TcpListener>,
}

/// Request to the drive thread.
#[derive(Clone, Debug)]
pub enum Request {
    /// Carries out an order.
    Order(Envelope<Order>),
    /// Gives orders to runners to these entries from now on. Without any, this entry carries them out itself.
    Delegate(Vec<Executor>),
}

/// An entry that carries out orders for a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Executor {
    /// Address for orders.
    pub address: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Arc<str>,
}

/// What the tasks of the orders share.
struct Shared<P: Platform> {
    runners: P::Runners,
    fleet: P::Fleet,
    reports: RefCell<Sender<Envelope<Report>>>,
    sink: RefCell<Sink>,
    clock: Clock,
    delegates: RefCell<Vec<Rc<Delegate>>>,
}

/// Runs until the sender of orders is gone. It has to run in a local task set.
pub async fn run<P: Platform>(mut drive: Drive<P>) {
    let shared = Rc::new(Shared::<P> {
        runners: drive.platform.runners(),
        fleet: drive.platform.fleet(),
        reports: RefCell::new(drive.reports),
        sink: RefCell::new(drive.sink),
        clock: drive.clock,
        delegates: RefCell::default(),
    });
    if let Some(listener) = drive.executor {
        let (platform, clock) = (drive.platform, drive.clock);
        let connect = move || platform.runners();
        spawn_local(async move { executor::serve(listener, connect, clock).await });
    }
    loop {
        let ready = || !drive.requests.is_empty() || drive.requests.is_closed();
        drive.signal.wait(ready).await;
        while let Some(request) = drive.requests.try_recv() {
            match request {
                Request::Order(order) => shared.handle(order),
                Request::Delegate(executors) => shared.delegate(executors),
            }
        }
        if drive.requests.is_closed() {
            return;
        }
    }
}

fn answer<T>(sent: Time, clock: Option<u64>, result: Result<T, CallError>) -> Answer<T> {
    let (result, fault) = match result {
        Ok(answer) => (Ok(answer), None),
        Err(error) => (Err(error.failure), error.fault),
    };
    Answer {
        sent,
        clock,
        result,
        fault,
    }
}

/// Returns the runner that an order is for, if it may be given to an executor.
fn target(order: &Order) -> Option<&Target> {
    match order {
        Order::Start(start) => Some(&start.target),
        Order::Stop(stop) => Some(&stop.target),
        Order::Poll(poll) => Some(&poll.target),
        Order::Pace(pace) => Some(&pace.target),
        _ => None,
    }
}

impl<P: Platform> Shared<P> {
    /// Carries out an order, or gives it to an executor.
    fn handle(self: &Rc<Self>, order: Envelope<Order>) {
        if let Order::CloseConnections(Some(address)) = *order.content() {
            for delegate in self.delegates.borrow().iter() {
                delegate.close(address);
            }
        }
        let delegates = self.delegates.borrow();
        let chosen = target(order.content()).and_then(|it| delegate::choose(&delegates, it));
        let kept = match chosen {
            Some(delegate) => delegate.give(order),
            None => Some(order),
        };
        if let Some(order) = kept {
            self.spawn(order, Delivery::First);
        }
    }

    fn spawn(self: &Rc<Self>, order: Envelope<Order>, delivery: Delivery) {
        let shared = Rc::clone(self);
        spawn_local(async move { shared.carry_out(order, delivery).await });
    }

    /// Replaces the executors. Those that stay keep their connections.
    fn delegate(self: &Rc<Self>, executors: Vec<Executor>) {
        let mut delegates = self.delegates.borrow_mut();
        delegates.retain(|delegate| {
            let stays = executors.contains(delegate.executor());
            if !stays {
                delegate.dismiss();
            }
            stays
        });
        for executor in executors {
            if delegates.iter().any(|known| *known.executor() == executor) {
                continue;
            }
            let delegate = Delegate::new(executor, self.clock);
            delegates.push(Rc::clone(&delegate));
            let shared = Rc::clone(self);
            spawn_local(async move {
                let carry_out = |order, delivery| shared.spawn(order, delivery);
                let record = |event| shared.sink.borrow_mut().record(event);
                delegate
                    .run(|report| shared.send(report), carry_out, record)
                    .await;
            });
        }
    }

    async fn carry_out(&self, order: Envelope<Order>, delivery: Delivery) {
        let sent = self.clock.now();
        let report = match order.content() {
            Order::Start(start) => {
                let (clock, result) = self.runners.start(start).await;
                // The task may run although this copy of the order has failed.
                let result = result.map_err(|error| match delivery {
                    Delivery::First => error,
                    Delivery::Repeat => error.of_repeat(),
                });
                Report::Start {
                    run: start.run,
                    runner: start.target.runner,
                    answer: answer(sent, clock, result),
                }
            }
            Order::Stop(stop) => {
                let (clock, result) = self.runners.stop(stop).await;
                Report::Stop {
                    run: stop.run,
                    runner: stop.target.runner,
                    answer: answer(sent, clock, result),
                }
            }
            Order::Poll(poll) => {
                let (clock, result) = self.runners.poll(poll).await;
                Report::Poll {
                    runner: poll.target.runner,
                    acknowledged: poll.acknowledged,
                    answer: answer(sent, clock, result),
                }
            }
            Order::Pace(pace) => {
                let (clock, result) = self.runners.pace(pace).await;
                Report::Pace {
                    run: pace.run,
                    percent: pace.percent,
                    answer: answer(sent, clock, result),
                }
            }
            Order::Advise {
                step,
                name,
                runners,
            } => Report::Advice {
                step: *step,
                approved: self.runners.advise(*name, runners).await,
            },
            Order::ListHosts => Report::Hosts(self.fleet.hosts().await),
            Order::Host(order) => {
                let outcome = match &order.action {
                    _ if sent > order.until => Outcome::Unsent,
                    Action::Move(pool) => self.fleet.relocate(&order.name, pool, order.fence).await,
                    Action::Maintain(wave) => {
                        self.fleet.maintain(&order.name, *wave, order.fence).await
                    }
                };
                Report::Host {
                    host: order.host,
                    number: order.number,
                    outcome,
                }
            }
            Order::CloseConnections(address) => {
                self.runners.close(*address);
                return;
            }
            // The store thread publishes announcements.
            Order::Announce { .. } => return,
        };
        self.send(order.reply(report)).await;
    }

    /// Sends a report, and waits while the ring is full. Drops the report if the receiver is gone.
    async fn send(&self, mut report: Envelope<Report>) {
        loop {
            let sent = self.reports.borrow_mut().send(report);
            match sent {
                Ok(()) => return,
                Err(back) => report = back,
            }
            if self.reports.borrow().is_closed() {
                return;
            }
            sleep(FULL_PAUSE).await;
        }
    }
}
