//! Main loop of the thread.

use super::{
    Control,
    Output, //
};
use crate::{
    clock::{
        Clock,
        wall, //
    },
    front,
    process::Shutdown,
    store, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use sassafrascrank_schedule::{
    Order,
    order::report::Report, //
};
use sassafrascrank_trace::Sink;
use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};
use tokio::time::timeout;

/// Time between two decisions of a leader when nothing happens.
const LEADER_TICK: Duration = Duration::from_millis(20);
/// Time between two decisions of others when nothing happens.
const FOLLOWER_TICK: Duration = Duration::from_millis(100);

/// Rings of the thread.
pub struct Ports {
    /// Callers' requests.
    pub calls: Receiver<front::Request>,
    /// Answers and configuration for callers.
    pub notices: Sender<front::Notice>,
    /// Events of the log.
    pub events: Receiver<store::Event>,
    /// Requests to the log.
    pub requests: Sender<store::Request>,
    /// What came of orders.
    pub reports: Receiver<Report>,
    /// Orders.
    pub orders: Sender<Order>,
    /// Signal of the rings that the thread reads.
    pub signal: Signal,
    /// Events for logs and metrics.
    pub sink: Sink,
    /// Set when the process is asked to end.
    pub stop: Arc<AtomicBool>,
    /// Course of a planned stop.
    pub shutdown: Shutdown,
}

/// Messages that did not fit into a ring; they go out before later ones.
#[derive(Default)]
struct Backlog {
    notices: VecDeque<front::Notice>,
    requests: VecDeque<store::Request>,
    orders: VecDeque<Order>,
}

/// Runs until the process has ended its work.
pub async fn run(mut control: Control, mut ports: Ports, clock: Clock) {
    let mut backlog = Backlog::default();
    let mut stopped: Option<Time> = None;
    let mut closed = false;
    loop {
        let tick = match control.is_leader() {
            true => LEADER_TICK,
            false => FOLLOWER_TICK,
        };
        let ready =
            || !ports.calls.is_empty() || !ports.events.is_empty() || !ports.reports.is_empty();
        // The end of the wait brings about whatever time alone brings about.
        let _ = timeout(tick, ports.signal.wait(ready)).await;
        let now = clock.now();
        while let Some(event) = ports.events.try_recv() {
            control.take_event(event, now);
        }
        while let Some(report) = ports.reports.try_recv() {
            control.take_report(report, now);
        }
        while let Some(call) = ports.calls.try_recv() {
            control.take_call(call, now);
        }
        if stopped.is_none() && ports.stop.load(Ordering::SeqCst) {
            stopped = Some(now);
            control.stop(now);
        }
        control.tick(wall(), now);
        let output = control.take_output();
        send(&mut ports, &mut backlog, output);
        if let Some(at) = stopped {
            if !closed && now >= at + ports.shutdown.close {
                closed = true;
                backlog.notices.push_back(front::Notice::Close);
            }
            // The thread of callers ends once its connections have; until then it needs answers.
            if ports.calls.is_closed() || now >= at + ports.shutdown.end {
                return;
            }
        }
    }
}

fn send(ports: &mut Ports, backlog: &mut Backlog, output: Output) {
    backlog.notices.extend(output.notices);
    backlog.requests.extend(output.requests);
    backlog.orders.extend(output.orders);
    drain(&mut backlog.notices, &mut ports.notices);
    drain(&mut backlog.requests, &mut ports.requests);
    drain(&mut backlog.orders, &mut ports.orders);
    for event in output.events {
        ports.sink.record(event);
    }
}

/// Sends messages until the ring is full.
fn drain<T>(backlog: &mut VecDeque<T>, sender: &mut Sender<T>) {
    while let Some(message) = backlog.pop_front() {
        if let Err(message) = sender.send(message) {
            backlog.push_front(message);
            return;
        }
    }
}
