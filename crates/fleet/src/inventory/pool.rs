//! A pool, as described by log records.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model;
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// A pool and the hosts assigned to it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Policy; `None` if the pool is not configured.
    pub policy: Option<Arc<model::Pool>>,
    /// Offset of the policy record, 0 if there is none.
    pub policy_offset: u64,
    /// Hosts that are out of service, and the state of the wave in this pool.
    pub reservation: Arc<model::Reservation>,
    /// Offset of the reservation record; `None` if the pool never had one.
    pub reservation_offset: Option<u64>,
    /// Hosts assigned to the pool, ordered by name.
    pub hosts: Vec<host::Key>,
    /// Absence of each reserved host, and when this process first read it in its current step.
    pub first_reads: BTreeMap<Name, (model::Absence, Time)>,
}

impl Pool {
    /// Returns how long a host has been in the current step of its absence.
    ///
    /// The time counts from when the record was read, because a process that was suspended may append a record long
    /// after it made the decision.
    pub fn time_in_step(&self, host: &Name, absence: model::Absence, now: Time) -> Duration {
        match self.first_reads.get(host) {
            Some(&(read, at)) if read == absence => now.since(at.max(absence.since)),
            _ => Duration::ZERO,
        }
    }

    /// Returns when this process first read that the host is in the current step of its absence.
    pub fn first_read_at(&self, host: &Name, absence: model::Absence) -> Option<Time> {
        let read = self
            .first_reads
            .get(host)
            .filter(|&&(read, _)| read == absence);
        read.map(|&(_, at)| at)
    }

    /// Sets the reservation that was recorded at `offset` and read at `now`.
    pub(super) fn set_reservation(
        &mut self,
        reservation: Arc<model::Reservation>,
        offset: u64,
        now: Time,
    ) {
        let read = core::mem::take(&mut self.first_reads);
        let first = |host: &Name, absence| match read.get(host) {
            Some(&(before, at)) if before == absence => at,
            _ => now,
        };
        let hosts = reservation.hosts.iter();
        self.first_reads = hosts
            .map(|(host, &absence)| (host.clone(), (absence, first(host, absence))))
            .collect();
        self.reservation = reservation;
        self.reservation_offset = Some(offset);
    }
}
