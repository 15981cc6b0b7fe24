//! Hosts as a table.

use crate::fleet::{
    View,
    describe_step,
    or_dash, //
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::inventory::Pool;
use sassafrascrank_platform::Condition;
use serde::Serialize;
use std::collections::BTreeSet;

/// Table of hosts, ordered by name.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Table {
    /// One row for each host.
    pub hosts: Vec<Row>,
}

/// A host.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Its name.
    pub host: String,
    /// The pool that it is assigned to.
    pub pool: Option<String>,
    /// Zone; `None` unless the platform lists the host.
    pub zone: Option<String>,
    /// Rack; `None` unless the platform lists the host.
    pub rack: Option<String>,
    /// `live`, `leaving`, `failed` or `unlisted`.
    pub condition: &'static str,
    /// Step of its voluntary absence: `draining`, `out` or `returning`.
    pub step: Option<&'static str>,
    /// Pool that it moves to.
    pub target: Option<String>,
}

impl Table {
    /// Makes the rows of the hosts in `pool`, or of all hosts if it is `None`.
    pub fn new(view: &View, pool: Option<&Name>) -> Self {
        let assigned = view.state.hosts().map(|(name, _, _)| name);
        let names: BTreeSet<&Name> = assigned.chain(view.listed.keys()).collect();
        let rows = names.into_iter().map(|name| Row::new(view, name));
        let is_shown = |row: &Row| match pool {
            Some(pool) => row.pool.as_deref() == Some(pool.as_str()),
            None => true,
        };
        Self {
            hosts: rows.filter(is_shown).collect(),
        }
    }
}

impl Row {
    fn new(view: &View, name: &Name) -> Self {
        let key = view.inventory.find_host(name);
        let host = key.and_then(|key| view.inventory.host(key));
        let pool = host
            .and_then(|host| host.pool)
            .and_then(|key| view.inventory.pool(key));
        let listed = view.listed.get(name);
        let absence = pool.and_then(|pool| pool.reservation.hosts.get(name));
        let target = pool.and_then(|pool| pool.reservation.moves.get(name));
        Self {
            host: name.to_string(),
            pool: pool.map(|pool| pool.name.to_string()),
            zone: listed.map(|host| host.zone.to_string()),
            rack: listed.map(|host| host.rack.to_string()),
            condition: describe_condition(listed.map(|host| host.condition), pool, name),
            step: absence.map(|absence| describe_step(absence.step)),
            target: target.map(Name::to_string),
        }
    }
}

fn describe_condition(
    condition: Option<Condition>,
    pool: Option<&Pool>,
    name: &Name,
) -> &'static str {
    let is_recorded_as_failed = pool.is_some_and(|pool| pool.reservation.failed.contains_key(name));
    match condition {
        None => "unlisted",
        Some(Condition::Leaving) => "leaving",
        Some(Condition::Live) if is_recorded_as_failed => "failed",
        Some(Condition::Live) => "live",
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<16} {:<12} {:<16} {:<9} step",
            "host", "pool", "zone", "rack", "condition"
        )?;
        for row in &self.hosts {
            write!(
                f,
                "{:<16} {:<16} {:<12} {:<16} {:<9} {}",
                row.host,
                or_dash(row.pool.as_ref()),
                or_dash(row.zone.as_ref()),
                or_dash(row.rack.as_ref()),
                row.condition,
                row.step.unwrap_or("-")
            )?;
            match &row.target {
                Some(target) => writeln!(f, ", moves to {target}")?,
                None => writeln!(f)?,
            }
        }
        Ok(())
    }
}
