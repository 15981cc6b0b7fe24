//! Single decisions of the queue: order, limits, expiry, shedding, extreme values.

use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::{
    Class,
    Grant,
    Queue,
    Request, //
};
use slotmap::SlotMap;

const SECOND: Duration = Duration::from_secs(1);

/// A queue with its customers and tickets.
struct Fixture {
    queue: Queue,
    customers: Vec<customer::Key>,
    tickets: SlotMap<ticket::Key, ()>,
}

impl Fixture {
    /// Creates a queue whose customers have equal shares.
    fn new(capacity: usize, customers: usize, classes: &[Class]) -> Self {
        let mut queue = Queue::new(capacity);
        let mut keys = SlotMap::<customer::Key, ()>::with_key();
        let customers: Vec<_> = (0..customers).map(|_| keys.insert(())).collect();
        for &customer in &customers {
            queue.set_customer(Time::MIN, customer, 10, classes);
        }
        Self {
            queue,
            customers,
            tickets: SlotMap::with_key(),
        }
    }

    /// Makes a request for a customer and a class, both by index, that takes one second.
    fn request(&mut self, flow: (usize, u8), deadline: Time) -> Request {
        Request {
            ticket: self.tickets.insert(()),
            customer: self.customers[flow.0],
            class: class::Index(flow.1),
            deadline,
            cost: SECOND,
        }
    }

    fn push(&mut self, now: u64, flow: (usize, u8), deadline: u64) -> Result<Request, Refusal> {
        let request = self.request(flow, at(deadline));
        self.queue.push(at(now), request, 1).map(|()| request)
    }

    fn pop(&mut self, now: u64) -> Option<Grant> {
        self.queue.pop(at(now), |_| true)
    }

