//! Main loop of the control thread.

use super::{
    Control,
    Output, //
};
use crate::{
    clock::wall,
    drive,
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
use sassafrascrank_schedule::order::{
    Envelope,
    report::Report, //
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
use tokio::time::{
    sleep,
    timeout, //
};

/// Longest time between two decisions of a leader.
const LEADER_TICK: Duration = Duration::from_millis(20);
/// Longest time between two decisions of an entry that does not lead.
const FOLLOWER_TICK: Duration = Duration::from_millis(100);

/// Multiple of the time of a decision for which a leader pauses after it.
const DECISION_PAUSE_FACTOR: u32 = 8;
/// Longest such pause, which delays a start twice.
const DECISION_PAUSE_MAX: Duration = Duration::from_millis(10);

/// Rings and signals that connect the control thread to the others.
pub struct Channels {
    /// Callers' requests.
    pub calls: Receiver<front::Request>,
    /// Answers, configurations and readiness for the front thread.
    pub notices: Sender<front::Notice>,
    /// Events from the store thread.
    pub events: Receiver<store::Event>,
    /// Requests to the store thread.
    pub requests: Sender<store::Request>,
    /// Reports on orders from the drive thread.
    pub reports: Receiver<Envelope<Report>>,
    /// Requests to the drive thread.
    pub orders: Sender<drive::Request>,
    /// Signal of the rings that the control thread reads.
    pub signal: Signal,
    /// Events for logs and metrics.
    pub sink: Sink,
    /// Set when the process is asked to shut down.
    pub stop: Arc<AtomicBool>,
    /// Times of a planned shutdown.
    pub shutdown: Shutdown,
}

/// Messages that did not fit into a ring. They are sent before later ones.
#[derive(Default)]
struct Backlog {
    notices: VecDeque<front::Notice>,
    requests: VecDeque<store::Request>,
    orders: VecDeque<drive::Request>,
}

/// Runs until the shutdown has reached the end of the control thread. `clock` returns the present time.
pub async fn run(mut control: Control, mut channels: Channels, clock: impl Fn() -> Time) {
    let mut backlog = Backlog::default();
    let mut stop_requested: Option<Time> = None;
    let mut closed = false;
    loop {
        let tick = match control.is_leader() {
            true => LEADER_TICK,
            false => FOLLOWER_TICK,
        };
        let ready = || {
            !channels.calls.is_empty()
                || !channels.events.is_empty()
                || !channels.reports.is_empty()
        };
        // After the timeout, the loop handles what depends on time alone.
        let _ = timeout(tick, channels.signal.wait(ready)).await;
        // The time is read for each message, since those before it may take seconds on an overloaded host. Otherwise a
        // question could count as asked before a read that began earlier.
        while let Some(event) = channels.events.try_recv() {
            control.handle_event(event, clock());
        }
        while let Some(report) = channels.reports.try_recv() {
            control.handle_report(report, clock());
        }
        while let Some(call) = channels.calls.try_recv() {
            control.handle_call(call, clock());
        }
        let now = clock();
        if stop_requested.is_none() && channels.stop.load(Ordering::SeqCst) {
            stop_requested = Some(now);
            control.stop(now);
        }
        control.tick(wall(), now);
        let output = control.take_output();
        send(&mut channels, &mut backlog, output);
        if control.is_leader() {
            // Messages that arrive meanwhile share the next decision.
            let spent = clock().since(now);
            control.count_decision(spent);
            sleep(pause_after(spent)).await;
        }
        if let Some(at) = stop_requested {
            if !closed && now >= at + channels.shutdown.close {
                closed = true;
                backlog.notices.push_back(front::Notice::Close);
            }
            // The front thread ends once its connections have ended. Until then it needs answers.
            if channels.calls.is_closed() || now >= at + channels.shutdown.end {
                return;
            }
        }
    }
}

/// Returns the pause of a leader after a decision that took `spent`. It bounds the processor time of decisions, which grows
/// with the runners, the hosts and the waiting tasks, however many messages arrive.
fn pause_after(spent: Duration) -> Duration {
    (spent * DECISION_PAUSE_FACTOR).min(DECISION_PAUSE_MAX)
}

/// Adds the output to the backlog, and sends as much of it as the rings take.
fn send(channels: &mut Channels, backlog: &mut Backlog, output: Output) {
    backlog.notices.extend(output.notices);
    backlog.requests.extend(output.requests);
    let executors = output.executors.map(drive::Request::Delegate);
    backlog.orders.extend(executors);
    let orders = output.orders.into_iter().map(drive::Request::Order);
    backlog.orders.extend(orders);
    send_backlog(&mut backlog.notices, &mut channels.notices);
    send_backlog(&mut backlog.requests, &mut channels.requests);
    send_backlog(&mut backlog.orders, &mut channels.orders);
    for event in output.events {
        channels.sink.record(event);
    }
}

/// Sends messages from a backlog until the ring is full.
fn send_backlog<T>(backlog: &mut VecDeque<T>, sender: &mut Sender<T>) {
    while let Some(message) = backlog.pop_front() {
        if let Err(message) = sender.send(message) {
            backlog.push_front(message);
            return;
        }
    }
}
