//! Checks of a change on its own and against the other values.

use super::{
    Error,
    table::Table, //
};
use crate::record::{
    Entry,
    Revision, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Contract,
    Reservation,
    Subject,
    Value, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Most entries in one change; the target size of 1,400 hosts fits into one.
pub const ENTRY_LIMIT: usize = 2_048;
/// Most customers, ten times the target size.
pub const CUSTOMER_LIMIT: usize = 1_000;
/// Most pools, five times the target size.
pub const POOL_LIMIT: usize = 1_000;
/// Most hosts, five times the target size.
pub const HOST_LIMIT: usize = 7_000;

/// Checks what needs no other value.
pub(super) fn check_entries(entries: &[Entry]) -> Result<(), Error> {
    if entries.is_empty() || entries.len() > ENTRY_LIMIT {
        return Err(Error::Entries {
            count: entries.len(),
            limit: ENTRY_LIMIT,
        });
    }
    let mut subjects = BTreeSet::new();
    for entry in entries {
        if !subjects.insert(&entry.subject) {
            return Err(Error::Duplicate(entry.subject.clone()));
        }
        check_kind(&entry.subject, &entry.value)?;
    }
    Ok(())
}

/// Checks that the value is of the subject's kind.
pub(super) fn check_kind(subject: &Subject, value: &Value) -> Result<(), Error> {
    match (subject, value) {
        (_, Value::Removed)
        | (Subject::Customer(_), Value::Contract(_))
        | (Subject::Pool(_), Value::Pool(_))
        | (Subject::Host(_), Value::Assignment(_))
        | (Subject::Reservation(_), Value::Reservation(_)) => Ok(()),
        _ => Err(Error::Kind(subject.clone())),
    }
}

/// Checks the values of `subjects`, which are already in the table, against all others.
pub(super) fn check_table(table: &Table, subjects: &[Subject]) -> Result<(), Error> {
    let mut pools = BTreeSet::new();
    let mut moved = false;
    for subject in subjects {
        moved |= matches!(subject, Subject::Host(_));
        match (subject, table.get(subject).map(|held| &held.value)) {
            (_, Some(Value::Contract(contract))) => {
                check_pools(table, subject, contract)?;
                check_credential(table, subject, contract)?;
                pools.extend(contract.shares.iter().map(|(pool, _)| pool));
            }
            (_, Some(Value::Assignment(assignment))) => {
                check_pool(table, subject, &assignment.pool)?;
            }
            (Subject::Reservation(pool), Some(Value::Reservation(reservation))) => {
                check_reservation(table, pool, reservation)?;
            }
            (Subject::Pool(pool), Some(Value::Removed)) => check_unused(table, pool)?,
            _ => {}
        }
    }
    if moved {
        check_reservations(table)?;
    }
    check_shares(table, &pools)?;
    check_size(table)
}

fn check_pools(table: &Table, subject: &Subject, contract: &Contract) -> Result<(), Error> {
    let mut pools = contract.shares.iter();
    pools.try_for_each(|(pool, _)| check_pool(table, subject, pool))
}

fn check_pool(table: &Table, subject: &Subject, pool: &Name) -> Result<(), Error> {
    let held = table.get(&Subject::Pool(pool.clone()));
    if held.is_some_and(|held| held.value != Value::Removed) {
        return Ok(());
    }
    Err(Error::PoolUnknown {
        subject: subject.clone(),
        pool: pool.clone(),
    })
}

/// Checks that every host that is reserved in `pool` is assigned to it.
fn check_reservation(table: &Table, pool: &Name, reservation: &Reservation) -> Result<(), Error> {
    let assigned = |host: &&Name| {
        let held = table.get(&Subject::Host((*host).clone()));
        held.is_some_and(
            |held| matches!(&held.value, Value::Assignment(theirs) if theirs.pool == *pool),
        )
    };
    match reservation.hosts.keys().find(|host| !assigned(host)) {
        Some(host) => Err(Error::Reserved {
            host: host.clone(),
            pool: pool.clone(),
        }),
        None => Ok(()),
    }
}

fn check_reservations(table: &Table) -> Result<(), Error> {
    // Reservations come last in the order of subjects.
    let values = table.iter().rev();
    let mut reservations = values.map_while(|(subject, held)| match (subject, &held.value) {
        (Subject::Reservation(pool), value) => Some((pool, value)),
        _ => None,
    });
    reservations.try_for_each(|(pool, value)| match value {
        Value::Reservation(reservation) => check_reservation(table, pool, reservation),
        _ => Ok(()),
    })
}

fn check_credential(table: &Table, subject: &Subject, contract: &Contract) -> Result<(), Error> {
    let same = |(other, theirs): &(&Subject, &Contract)| {
        *other != subject && theirs.digest == contract.digest
    };
    match contracts(table).find(same) {
        Some((other, _)) => Err(Error::Credential {
            subject: subject.clone(),
            other: other.clone(),
        }),
        None => Ok(()),
    }
}

fn check_unused(table: &Table, pool: &Name) -> Result<(), Error> {
    let uses = |held: &Revision| match &held.value {
        Value::Contract(contract) => contract.share(pool).is_some(),
        Value::Assignment(assignment) => assignment.pool == *pool,
        _ => false,
    };
    match table.iter().find(|(_, held)| uses(held)) {
        Some((user, _)) => Err(Error::PoolUsed {
            pool: pool.clone(),
            user: user.clone(),
        }),
        None => Ok(()),
    }
}

fn check_shares(table: &Table, pools: &BTreeSet<&Name>) -> Result<(), Error> {
    if pools.is_empty() {
        return Ok(());
    }
    let mut totals: BTreeMap<&Name, u64> = BTreeMap::new();
    let shares = contracts(table).flat_map(|(_, contract)| &contract.shares);
    for (pool, share) in shares.filter(|(pool, _)| pools.contains(pool)) {
        *totals.entry(pool).or_default() += u64::from(*share);
    }
    match totals.into_iter().find(|&(_, total)| total > 100) {
        Some((pool, total)) => Err(Error::Share {
            pool: pool.clone(),
            total,
        }),
        None => Ok(()),
    }
}

fn check_size(table: &Table) -> Result<(), Error> {
    let (mut customers, mut pools, mut hosts, mut reservations) = (0, 0, 0, 0);
    for (_, held) in table.iter() {
        match held.value {
            Value::Contract(_) => customers += 1,
            Value::Pool(_) => pools += 1,
            Value::Assignment(_) => hosts += 1,
            Value::Reservation(_) => reservations += 1,
            Value::Removed => {}
        }
    }
    let counts = [
        ("customers", customers, CUSTOMER_LIMIT),
        ("pools", pools, POOL_LIMIT),
        ("hosts", hosts, HOST_LIMIT),
        ("reservations", reservations, POOL_LIMIT),
    ];
    match counts.into_iter().find(|&(_, count, limit)| count > limit) {
        Some((kind, count, limit)) => Err(Error::Full { kind, count, limit }),
        None => Ok(()),
    }
}

fn contracts(table: &Table) -> impl Iterator<Item = (&Subject, &Contract)> {
    // Customers come first in the order of subjects.
    let customers = table
        .iter()
        .take_while(|(subject, _)| matches!(subject, Subject::Customer(_)));
    customers.filter_map(|(subject, held)| match &held.value {
        Value::Contract(contract) => Some((subject, contract.as_ref())),
        _ => None,
    })
}
