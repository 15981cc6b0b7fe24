//! Simulation, configuration and invariants of the random schedules.

pub(crate) mod check;
pub(crate) mod config;
pub(crate) mod fixture;
pub(crate) mod simulation;