    fn expire(&mut self, now: u64) -> Vec<(ticket::Key, Refusal)> {
        let mut expired = Vec::new();
        self.queue.expire(at(now), &mut expired);
        expired
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

const fn class(share: u32, timeout: u64, limit: u32) -> Class {
    Class {
        share,
        timeout: Duration::from_secs(timeout),
        limit,
    }
}

const LOOSE_LIMITS: [Class; 3] = [class(10, 10_000, 1_000); 3];

/// Guards against a less urgent class that is served first although the start tags are equal.
#[test]
fn equal_tags_go_to_the_more_urgent_class() {
    let mut fixture = Fixture::new(10, 2, &LOOSE_LIMITS);
    for flow in [(0, 2), (0, 0), (1, 1)] {
        fixture.push(0, flow, 1_000).unwrap();
    }
    let order: Vec<_> = (0..3).map(|_| fixture.pop(0).unwrap().class.0).collect();
    assert_eq!(order, [0, 1, 2]);
}

/// Guards against an idle customer or class that saves up credit and starves the others when it becomes active.
#[test]
fn idle_flows_keep_no_credit() {
    for flows in [[(0, 0), (1, 0)], [(0, 0), (0, 1)]] {
        let mut fixture = Fixture::new(100, 2, &LOOSE_LIMITS);
        for now in 0..50 {
            fixture.push(now, flows[0], 1_000).unwrap();
            let grant = fixture.pop(now).unwrap();
            fixture.queue.finish(at(now), &grant, SECOND);
        }
        for _ in 0..10 {
            fixture.push(50, flows[0], 1_000).unwrap();
            fixture.push(50, flows[1], 1_000).unwrap();
        }
        let back = |grant: &Grant| {
            (grant.customer, grant.class.0) == (fixture.customers[flows[1].0], flows[1].1)
        };
        let grants = (0..10).map(|_| fixture.queue.pop(at(50), |_| true).unwrap());
        let count = grants.filter(back).count();
        assert!((4..=6).contains(&count), "{count} of 10 went to {flows:?}");
    }
}

/// Guards against a customer at its concurrency limit that blocks others or loses its position.
#[test]
fn customer_at_its_limit_keeps_its_place() {
    let mut fixture = Fixture::new(100, 3, &LOOSE_LIMITS);
    let first = fixture.push(0, (0, 0), 1_000).unwrap();
    let limited = fixture.customers[0];
    for customer in [1, 2, 1, 2] {
        fixture.push(0, (customer, 0), 1_000).unwrap();
    }
    for _ in 0..2 {
        let grant = fixture.queue.pop(at(0), |customer| customer != limited);
        assert_ne!(grant.unwrap().customer, limited);
    }
    assert_eq!(fixture.pop(0).unwrap().ticket, first.ticket);
}

/// Guards against parked customers that are never served again after their limit was raised.
///
/// One `pop` checks only some of the parked customers, and there are more of them here.
#[test]
fn every_unparked_customer_is_found() {
    let mut fixture = Fixture::new(1_000, 300, &LOOSE_LIMITS);
    for customer in 0..300 {
        fixture.push(0, (customer, 0), 100_000).unwrap();
    }
    assert_eq!(fixture.queue.pop(at(0), |_| false), None);
    let last = fixture.customers[250];
    let mut turns = (0..300).map(|_| fixture.queue.pop(at(0), |customer| customer == last));
    assert!(turns.any(|grant| grant.is_some()), "found without notice");
    let unparked = fixture.customers[120];
    fixture.queue.unpark(unparked);
    let grant = fixture.queue.pop(at(0), |customer| customer == unparked);
    assert_eq!(grant.unwrap().customer, unparked);
}

/// Guards against requests that start too late to end by their deadline, or after the queue timeout of their class.
#[test]
fn requests_expire_when_they_can_no_longer_start() {
    let mut fixture = Fixture::new(10, 1, &[class(10, 20, 10)]);
    let tight = fixture.push(0, (0, 0), 6).unwrap();
    let loose = fixture.push(0, (0, 0), 1_000).unwrap();
    assert_eq!(fixture.queue.next_expiry(), Some(at(5)));
    assert!(fixture.expire(4).is_empty());
    let (ticket, refusal) = fixture.expire(5)[0];
    assert_eq!(ticket, tight.ticket);
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (Outcome::NotRun, Reason::DeadlineUnmet)
    );
    assert!(fixture.queue.cancel(loose.ticket));
    fixture.push(5, (0, 0), 1_000).unwrap();
    assert_eq!(fixture.queue.next_expiry(), Some(at(25)));
    assert_eq!(fixture.pop(25), None, "its time has passed");
    assert_eq!(fixture.expire(25).len(), 1);
}

/// Guards against admission of requests whose deadline can't be met, and against a `retry_after` that is too short.
#[test]
fn unmet_deadline_is_refused_with_a_useful_retry_after() {
    let mut fixture = Fixture::new(100, 1, &LOOSE_LIMITS);
    let refusal = loop {
        match fixture.push(0, (0, 0), 30) {
            Ok(_) => assert!(fixture.queue.len() < 30, "admits what can't be met"),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal.reason, Reason::DeadlineUnmet);
    let wait = refusal.retry_after.unwrap();
    for now in 0..wait.as_secs().max(1) + 3 {
        let Some(grant) = fixture.pop(now) else { break };
        fixture.queue.finish(at(now + 1), &grant, SECOND);
    }
    let later = wait.as_secs() + 3;
    assert!(
        fixture.push(later, (0, 0), later + 30).is_ok(),
        "{wait:?} is too short"
    );
    let late = fixture.push(0, (0, 0), 1);
    assert_eq!(late.unwrap_err().reason, Reason::DeadlineUnmet);
}

/// Guards against a full queue that refuses a new request and keeps one that can't be answered in time.
#[test]
fn full_queue_sheds_late_requests() {
    let mut fixture = Fixture::new(3, 1, &LOOSE_LIMITS);
    fixture.push(0, (0, 0), 1_000).unwrap();
    let late = fixture.push(0, (0, 0), 12).unwrap();
    fixture.push(0, (0, 0), 1_000).unwrap();
    fixture.push(10, (0, 0), 1_000).unwrap();
    let shed = fixture.expire(10);
    assert_eq!(shed[0].0, late.ticket);
    assert_eq!((shed.len(), shed[0].1.reason), (1, Reason::DeadlineUnmet));
}

/// Guards against a flood that fills the queue so that requests of others are refused.
#[test]
fn full_queue_makes_room_for_flows_with_fewer_requests() {
    for flow in [(1, 0), (0, 1)] {
        let mut fixture = Fixture::new(3, 2, &LOOSE_LIMITS);
        for _ in 0..3 {
            fixture.push(0, (0, 0), 1_000).unwrap();
        }
        let own = fixture.push(0, (0, 0), 1_000).unwrap_err();
        assert_eq!(own.reason, Reason::QueueFull);
        assert!(own.retry_after.is_some());
        fixture.push(0, flow, 1_000).unwrap();
        assert_eq!(fixture.expire(0)[0].1.reason, Reason::QueueFull);
        assert_eq!(fixture.queue.len(), 3);
    }
}

/// Guards against a class with more queued requests than its limit.
#[test]
fn class_limit_is_kept() {
    let mut fixture = Fixture::new(100, 1, &[class(10, 1_000, 2), class(10, 1_000, 0)]);
    fixture.push(0, (0, 0), 1_000).unwrap();
    fixture.push(0, (0, 0), 1_000).unwrap();
    for flow in [(0, 0), (0, 1)] {
        let refusal = fixture.push(0, flow, 1_000).unwrap_err();
        assert_eq!(refusal.reason, Reason::QueueFull);
    }
    let unknown = fixture.push(0, (0, 2), 1_000).unwrap_err();
    assert_eq!(unknown.reason, Reason::PoolUnknown);
}

/// Guards against overflow and division by zero at the smallest and largest shares, costs, slots and deadlines.
#[test]
fn extreme_values_cause_no_panic() {
    let ends = [class(0, u64::MAX, u32::MAX), class(u32::MAX, 0, 1)];
    let mut fixture = Fixture::new(10, 1, &ends);
    for share in [0, u32::MAX] {
        let customer = fixture.customers[0];
        fixture.queue.set_customer(at(0), customer, share, &ends);
        for (cost, slots) in [(Duration::ZERO, 0), (Duration::MAX, u32::MAX)] {
            for deadline in [Time::MIN, Time::MAX] {
                let request = fixture.request((0, 0), deadline);
                let _ = fixture
                    .queue
                    .push(at(0), Request { cost, ..request }, slots);
            }
            while let Some(grant) = fixture.pop(0) {
                fixture.queue.finish(at(0), &grant, Duration::MAX);
                fixture.queue.finish(at(0), &grant, Duration::ZERO);
            }
        }
    }
    assert!(fixture.queue.is_empty());
}
