//! Simulated hosts and the log. Accepted records and the seed determine when hosts drain, reboot and fail.

use super::{
    Random,
    SECOND,
    name, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Assignment,
    Pool,
    Reservation,
    Step,
    Subject,
    Value, //
};
use sassafrascrank_fleet::inventory::{
    Health,
    Observation,
    Work, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Origin,
    Record,
    State,
    Verdict, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

/// A simulated host. Processes see its state with a delay.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: Name,
    pub pool: Name,
    pub zone: Name,
    pub rack: Name,
    pub observation: Observation,
    /// Actual time until its work is complete.
    pub drain: Duration,
    /// Time until its work is complete as the host reports it.
    pub declared: Duration,
    pub reboot: Duration,
    /// When the work is complete, if the host is draining.
    pub drained_at: Option<Time>,
    /// When the host becomes healthy, if it is down.
    pub up_at: Option<Time>,
    /// Whether the host is down because the wave reboots it.
    pub rebooting: bool,
    /// Whether the host fails frequently since its last reboot.
    pub faulty: bool,
}

pub struct World {
    pub hosts: Vec<Host>,
    /// Position in `hosts` by name.
    pub index: BTreeMap<Name, usize>,
    /// Availability target in percent by pool.
    pub percent: BTreeMap<Name, usize>,
    pub state: State,
    pub log: Vec<Record>,
    pub now: Time,
    /// Reports of each step, the newest last.
    pub reports: Vec<(Time, Vec<Observation>)>,
    /// Whether the basis of every entry is replaced by the current one, which disables compare-and-set.
    pub unchecked: bool,
    /// Records that were rejected because of a stale basis.
    pub stale: u64,
    /// Moves that were completed.
    pub joins: u64,
    /// Whether hosts become faulty when the wave reboots them.
    pub fail_returned: bool,
}

/// Builds a world; `pools` gives name, number of hosts and availability in percent of each pool.
pub fn build(pools: &[(String, usize, u32)], zones: usize, now: Time) -> World {
    build_with_spare(pools, zones, now, None)
}

pub fn build_with_spare(
    pools: &[(String, usize, u32)],
    zones: usize,
    now: Time,
    spare: Option<&str>,
) -> World {
    let mut world = World {
        hosts: Vec::new(),
        index: BTreeMap::new(),
        percent: BTreeMap::new(),
        state: State::new(1),
        log: Vec::new(),
        now,
        reports: Vec::new(),
        unchecked: false,
        stale: 0,
        joins: 0,
        fail_returned: false,
    };
    let mut values = Vec::new();
    let mut counts = vec![0; zones];
    for (pool, hosts, percent) in pools {
        let policy = Pool {
            slots: 8,
            connections: 64,
            attempt_timeout: SECOND * 30,
            availability_percent: *percent,
            spare: spare == Some(pool.as_str()),
        };
        values.push((Subject::Pool(name(pool)), Value::Pool(Arc::new(policy))));
        world.percent.insert(name(pool), *percent as usize);
        for number in 0..*hosts {
            let zone = world.hosts.len() % zones;
            let rack = counts[zone] / 4;
            counts[zone] += 1;
            let host = Host {
                name: name(&format!("{pool}-{number}")),
                pool: name(pool),
                zone: name(&format!("z{zone}")),
                rack: name(&format!("z{zone}-r{rack}")),
                observation: Observation {
                    health: Health::Healthy { since: Time::MIN },
                    work: Work::Idle,
                    booted: Time::MIN,
                },
                drain: SECOND * 60,
                declared: SECOND * 60,
                reboot: SECOND * 60,
                drained_at: None,
                up_at: None,
                rebooting: false,
                faulty: false,
            };
            let pool = host.pool.clone();
            let assignment = Value::Assignment(Assignment { pool });
            values.push((Subject::Host(host.name.clone()), assignment));
            world.index.insert(host.name.clone(), world.hosts.len());
            world.hosts.push(host);
        }
    }
    let entries = values.into_iter().map(|(subject, value)| Entry {
        subject,
        basis: 0,
        value,
    });
    let origin = Origin {
        writer: name("operator"),
        incarnation: 1,
        sequence: 1,
    };
    let entries = entries.collect();
    let verdict = world.append(Record::Change(Change { origin, entries }));
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    world
}

