//! Simulation of the entries of one zone with a log, messages and callers, under faults drawn from a seed.

mod call;
mod entry;
mod fault;
mod node;
mod simulation;
mod tally;

pub(crate) use fault::Fault;
pub(crate) use simulation::Simulation;
pub(crate) use tally::Tally;
