//! Open-loop load: requests are sent at a steady rate, whether or not earlier ones were answered.

use super::{
    caller::Caller,
    plan::{
        CUSTOMERS,
        Plan, //
    },
    sample::{
        Outcome,
        Phase,
        Sample,
        Work, //
    },
};
use core::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    time::Duration, //
};
use sassafrascrank_base::hash;
use std::rc::Rc;
use tokio::{
    task::{
        JoinSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

/// Most requests of one stream that wait for an answer; further ones are not sent, but counted as skipped.
const OPEN_REQUESTS_MAX: usize = 1_024;

/// State that all request streams share.
pub(super) struct Load {
    plan: Plan,
    start: Instant,
    callers: Vec<Rc<Caller>>,
    samples: RefCell<Vec<Sample>>,
    skipped: Cell<usize>,
}

impl Load {
    /// Waits until every entry serves, and starts the first phase; returns `None` if that takes longer than `limit`.
    pub(super) async fn new(plan: Plan, entries: &[SocketAddr], limit: Duration) -> Option<Self> {
        let callers = (0..CUSTOMERS.len()).map(|customer| Rc::new(Caller::new(customer, entries)));
        let callers: Vec<_> = callers.collect();
        let deadline = Instant::now() + limit;
        while !callers[0].is_served().await {
            if Instant::now() >= deadline {
                return None;
            }
            sleep(Duration::from_millis(20)).await;
        }
        Some(Self {
            plan,
            start: Instant::now(),
            callers,
            samples: RefCell::default(),
            skipped: Cell::default(),
        })
    }

    /// Sends all requests of the plan and waits for their outcomes.
    pub(super) async fn run(self: Rc<Self>) {
        let mut streams = JoinSet::new();
        for customer in 0..CUSTOMERS.len() {
            let times = (Phase::WarmUp, Phase::End);
            streams.spawn_local(self.clone().stream(customer, Work::Quote, times));
        }
        let times = (Phase::Flood, Phase::Settling);
        streams.spawn_local(self.clone().stream(0, Work::Ledger, times));
        streams.join_all().await;
    }

    /// Waits for the start of a phase.
    pub(super) async fn wait_for(&self, phase: Phase) {
        sleep_until(self.start + self.plan.start(phase)).await;
    }

    /// Returns all samples, and how many requests were not sent because too many were open.
    pub(super) fn results(&self) -> (Vec<Sample>, usize) {
        (self.samples.borrow().clone(), self.skipped.get())
    }

    async fn stream(self: Rc<Self>, customer: usize, work: Work, (from, to): (Phase, Phase)) {
        let begin = self.start + self.plan.start(from);
        let interval = work.interval();
        let count = (self.plan.start(to) - self.plan.start(from)).as_nanos() / interval.as_nanos();
        let mut random = hash::mix(self.plan.seed ^ (customer as u64) << 8 ^ work as u64);
        let mut open = JoinSet::new();
        for number in 0..u32::try_from(count).unwrap_or(u32::MAX) {
            random = hash::mix(random);
            // One request at a random time within each interval, so that the rate is the same in every phase.
            let at = begin + interval * number + random_part(interval, random);
            sleep_until(at).await;
            while open.try_join_next().is_some() {}
            if open.len() < OPEN_REQUESTS_MAX {
                open.spawn_local(self.clone().request(customer, work, number, at));
            } else {
                self.skipped.set(self.skipped.get() + 1);
            }
        }
        open.join_all().await;
    }

    async fn request(self: Rc<Self>, customer: usize, work: Work, number: u32, at: Instant) {
        let phase = self.plan.phase(at - self.start);
        let caller = self.callers[customer].clone();
        // A task of its own goes on if the task that waits for it is dropped, so the connection is not closed early.
        let outcome = spawn_local(async move { caller.call(work, number).await }).await;
        let sample = Sample {
            customer,
            work,
            phase,
            outcome: outcome.unwrap_or(Outcome::Cut),
            latency: at.elapsed(),
        };
        self.samples.borrow_mut().push(sample);
    }
}

/// Returns a random part of `whole`, in steps of a thousandth.
fn random_part(whole: Duration, random: u64) -> Duration {
    whole * u32::try_from(random % 1_000).unwrap_or(0) / 1_000
}
