//! Random interleavings of push, pop, finish, cancel, expire and changes of customers.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::{
    Class,
    Grant,
    Queue,
    Request, //
};
use slotmap::SlotMap;
use std::collections::HashMap;

const QUEUE_CAPACITY: usize = 48;
const TICKET_LIMIT: usize = 128;
const CLASS_QUEUE_LIMIT: u32 = 12;
const STEPS: usize = 6_000;

/// The queue and the state of each request that it must agree with.
struct Model {
    seed: u64,
    random: StdRng,
    now: Time,
    queue: Queue,
    customers: SlotMap<customer::Key, ()>,
    tickets: SlotMap<ticket::Key, ()>,
    waiting: HashMap<ticket::Key, Request>,
    running: Vec<Grant>,
    finished: Vec<Grant>,
}

fn classes() -> [Class; 2] {
    let class = |share, timeout| Class {
        share,
        timeout: Duration::from_millis(timeout),
        limit: CLASS_QUEUE_LIMIT,
    };
    [class(60, 500), class(30, 900)]
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            seed,
            random: StdRng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            queue: Queue::new(QUEUE_CAPACITY),
            customers: SlotMap::with_key(),
            tickets: SlotMap::with_capacity_and_key(TICKET_LIMIT),
            waiting: HashMap::new(),
            running: Vec::new(),
            finished: Vec::new(),
        };
        for share in 0..6 {
            let customer = model.customers.insert(());
            model
                .queue
                .set_customer(model.now, customer, share * 5, &classes());
        }
        // Using the largest ticket index once lets the containers grow to their final size.
        let all: Vec<_> = (0..TICKET_LIMIT)
            .map(|_| model.tickets.insert(()))
            .collect();
        for ticket in all {
            model.offer(ticket, 2_000);
            model.pop(true);
            model.finish();
        }
        model
    }

    fn pick(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    fn customer(&mut self) -> customer::Key {
        let index = self.pick(self.customers.len());
        self.customers.keys().nth(index).unwrap()
    }

    fn end(&mut self, ticket: ticket::Key) {
        let seed = self.seed;
        assert!(
            self.waiting.remove(&ticket).is_some(),
            "seed {seed}: {ticket:?} did not wait"
        );
        self.tickets.remove(ticket);
    }

    fn push(&mut self) {
        if self.tickets.len() < TICKET_LIMIT {
            let ticket = self.tickets.insert(());
            let timeout_ms = self.pick(1_500) as u64;
            self.offer(ticket, timeout_ms);
        }
    }

    fn offer(&mut self, ticket: ticket::Key, timeout_ms: u64) {
        let request = Request {
            ticket,
            customer: self.customer(),
            class: class::Index(self.pick(2) as u8),
            deadline: self.now + Duration::from_millis(timeout_ms),
            cost: Duration::from_micros(self.pick(40_000) as u64),
        };
        match self.queue.push(self.now, request, 4) {
            Ok(()) => {
                self.waiting.insert(ticket, request);
            }
            Err(refusal) => {
                assert_eq!(refusal.outcome, Outcome::NotRun);
                self.tickets.remove(ticket);
            }
        }
        if self.pick(4) == 0 && self.waiting.contains_key(&ticket) {
            self.queue
                .push(self.now, request, 4)
                .expect("a repeat keeps its place");
        }
    }

    /// Pops a request; unless `all` is set, one random customer is at its limit.
    fn pop(&mut self, all: bool) {
        let limited = self.customer();
        let eligible = |customer| all || customer != limited;
        let Some(grant) = self.queue.pop(self.now, eligible) else {
            let idle = !all || self.queue.is_empty();
            assert!(idle, "seed {}: requests wait beside a free slot", self.seed);
            return;
        };
        assert!(eligible(grant.customer), "seed {}", self.seed);
        let request = self.waiting.remove(&grant.ticket);
        let request = request.unwrap_or_else(|| panic!("seed {}: {grant:?}", self.seed));
        assert!(
            self.now < request.deadline - request.cost,
            "seed {}: late start",
            self.seed
        );
        self.running.push(grant);
    }

    fn finish(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.pick(self.running.len());
        let grant = self.running.swap_remove(index);
        let actual = Duration::from_micros(self.pick(400_000) as u64);
        self.queue.finish(self.now, &grant, actual);
        self.tickets.remove(grant.ticket);
        self.finished.push(grant);
    }

    /// Cancels and finishes a ticket that has already been finished, which must have no effect.
    fn repeat_stale(&mut self) {
        if self.finished.is_empty() {
            return;
        }
        let index = self.pick(self.finished.len());
        let grant = self.finished[index];
        let before = self.queue.len();
        assert!(
            !self.queue.cancel(grant.ticket),
            "seed {}: stale cancel",
            self.seed
        );
        self.queue.finish(self.now, &grant, Duration::from_secs(9));
        assert_eq!(self.queue.len(), before, "seed {}", self.seed);
    }

    fn cancel(&mut self) {
        if let Some(&ticket) = self.waiting.keys().min() {
            assert!(
                self.queue.cancel(ticket),
                "seed {}: {ticket:?} lost",
                self.seed
            );
            self.end(ticket);
            assert!(
                !self.queue.cancel(ticket),
                "seed {}: cancelled twice",
                self.seed
            );
        }
    }

    fn expire(&mut self) {
        let mut expired = Vec::new();
        self.queue.expire(self.now, &mut expired);
        for (ticket, refusal) in expired {
            assert_eq!(refusal.outcome, Outcome::NotRun);
            assert!(refusal.retry_after.is_some());
            self.end(ticket);
        }
        assert_eq!(
            self.queue.len(),
            self.waiting.len(),
            "seed {}: lost",
            self.seed
        );
    }

    fn change_customer(&mut self) {
        let customer = self.customer();
        if self.pick(4) > 0 {
            let share = self.pick(100) as u32;
            return self
                .queue
                .set_customer(self.now, customer, share, &classes());
        }
        let mut removed = Vec::new();
        self.queue.remove_customer(customer, &mut removed);
        removed.into_iter().for_each(|ticket| self.end(ticket));
        self.customers.remove(customer);
        let customer = self.customers.insert(());
        self.queue.set_customer(self.now, customer, 10, &classes());
    }

    fn step(&mut self) {
        match self.pick(100) {
            0..45 => self.push(),
            45..60 => self.pop(false),
            60..70 => self.pop(true),
            70..85 => self.finish(),
            85..88 => self.repeat_stale(),
            88..91 => self.cancel(),
            91..95 => self.expire(),
            95 => self.change_customer(),
            _ => self.now = self.now + Duration::from_millis(self.pick(60) as u64),
        }
        assert!(
            self.queue.len() <= QUEUE_CAPACITY,
            "seed {}: capacity",
            self.seed
        );
        let mut counts = HashMap::new();
        if self.queue.next_expiry() != Some(Time::MIN) {
            for request in self.waiting.values() {
                *counts.entry((request.customer, request.class)).or_insert(0) += 1;
            }
        }
        let most = counts.into_values().max().unwrap_or(0);
        assert!(most <= CLASS_QUEUE_LIMIT, "seed {}: class limit", self.seed);
    }
}

/// Guards against lost requests, double grants, exceeded limits, stale keys that have an effect, slots that stay idle
/// while requests wait, and containers that grow in the steady state.
#[test]
fn random_interleavings_keep_every_request() {
    let mut granted = 0;
    for seed in 0..24 {
        let mut model = Model::new(seed);
        (0..STEPS).for_each(|_| model.step());
        let bytes = model.queue.capacity_bytes();
        (0..STEPS).for_each(|_| model.step());
        assert_eq!(
            model.queue.capacity_bytes(),
            bytes,
            "seed {seed}: allocates"
        );
        granted += model.finished.len();
        while !model.queue.is_empty() {
            model.pop(true);
        }
        model.expire();
        assert!(model.waiting.is_empty(), "seed {seed}: {:?}", model.waiting);
    }
    insta::assert_snapshot!(format!("{granted} requests granted and finished"));
}
