//! Comparison of a document with the configuration in force.

use crate::fleet::View;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    document::Document,
    model::{
        Subject,
        Value, //
    },
};
use sassafrascrank_fleet::{
    Budget,
    Inventory, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Error,
    Origin,
    Record,
    State,
    Verdict, //
};
use std::collections::BTreeMap;

/// What a document does to a subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The subject has no value yet.
    Add,
    /// The value differs from the one in force.
    Change,
    /// The value in force is removed.
    Remove,
}

/// A host that changes its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The host.
    pub host: Name,
    /// Its pool now.
    pub from: Option<Name>,
    /// Its pool under the document.
    pub to: Option<Name>,
}

/// A pool that would be below its budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortage {
    /// The pool.
    pub pool: Name,
    /// Its availability now; `None` if it is new.
    pub before: Option<Budget>,
    /// Its availability under the document.
    pub after: Budget,
}

impl Shortage {
    /// Returns whether the document causes the shortage or makes it larger than it already is.
    pub fn is_new(&self) -> bool {
        let missing = |budget: &Budget| budget.needed.saturating_sub(budget.available());
        let before = self.before.as_ref().map_or(0, missing);
        missing(&self.after) > before
    }
}

/// What a document would change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Preview {
    /// Offset of the configuration that it was compared with.
    pub version: u64,
    /// Subjects that differ from what is in force, with the offset of the value in force.
    pub effects: Vec<(Subject, Effect, u64)>,
    /// Subjects that stay as they are.
    pub unchanged: usize,
    /// Why the ledger would reject the document, if it would.
    pub rejection: Option<Error>,
    /// Hosts that change their pool.
    pub moves: Vec<Move>,
    /// Pools that would be below their budget; empty if the document would be rejected.
    pub shortages: Vec<Shortage>,
}

impl Preview {
    /// Applies the document to the view as if it were the next record of the log, and compares the states before and
    /// after.
    pub fn new(view: &mut View, document: &Document) -> Self {
        let values = document.values.iter();
        let compared =
            values.map(|(subject, value)| (subject, compare(&view.state, subject, value)));
        let changed = compared.filter_map(|(subject, effect)| {
            Some((subject.clone(), effect?, view.state.basis(subject)))
        });
        let effects: Vec<_> = changed.collect();
        let moves = effects.iter().filter_map(|(subject, _, _)| {
            let value = document.values.get(subject)?;
            find_move(&view.state, subject, value)
        });
        let mut preview = Self {
            version: view.state.version().0,
            unchanged: document.values.len() - effects.len(),
            moves: moves.collect(),
            effects,
            rejection: None,
            shortages: Vec::new(),
        };
        let before = compute_budgets(&view.inventory);
        match apply(&mut view.state, document) {
            Verdict::Invalid(error) => preview.rejection = Some(error),
            _ => {
                view.refresh();
                preview.shortages = find_shortages(&before, compute_budgets(&view.inventory));
            }
        }
        preview
    }

    /// Returns whether the document would be accepted and take no pool below its budget.
    pub fn is_safe(&self) -> bool {
        self.rejection.is_none() && !self.shortages.iter().any(Shortage::is_new)
    }
}

fn compare(state: &State, subject: &Subject, value: &Value) -> Option<Effect> {
    let held = state.get(subject).map(|held| &held.value);
    let held = held.filter(|held| **held != Value::Removed);
    match (held, value) {
        (None, Value::Removed) => None,
        (None, _) => Some(Effect::Add),
        (Some(_), Value::Removed) => Some(Effect::Remove),
        (Some(held), value) if held == value => None,
        (Some(_), _) => Some(Effect::Change),
    }
}

fn find_move(state: &State, subject: &Subject, value: &Value) -> Option<Move> {
    let Subject::Host(host) = subject else {
        return None;
    };
    let pool = |value: &Value| match value {
        Value::Assignment(assignment) => Some(assignment.pool.clone()),
        _ => None,
    };
    Some(Move {
        host: host.clone(),
        from: state.get(subject).and_then(|held| pool(&held.value)),
        to: pool(value),
    })
}

/// Applies the document as the next record. Its entries are based on the values in force, so it can't be stale.
fn apply(state: &mut State, document: &Document) -> Verdict {
    let values = document.values.iter();
    let entries = values.map(|(subject, value)| Entry {
        subject: subject.clone(),
        basis: state.basis(subject),
        value: value.clone(),
    });
    let change = Change {
        // No writer has this incarnation, so the record is not dropped as a duplicate.
        origin: Origin {
            writer: Name::placeholder(),
            incarnation: u64::MAX,
            sequence: 1,
        },
        entries: entries.collect(),
    };
    let next = state.next();
    state.apply(next, Ok(Record::Change(change)))
}

fn compute_budgets(inventory: &Inventory) -> BTreeMap<Name, Budget> {
    let pools = inventory.pools();
    let budgets = pools.map(|(key, pool)| {
        let budget = Budget::new(inventory, key, &pool.reservation);
        (pool.name.clone(), budget)
    });
    budgets.collect()
}

fn find_shortages(before: &BTreeMap<Name, Budget>, after: BTreeMap<Name, Budget>) -> Vec<Shortage> {
    let short = after.into_iter().filter(|(_, budget)| !budget.is_met());
    let shortages = short.map(|(pool, after)| Shortage {
        before: before.get(&pool).copied(),
        pool,
        after,
    });
    shortages.collect()
}
