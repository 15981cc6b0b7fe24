//! A proposed change of one pool's reservation.

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

/// What a proposal does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The pool starts a wave.
    Begin(u64),
    /// A host failed on its own.
    Failed(Name),
    /// A failed host serves again.
    Recovered(Name),
    /// A host leaves service.
    Drain(Name),
    /// A draining host goes back to service.
    Withdraw(Name),
    /// A drained host may be rebooted.
    Out(Name),
    /// A rebooted host has to prove healthy.
    Return(Name),
    /// A host leaves service in order to join another pool.
    Leave(Name, Name),
    /// A drained host joins another pool.
    Join(Name, Name),
    /// A host is done.
    Finish(Name, Maintenance),
    /// The wave's state changes.
    Progress(Progress),
}

/// New assignment of a host that left its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Join {
    /// The host.
    pub host: Name,
    /// Offset of the assignment that the decision rests on.
    pub basis: u64,
    /// Its new pool.
    pub pool: Name,
    /// Offset of the new pool's reservation that the decision rests on.
    pub reservation_basis: u64,
    /// The new pool's reservation. It is part of the change, because the pool's budget grows with the pool.
    pub reservation: Arc<Reservation>,
}

/// A change of one reservation, to be appended with its basis.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The pool's reservation.
    pub subject: Subject,
    /// Offset of the value that the decision rests on.
    pub basis: u64,
    /// The new value.
    pub value: Arc<Reservation>,
    /// Assignment that changes together with it.
    pub join: Option<Join>,
    /// What it does.
    pub actions: Vec<Action>,
}

/// A reservation under change. Times in it are whole milliseconds, as in records.
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

    pub(crate) fn finish(self, inventory: &Inventory, pool: &Pool) -> Option<Proposal> {
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

    /// Copies the reservation at the first change.
    fn edit(&mut self) -> &mut Reservation {
        Arc::make_mut(&mut self.value)
    }

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

    pub(super) fn fail(&mut self, host: &Name, since: Time) {
        let since = Time::from_millis(since.as_millis());
        self.edit().failed.insert(host.clone(), since);
        self.actions.push(Action::Failed(host.clone()));
    }

    pub(super) fn recover(&mut self, host: &Name) {
        self.edit().failed.remove(host);
        self.actions.push(Action::Recovered(host.clone()));
    }

    pub(super) fn step(&mut self, host: &Name, step: Step) {
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

    pub(crate) fn withdraw(&mut self, host: &Name) {
        self.edit().hosts.remove(host);
        self.edit().moves.remove(host);
        self.actions.push(Action::Withdraw(host.clone()));
    }

    pub(crate) fn leave(&mut self, host: &Name, pool: &Name) {
        self.step(host, Step::Draining);
        self.edit().moves.insert(host.clone(), pool.clone());
        self.actions.push(Action::Leave(host.clone(), pool.clone()));
    }

    /// Returns whether a host joins another pool.
    pub(crate) fn joins(&self) -> bool {
        self.join.is_some()
    }

    /// Lets a drained host join another pool; a draft holds at most one join.
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
            basis: host.offset,
            pool: target.name.clone(),
            reservation_basis: inventory.basis(target),
            reservation: Arc::new(reservation),
        });
    }

    pub(super) fn end(&mut self, host: &Name, result: Maintenance) {
        self.edit().hosts.remove(host);
        let at = self.now;
        self.edit()
            .finished
            .insert(host.clone(), Finish { at, result });
        self.actions.push(Action::Finish(host.clone(), result));
    }

    /// Stops the wave if it runs.
    pub(super) fn stop(&mut self, cause: Cause) {
        if self.value.wave.progress == Progress::Running {
            self.set_progress(Progress::Stopped(cause));
        }
    }
}
