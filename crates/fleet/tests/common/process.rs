//! A simulated planner process, which reads the log and the reports with a delay.

use super::{
    name,
    world::World, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Assignment,
    Subject,
    Value, //
};
use sassafrascrank_fleet::{
    Inventory,
    Proposal,
    Rules,
    inventory::Health,
    moves::{
        self,
        Demand, //
    },
    wave, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Origin,
    Record,
    State,
    Verdict, //
};
use std::collections::{
    BTreeSet,
    VecDeque, //
};

/// A proposal that is not yet known to be in the log, and the failures that it took into account.
pub struct Pending {
    pub record: Record,
    pub proposal: Proposal,
    pub known_failures: BTreeSet<Name>,
}

pub struct Process {
    pub writer: Name,
    pub sequence: u64,
    pub state: State,
    pub inventory: Inventory,
    pub pending: VecDeque<Pending>,
    pub known_failures: BTreeSet<Name>,
    pub last_report: usize,
}

impl Process {
    pub fn new(writer: &str, world: &World) -> Self {
        let mut inventory = Inventory::default();
        for host in &world.hosts {
            inventory.set_location(&host.name, &host.zone, &host.rack);
        }
        Self {
            writer: name(writer),
            sequence: 0,
            state: State::new(1),
            inventory,
            pending: VecDeque::new(),
            known_failures: BTreeSet::new(),
            last_report: 0,
        }
    }

    /// Applies all but the newest `lag` records.
    pub fn read_log(&mut self, world: &World, lag: u64) {
        let end = (world.log.len() as u64).saturating_sub(lag);
        while self.state.next() <= end {
            let offset = self.state.next();
            let mut record = world.log[offset as usize - 1].clone();
            if let (true, Record::Change(change)) = (world.unchecked, &mut record) {
                for entry in &mut change.entries {
                    entry.basis = self.state.basis(&entry.subject);
                }
            }
            let Verdict::Accepted { subjects } = self.state.apply(offset, Ok(record)) else {
                continue;
            };
            for subject in subjects {
                let revision = self.state.get(&subject).unwrap();
                self.inventory
                    .set(&subject, revision.offset, &revision.value, world.now);
            }
        }
    }

    /// Reads the reports from `lag` steps ago, unless newer ones were read before.
    pub fn read_reports(&mut self, world: &World, lag: usize) {
        let last = world
            .reports
            .len()
            .saturating_sub(1 + lag)
            .max(self.last_report);
        let Some((at, reports)) = world.reports.get(last) else {
            return;
        };
        if last == self.last_report && last > 0 {
            return;
        }
        self.last_report = last;
        self.known_failures.clear();
        for (host, report) in world.hosts.iter().zip(reports) {
            self.inventory.observe(&host.name, *report);
            if matches!(report.health, Health::Failed { .. }) {
                self.known_failures.insert(host.name.clone());
            }
        }
        self.inventory.set_observed(*at);
    }

    /// Plans the wave and queues the proposals.
    pub fn decide(&mut self, rules: &Rules, now: Time) {
        let proposals = wave::plan(&self.inventory, rules, now);
        self.queue(proposals);
    }

    /// Plans moves for the hosts that each pool needs, and queues the proposals except for pools with a pending one.
    pub fn decide_moves(&mut self, rules: &Rules, needs: &[(&str, usize, Duration)], now: Time) {
        let demands = needs.iter().filter_map(|&(pool, hosts, duration)| {
            let pool = self.inventory.find_pool(&name(pool))?;
            Some(Demand {
                pool,
                hosts,
                duration,
            })
        });
        let demands: Vec<Demand> = demands.collect();
        let mut proposals = moves::plan(&self.inventory, rules, &demands, now);
        proposals.retain(|proposal| {
            let mut pending = self.pending.iter();
            !pending.any(|pending| pending.proposal.subject == proposal.subject)
        });
        self.queue(proposals);
    }

    pub fn queue(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            self.sequence += 1;
            let entry = Entry {
                subject: proposal.subject.clone(),
                basis: proposal.basis,
                value: Value::Reservation(proposal.value.clone()),
            };
            let origin = Origin {
                writer: self.writer.clone(),
                incarnation: 1,
                sequence: self.sequence,
            };
            let mut entries = vec![entry];
            if let Some(join) = &proposal.join {
                let pool = join.pool.clone();
                entries.push(Entry {
                    subject: Subject::Reservation(pool.clone()),
                    basis: join.reservation_basis,
                    value: Value::Reservation(join.reservation.clone()),
                });
                entries.push(Entry {
                    subject: Subject::Host(join.host.clone()),
                    basis: join.basis,
                    value: Value::Assignment(Assignment { pool }),
                });
            }
            self.pending.push_back(Pending {
                record: Record::Change(Change { origin, entries }),
                proposal,
                known_failures: self.known_failures.clone(),
            });
        }
    }
}