impl World {
    /// Appends a record and, if it is accepted, applies its effects to the simulated hosts.
    pub fn append(&mut self, mut record: Record) -> Verdict {
        if let (true, Record::Change(change)) = (self.unchecked, &mut record) {
            for entry in &mut change.entries {
                entry.basis = self.state.basis(&entry.subject);
            }
        }
        self.log.push(record.clone());
        let offset = self.log.len() as u64;
        let verdict = self.state.apply(offset, Ok(record));
        self.stale += u64::from(matches!(verdict, Verdict::Stale { .. }));
        if let Verdict::Accepted { subjects } = &verdict {
            for subject in subjects {
                match (
                    subject,
                    self.state
                        .get(subject)
                        .map(|revision| revision.value.clone()),
                ) {
                    (Subject::Reservation(pool), _) => {
                        let reservation = self.reservation(pool);
                        self.apply_reservation(&reservation);
                    }
                    (Subject::Host(host), Some(Value::Assignment(assignment))) => {
                        let host = &mut self.hosts[self.index[host]];
                        self.joins += u64::from(host.pool != assignment.pool);
                        host.pool = assignment.pool;
                    }
                    _ => {}
                }
            }
        }
        verdict
    }

    pub fn reservation(&self, pool: &Name) -> Arc<Reservation> {
        let revision = self.state.get(&Subject::Reservation(pool.clone()));
        match revision.map(|revision| &revision.value) {
            Some(Value::Reservation(reservation)) => reservation.clone(),
            _ => Arc::default(),
        }
    }

    fn apply_reservation(&mut self, reservation: &Reservation) {
        for (host, absence) in &reservation.hosts {
            let host = &mut self.hosts[self.index[host]];
            match absence.step {
                Step::Draining if host.drained_at.is_none() => {
                    host.drained_at = Some(self.now + host.drain);
                }
                Step::Out if reservation.moves.contains_key(&host.name) => {}
                Step::Out if !host.rebooting && host.observation.booted <= absence.since => {
                    host.rebooting = true;
                    host.fail(self.now, host.reboot);
                }
                _ => {}
            }
        }
    }

    /// Advances the time to `now`: completes work and reboots that are due, and adds a report of all hosts.
    pub fn advance(&mut self, now: Time) {
        self.now = now;
        let mut reserved = BTreeSet::new();
        for pool in self.percent.keys() {
            reserved.extend(self.reservation(pool).hosts.keys().cloned());
        }
        for host in &mut self.hosts {
            if host.up_at.is_some_and(|at| at <= now) {
                host.up_at = None;
                host.observation.health = Health::Healthy { since: now };
                host.observation.booted = now;
                host.faulty |= host.rebooting && self.fail_returned;
                host.rebooting = false;
            }
            if !reserved.contains(&host.name) {
                host.drained_at = None;
            }
            host.observation.work = match host.drained_at {
                Some(at) if at <= now => Work::Idle,
                _ => Work::Busy {
                    remaining: host.declared,
                    movable: true,
                },
            };
        }
        let reports = self.hosts.iter().map(|host| host.observation).collect();
        self.reports.push((now, reports));
    }

    /// Lets hosts fail at random, each with a probability of `ppm` in a million, or of 20% if it is faulty.
    pub fn inject_failures(&mut self, random: &mut Random, ppm: u64, step: Duration) {
        let now = self.now;
        for host in &mut self.hosts {
            let ppm = if host.faulty { 200_000 } else { ppm };
            if host.up_at.is_none() && random.chance(ppm) {
                let steps = 1 + random.below(8) as u32;
                host.fail(now, step * steps);
            }
        }
    }
}

impl Host {
    pub fn fail(&mut self, now: Time, span: Duration) {
        if matches!(self.observation.health, Health::Healthy { .. }) {
            self.observation.health = Health::Failed { since: now };
        }
        self.up_at = self.up_at.max(Some(now + span));
    }
}
