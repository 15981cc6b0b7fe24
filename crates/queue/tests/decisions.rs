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

struct Bench {
    queue: Queue,
    customers: Vec<customer::Key>,
    tickets: SlotMap<ticket::Key, ()>,
}

impl Bench {
    /// Makes a queue for one slot with customers of equal shares.
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

    fn request(&mut self, place: (usize, u8), deadline: Time) -> Request {
        Request {
            ticket: self.tickets.insert(()),
            customer: self.customers[place.0],
            class: class::Index(place.1),
            deadline,
            cost: SECOND,
        }
    }

    fn push(&mut self, now: u64, place: (usize, u8), deadline: u64) -> Result<Request, Refusal> {
        let request = self.request(place, at(deadline));
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

const LOOSE: [Class; 3] = [class(10, 10_000, 1_000); 3];

/// Guards against a less urgent class that is served first although both are owed the same.
#[test]
fn equal_tags_go_to_the_more_urgent_class() {
    let mut bench = Bench::new(10, 2, &LOOSE);
    for place in [(0, 2), (0, 0), (1, 1)] {
        bench.push(0, place, 1_000).unwrap();
    }
    let order: Vec<_> = (0..3).map(|_| bench.pop(0).unwrap().class.0).collect();
    assert_eq!(order, [0, 1, 2]);
}

/// Guards against an idle customer or class that saves credit and shuts out the others when it comes back.
#[test]
fn idle_flows_keep_no_credit() {
    for places in [[(0, 0), (1, 0)], [(0, 0), (0, 1)]] {
        let mut bench = Bench::new(100, 2, &LOOSE);
        for now in 0..50 {
            bench.push(now, places[0], 1_000).unwrap();
            let grant = bench.pop(now).unwrap();
            bench.queue.finish(at(now), &grant, SECOND);
        }
        for _ in 0..10 {
            bench.push(50, places[0], 1_000).unwrap();
            bench.push(50, places[1], 1_000).unwrap();
        }
        let back = |grant: &Grant| {
            (grant.customer, grant.class.0) == (bench.customers[places[1].0], places[1].1)
        };
        let grants = (0..10).map(|_| bench.queue.pop(at(50), |_| true).unwrap());
        let count = grants.filter(back).count();
        assert!((4..=6).contains(&count), "{count} of 10 went to {places:?}");
    }
}

/// Guards against a customer at its concurrency limit that blocks others or moves to the back.
#[test]
fn customer_at_its_limit_keeps_its_place() {
    let mut bench = Bench::new(100, 3, &LOOSE);
    let first = bench.push(0, (0, 0), 1_000).unwrap();
    let limited = bench.customers[0];
    for customer in [1, 2, 1, 2] {
        bench.push(0, (customer, 0), 1_000).unwrap();
    }
    for _ in 0..2 {
        let grant = bench.queue.pop(at(0), |customer| customer != limited);
        assert_ne!(grant.unwrap().customer, limited);
    }
    assert_eq!(bench.pop(0).unwrap().ticket, first.ticket);
}

/// Guards against customers beyond the rechecks of one `pop` that stay unserved after their limit was raised.
#[test]
fn every_released_customer_is_found() {
    let mut bench = Bench::new(1_000, 300, &LOOSE);
    for customer in 0..300 {
        bench.push(0, (customer, 0), 100_000).unwrap();
    }
    assert_eq!(bench.queue.pop(at(0), |_| false), None);
    let last = bench.customers[250];
    let mut turns = (0..300).map(|_| bench.queue.pop(at(0), |customer| customer == last));
    assert!(turns.any(|grant| grant.is_some()), "found without notice");
    let told = bench.customers[120];
    bench.queue.unpark(told);
    let grant = bench.queue.pop(at(0), |customer| customer == told);
    assert_eq!(grant.unwrap().customer, told);
}

/// Guards against starts after deadline minus cost or after the class's time limit.
#[test]
fn requests_expire_when_they_can_no_longer_start() {
    let mut bench = Bench::new(10, 1, &[class(10, 20, 10)]);
    let tight = bench.push(0, (0, 0), 6).unwrap();
    let loose = bench.push(0, (0, 0), 1_000).unwrap();
    assert_eq!(bench.queue.next_expiry(), Some(at(5)));
    assert!(bench.expire(4).is_empty());
    let (ticket, refusal) = bench.expire(5)[0];
    assert_eq!(ticket, tight.ticket);
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (Outcome::NotRun, Reason::DeadlineUnmet)
    );
    assert!(bench.queue.cancel(loose.ticket));
    bench.push(5, (0, 0), 1_000).unwrap();
    assert_eq!(bench.queue.next_expiry(), Some(at(25)));
    assert_eq!(bench.pop(25), None, "its time has passed");
    assert_eq!(bench.expire(25).len(), 1);
}

/// Guards against requests that wait although they can't be met, and against a retry_after that is too short.
#[test]
fn unmet_deadline_is_refused_with_a_useful_time() {
    let mut bench = Bench::new(100, 1, &LOOSE);
    let refusal = loop {
        match bench.push(0, (0, 0), 30) {
            Ok(_) => assert!(bench.queue.len() < 30, "admits what can't be met"),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal.reason, Reason::DeadlineUnmet);
    let wait = refusal.retry_after.unwrap();
    for now in 0..wait.as_secs().max(1) + 3 {
        let Some(grant) = bench.pop(now) else { break };
        bench.queue.finish(at(now + 1), &grant, SECOND);
    }
    let later = wait.as_secs() + 3;
    assert!(
        bench.push(later, (0, 0), later + 30).is_ok(),
        "{wait:?} is too short"
    );
    let late = bench.push(0, (0, 0), 1);
    assert_eq!(late.unwrap_err().reason, Reason::DeadlineUnmet);
}

/// Guards against a full queue that refuses what comes last instead of what can't be answered in time.
#[test]
fn full_queue_sheds_what_is_late() {
    let mut bench = Bench::new(3, 1, &LOOSE);
    bench.push(0, (0, 0), 1_000).unwrap();
    let late = bench.push(0, (0, 0), 12).unwrap();
    bench.push(0, (0, 0), 1_000).unwrap();
    bench.push(10, (0, 0), 1_000).unwrap();
    let shed = bench.expire(10);
    assert_eq!(shed[0].0, late.ticket);
    assert_eq!((shed.len(), shed[0].1.reason), (1, Reason::DeadlineUnmet));
}

/// Guards against a flood that fills the queue and keeps others out.
#[test]
fn full_queue_makes_room_for_flows_with_less() {
    for place in [(1, 0), (0, 1)] {
        let mut bench = Bench::new(3, 2, &LOOSE);
        for _ in 0..3 {
            bench.push(0, (0, 0), 1_000).unwrap();
        }
        let own = bench.push(0, (0, 0), 1_000).unwrap_err();
        assert_eq!(own.reason, Reason::QueueFull);
        assert!(own.retry_after.is_some());
        bench.push(0, place, 1_000).unwrap();
        assert_eq!(bench.expire(0)[0].1.reason, Reason::QueueFull);
        assert_eq!(bench.queue.len(), 3);
    }
}

/// Guards against a class that exceeds its count limit.
#[test]
fn class_limit_is_kept() {
    let mut bench = Bench::new(100, 1, &[class(10, 1_000, 2), class(10, 1_000, 0)]);
    bench.push(0, (0, 0), 1_000).unwrap();
    bench.push(0, (0, 0), 1_000).unwrap();
    for place in [(0, 0), (0, 1)] {
        let refusal = bench.push(0, place, 1_000).unwrap_err();
        assert_eq!(refusal.reason, Reason::QueueFull);
    }
    let unknown = bench.push(0, (0, 2), 1_000).unwrap_err();
    assert_eq!(unknown.reason, Reason::PoolUnknown);
}

/// Guards against overflow and division by zero.
#[test]
fn extreme_values_are_survived() {
    let ends = [class(0, u64::MAX, u32::MAX), class(u32::MAX, 0, 1)];
    let mut bench = Bench::new(10, 1, &ends);
    for share in [0, u32::MAX] {
        let customer = bench.customers[0];
        bench.queue.set_customer(at(0), customer, share, &ends);
        for (cost, slots) in [(Duration::ZERO, 0), (Duration::MAX, u32::MAX)] {
            for deadline in [Time::MIN, Time::MAX] {
                let request = bench.request((0, 0), deadline);
                let _ = bench.queue.push(at(0), Request { cost, ..request }, slots);
            }
            while let Some(grant) = bench.pop(0) {
                bench.queue.finish(at(0), &grant, Duration::MAX);
                bench.queue.finish(at(0), &grant, Duration::ZERO);
            }
        }
    }
    assert!(bench.queue.is_empty());
}
