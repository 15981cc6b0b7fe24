//! Time of one decision (push, pop, finish) for several numbers of customers, compared with a linear scan.

use divan::{
    Bencher,
    black_box, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::{
    Class,
    Queue,
    Request, //
};
use slotmap::SlotMap;
use std::collections::VecDeque;

const CUSTOMERS: [usize; 3] = [10, 100, 1_000];
/// Waiting requests of each customer.
const DEPTH: usize = 8;
const COST: Duration = Duration::from_micros(100);
const CLASSES: [Class; 2] = [class(60), class(40)];

const fn class(share: u32) -> Class {
    Class {
        share,
        timeout: Duration::from_secs(1_000_000),
        limit: 1_000,
    }
}

fn main() {
    divan::main();
}

fn tickets(count: usize) -> Vec<ticket::Key> {
    let mut arena = SlotMap::<ticket::Key, ()>::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[divan::bench(args = CUSTOMERS)]
fn fair(bencher: Bencher<'_, '_>, count: usize) {
    let mut queue = Queue::new(count * DEPTH * 2);
    let mut arena = SlotMap::<customer::Key, ()>::with_key();
    let customers: Vec<_> = (0..count).map(|_| arena.insert(())).collect();
    for &customer in &customers {
        queue.set_customer(Time::MIN, customer, 1, &CLASSES);
    }
    let now = Time::from_millis(1);
    let request = |ticket, index: usize| Request {
        ticket,
        customer: customers[index % count],
        class: class::Index((index / count % 2) as u8),
        deadline: Time::MAX,
        cost: COST,
    };
    let mut keys = tickets(count * DEPTH + 1);
    let mut free = keys.pop().unwrap();
    for (index, &ticket) in keys.iter().enumerate() {
        queue.push(now, request(ticket, index), 80).unwrap();
    }
    let mut index = 0;
    bencher.bench_local(|| {
        index += 7;
        queue.push(now, request(free, index), 80).unwrap();
        let grant = queue.pop(now, |_| true).unwrap();
        queue.finish(now, &grant, COST + COST / 2);
        free = grant.ticket;
        black_box(grant)
    });
}

/// Baseline with a FIFO and a virtual time for each customer; a scan finds the smallest virtual time.
#[divan::bench(args = CUSTOMERS)]
fn linear_scan(bencher: Bencher<'_, '_>, count: usize) {
    let mut flows = vec![(0_u64, VecDeque::with_capacity(DEPTH * 4)); count];
    let mut keys = tickets(count * DEPTH + 1);
    let mut free = keys.pop().unwrap();
    for (index, &ticket) in keys.iter().enumerate() {
        flows[index % count].1.push_back(ticket);
    }
    let mut index = 0;
    bencher.bench_local(|| {
        index += 7;
        flows[index % count].1.push_back(free);
        let waiting = flows.iter_mut().filter(|(_, queue)| !queue.is_empty());
        let (clock, queue) = waiting.min_by_key(|(clock, _)| *clock).unwrap();
        *clock += 100;
        free = queue.pop_front().unwrap();
        *clock += 50;
        black_box(free)
    });
}
