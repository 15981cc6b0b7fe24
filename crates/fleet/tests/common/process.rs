//! A planner process: it reads the log and the reports with a lag and may lose answers.

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

/// A decision on its way to the log, with the failures that it knew of.
pub struct Pending {
    pub record: Record,
    pub proposal: Proposal,
    pub known: BTreeSet<Name>,
}

pub struct Process {
    pub writer: Name,
    pub sequence: u64,
    pub state: State,
    pub inventory: Inventory,
    pub pending: VecDeque<Pending>,
    pub known: BTreeSet<Name>,
    pub seen: usize,
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
            known: BTreeSet::new(),
            seen: 0,
        }
    }

    /// Folds all but the newest `behind` records.
    pub fn read_log(&mut self, world: &World, behind: u64) {
        let end = (world.log.len() as u64).saturating_sub(behind);
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
                let held = self.state.get(&subject).unwrap();
                self.inventory
                    .set(&subject, held.offset, &held.value, world.now);
            }
        }
    }

    /// Takes the reports of `behind` steps ago.
    pub fn read_reports(&mut self, world: &World, behind: usize) {
        let last = world
            .reports
            .len()
            .saturating_sub(1 + behind)
            .max(self.seen);
        let Some((at, reports)) = world.reports.get(last) else {
            return;
        };
        if last == self.seen && last > 0 {
            return;
        }
        self.seen = last;
        self.known.clear();
        for (host, report) in world.hosts.iter().zip(reports) {
            self.inventory.observe(&host.name, *report);
            if matches!(report.health, Health::Failed { .. }) {
                self.known.insert(host.name.clone());
            }
        }
        self.inventory.set_observed(*at);
    }

    /// Decides and queues the records.
    pub fn decide(&mut self, rules: &Rules, now: Time) {
        let proposals = wave::plan(&self.inventory, rules, now);
        self.queue(proposals);
    }

    /// Decides about moves, given the hosts that each pool needs; pools that the wave changes come later.
    pub fn decide_moves(&mut self, rules: &Rules, needs: &[(&str, usize, Duration)], now: Time) {
        let demands = needs.iter().filter_map(|&(pool, hosts, lasting)| {
            let pool = self.inventory.find_pool(&name(pool))?;
            Some(Demand {
                pool,
                hosts,
                lasting,
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
                known: self.known.clone(),
            });
        }
    }
}
