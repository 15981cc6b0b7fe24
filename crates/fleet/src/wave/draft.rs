//! Proposed change of one pool's reservation.

use crate::inventory::{
    Host,
    Inventory,
    Pool, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Cause,
    Finish,
    Maintenance,
    Progress,
    Reservation,
    Step,
    Subject, //
};
use std::sync::Arc;

/// One effect of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The pool starts the wave with this number.
    Begin(u64),
    /// A host failed.
    Failed(Name),
    /// A failed host is in service again.
    Recovered(Name),
    /// A host starts draining for maintenance.
    Drain(Name),
    /// A host returns to service without maintenance or move.
    Withdraw(Name),
    /// A drained host may be rebooted or moved.
    Out(Name),
    /// A rebooted host starts its probation.
    Return(Name),
    /// A host starts draining in order to move to the second name, its new pool.
    Leave(Name, Name),
    /// A drained host is assigned to the second name, its new pool.
    Join(Name, Name),
    /// A host finished the wave with this result.
    Finish(Name, Maintenance),
    /// The wave is paused, stopped or resumed.
    Progress(Progress),
}

/// Assignment of a drained host to its new pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Join {
    /// Host that moves.
    pub host: Name,
    /// Offset of the host's assignment that the decision is based on.
    pub basis: u64,
    /// New pool of the host.
    pub pool: Name,
    /// Offset of the new pool's reservation that the decision is based on.
    pub reservation_basis: u64,
    /// Reservation of the new pool. It is part of the change because the pool's budget grows with the new host.
    pub reservation: Arc<Reservation>,
}

/// Change of one reservation, to be appended to the log with its basis.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Subject of the reservation.
    pub subject: Subject,
    /// Offset of the reservation that the decision is based on.
    pub basis: u64,
    /// New value of the reservation.
    pub value: Arc<Reservation>,
    /// Assignment that changes in the same record, if any.
    pub join: Option<Join>,
    /// Effects of the proposal, in the order of decision.
    pub actions: Vec<Action>,
}

/// A reservation that is being edited. Its times are whole milliseconds, as in records.
pub(crate) struct Draft {
    pub(crate) value: Arc<Reservation>,
    pub(super) actions: Vec<Action>,
    join: Option<Join>,
    pub(super) now: Time,
}

impl Draft {
    pub(crate) fn new(pool: &Pool, now: Time) -> Self {
        Self {
            value: pool.reservation.clone(),
            actions: Vec::new(),
            join: None,
            now: Time::from_millis(now.as_millis()),
        }
    }

    /// Returns the proposal, or `None` if nothing was changed.
    pub(crate) fn into_proposal(self, inventory: &Inventory, pool: &Pool) -> Option<Proposal> {
        if self.actions.is_empty() {
            return None;
        }
        Some(Proposal {
            subject: Subject::Reservation(pool.name.clone()),
            basis: inventory.basis(pool),
            value: self.value,
            actions: self.actions,
            join: self.join,
        })
    }

    /// Returns the reservation for editing; the first call copies the shared value.
    fn edit(&mut self) -> &mut Reservation {
        Arc::make_mut(&mut self.value)
    }

    /// Starts the wave with this number and clears the results of the previous one.
    pub(super) fn begin(&mut self, number: u64) {
        self.edit().wave.number = number;
        self.edit().wave.started = self.now;
        self.edit().wave.since = self.now;
        self.edit().finished.clear();
        self.actions.push(Action::Begin(number));
    }

    pub(super) fn set_progress(&mut self, progress: Progress) {
        self.edit().wave.progress = progress;
        self.edit().wave.since = self.now;
        self.actions.push(Action::Progress(progress));
    }

    pub(super) fn record_failure(&mut self, host: &Name, since: Time) {
        let since = Time::from_millis(since.as_millis());
        self.edit().failed.insert(host.clone(), since);
        self.actions.push(Action::Failed(host.clone()));
    }

    pub(super) fn record_recovery(&mut self, host: &Name) {
        self.edit().failed.remove(host);
        self.actions.push(Action::Recovered(host.clone()));
    }

    pub(super) fn set_step(&mut self, host: &Name, step: Step) {
        let absence = Absence {
            step,
            since: self.now,
            wave: self.value.wave.number,
        };
        self.edit().hosts.insert(host.clone(), absence);
        let host = host.clone();
        self.actions.push(match step {
            Step::Draining => Action::Drain(host),
            Step::Out => Action::Out(host),
            Step::Returning => Action::Return(host),
        });
    }

    /// Returns a reserved host to service, without maintenance or move.
    pub(crate) fn withdraw(&mut self, host: &Name) {
        self.edit().hosts.remove(host);
        self.edit().moves.remove(host);
        self.actions.push(Action::Withdraw(host.clone()));
    }

    /// Starts to drain a host that moves to `pool`.
    pub(crate) fn leave(&mut self, host: &Name, pool: &Name) {
        self.set_step(host, Step::Draining);
        self.edit().moves.insert(host.clone(), pool.clone());
        self.actions.push(Action::Leave(host.clone(), pool.clone()));
    }

    /// Returns whether the draft assigns a host to another pool.
    pub(crate) fn has_join(&self) -> bool {
        self.join.is_some()
    }

    /// Assigns a drained host to the pool `target`; a draft holds at most one such assignment.
    pub(crate) fn join(&mut self, inventory: &Inventory, host: &Host, target: &Pool) {
        let mut reservation = target.reservation.as_ref().clone();
        let finish = self.edit().finished.remove(&host.name);
        if let Some(finish) = finish
            && reservation.wave.number == self.value.wave.number
        {
            reservation.finished.insert(host.name.clone(), finish);
        }
        self.edit().hosts.remove(&host.name);
        self.edit().moves.remove(&host.name);
        self.actions
            .push(Action::Join(host.name.clone(), target.name.clone()));
        self.join = Some(Join {
            host: host.name.clone(),
            basis: host.assignment_offset,
            pool: target.name.clone(),
            reservation_basis: inventory.basis(target),
            reservation: Arc::new(reservation),
        });
    }

    pub(super) fn finish_host(&mut self, host: &Name, result: Maintenance) {
        self.edit().hosts.remove(host);
        let at = self.now;
        self.edit()
            .finished
            .insert(host.clone(), Finish { at, result });
        self.actions.push(Action::Finish(host.clone(), result));
    }

    /// Stops the wave if it is running.
    pub(super) fn stop(&mut self, cause: Cause) {
        if self.value.wave.progress == Progress::Running {
            self.set_progress(Progress::Stopped(cause));
        }
    }
}
