//! Prints planner time and log appends of a full wave at 50, 350 and 1,400 hosts.
//!
//! Run it with `cargo run --release -p sassafrascrank-fleet --example planner`.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Assignment,
    Pool,
    Step,
    Subject,
    Value, //
};
use sassafrascrank_fleet::{
    Inventory,
    Rules,
    inventory::{
        Health,
        Observation,
        Work, //
    },
    wave, //
};
use std::{
    sync::Arc,
    time::Instant, //
};

const TICK: Duration = Duration::from_secs(10);

fn name(text: &str) -> Name {
    Name::new(text).expect("the example uses valid names")
}

fn report(booted: Time) -> Observation {
    Observation {
        health: Health::Healthy { since: booted },
        work: Work::Idle,
        booted,
    }
}

fn build(hosts: usize, pools: usize) -> Inventory {
    let mut inventory = Inventory::default();
    for pool in 0..pools {
        let policy = Pool {
            slots: 8,
            connections: 64,
            attempt_timeout: Duration::from_secs(30),
            availability_percent: 80,
            spare: false,
        };
        let subject = Subject::Pool(name(&format!("p{pool}")));
        inventory.set(&subject, 1, &Value::Pool(Arc::new(policy)), Time::MIN);
    }
    for host in 0..hosts {
        let key = name(&format!("h{host}"));
        let pool = name(&format!("p{}", host % pools));
        let value = Value::Assignment(Assignment { pool });
        inventory.set(&Subject::Host(key.clone()), 1, &value, Time::MIN);
        let zone = host % 4;
        let rack = format!("z{zone}-r{}", host / 16);
        inventory.set_location(&key, &name(&format!("z{zone}")), &name(&rack));
        inventory.observe(&key, report(Time::MIN));
    }
    inventory
}

fn main() {
    println!(
        "hosts | pools | appends | plans | longest plan us | mean plan us | plans without a step us"
    );
    for (hosts, pools) in [(50, 5), (350, 50), (1_400, 199)] {
        let rules = Rules::default();
        let mut inventory = build(hosts, pools);
        let start = rules.deadline(900) + TICK;
        let mut now = start;
        let (mut offset, mut plans, mut quiet) = (1, 0, 0);
        let (mut longest, mut total, mut idle) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
        let mut done = 0;
        while done < hosts {
            now = now + TICK;
            inventory.set_observed(now);
            let began = Instant::now();
            let proposals = wave::plan(&inventory, &rules, now);
            let span = began.elapsed();
            longest = longest.max(span);
            total += span;
            plans += 1;
            if proposals.is_empty() {
                quiet += 1;
                idle += span;
            }
            done = 0;
            for proposal in proposals {
                offset += 1;
                let out = proposal.value.hosts.iter();
                for (host, _) in out.filter(|(_, absence)| absence.step == Step::Out) {
                    inventory.observe(host, report(now + TICK));
                }
                let value = Value::Reservation(proposal.value);
                inventory.set(&proposal.subject, offset, &value, now);
            }
            for (_, pool) in inventory.pools() {
                done += pool.reservation.finished.len();
            }
        }
        let mean = total.as_micros() / plans;
        let idle = idle.as_micros().checked_div(quiet).unwrap_or(0);
        let (longest, appends) = (longest.as_micros(), offset - 1);
        println!("{hosts} | {pools} | {appends} | {plans} | {longest} | {mean} | {idle}");
    }
}
