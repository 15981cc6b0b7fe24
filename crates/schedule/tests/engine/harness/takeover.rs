//! Changes of the leader.

use super::{
    Harness,
    harness::{
        ENTRY,
        TICK, //
    },
};
use sassafrascrank_base::{
    epoch,
    prelude::*, //
};
use sassafrascrank_schedule::{
    engine::{
        Engine,
        Permission,
        Takeover, //
    },
    runner::{
        Change,
        Listed, //
    },
};

impl Harness {
    /// Lets the engine decide, and stores its records. The leader is lost before it gives an order.
    pub(crate) fn decide_without_orders(&mut self) {
        let now = self.time();
        self.engine.tick(Permission::Start, now, now);
        for record in self.engine.take_records().unwrap_or_default() {
            self.append(record);
        }
        self.add_line("leader lost");
    }

    /// Runs the engine for the given number of milliseconds, while the log stores nothing.
    pub(crate) fn run_unstored_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            let now = self.time();
            self.engine.tick(Permission::Start, now, now);
            for order in self.engine.take_orders() {
                self.execute(order);
            }
        }
        self.add_line("log stored nothing");
    }

    /// Replaces the engine by that of a new leader, which knows what the log and the service list have.
    pub(crate) fn take_over(&mut self) {
        self.take_over_with(self.service_list());
    }

    /// Replaces the engine by that of a new leader, which knows what the log has, and the given service list.
    pub(crate) fn take_over_with(&mut self, list: Vec<Listed>) {
        let ordered = self.time() + self.rules.leader_lease;
        self.replace_engine(list, ordered);
    }

    /// Replaces the engine by that of a new leader, after the former one has resigned and gives no more orders.
    pub(crate) fn take_over_after_resignation(&mut self) {
        self.replace_engine(self.service_list(), self.time());
    }

    /// Replaces the engine by that of a new leader. Former leaders may give orders until `ordered`.
    fn replace_engine(&mut self, list: Vec<Listed>, ordered: Time) {
        let now = self.time();
        self.epoch = epoch::next(Some(self.epoch), ENTRY);
        let takeover = Takeover {
            epoch: self.epoch,
            runs_until: self.rules.lease_expiry(ordered),
            observed: now,
            hosts: self.replica.host_orders().clone(),
            leases: self.replica.leases().clone(),
        };
        let mut engine = Engine::new(self.rules, takeover, &self.config, now);
        for listed in list {
            engine.update_runner(Change::Set(listed), now);
        }
        for (_, entry) in self.replica.jobs() {
            engine.restore_job(entry, now, now);
        }
        self.engine = engine;
        self.add_line("another leader");
    }
}
