//! Membership, reports from peers and handover of outcomes, on the dispatch thread.

use super::{
    Directive,
    dispatch::Dispatch, //
};
use crate::peer::{
    Notice,
    PeerReport, //
};
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_claim::{
    lease::State,
    member::{
        Change,
        Effect,
        Entry,
        Record,
        View, //
    },
};
use sassafrascrank_dispatch::engine::{
    Demand,
    Peer, //
};
use sassafrascrank_observe::event::{
    Event,
    Kind, //
};
use sassafrascrank_peer::message::{
    Demand as ReportedDemand,
    DrainNotice,
    Handover,
    PoolHash, //
};
use sassafrascrank_route::DrainSource;

/// Remaining lease time below which peers are asked to confirm the view. A lease of 5 s gets there when the log has not
/// confirmed the view for 2 s.
const CONFIRMATION_THRESHOLD: Duration = Duration::from_secs(3);

impl Dispatch {
    pub(super) fn apply_members(&mut self, now: Time, read: Time, records: &[(u64, Record)]) {
        for (offset, record) in records {
            // There is no gap in the offsets, because the platform thread sends every record of the stream.
            let effect = self.keyed.lease.apply(read, *offset, record);
            match effect {
                Ok(Effect::Joined(entry, zone)) => self.record_join(now, *offset, entry, &zone),
                Ok(Effect::Departed(entry, _)) => {
                    self.record_departure(now, *offset, &entry, record)
                }
                Ok(Effect::Repeat | Effect::Ignored) | Err(_) => {}
            }
        }
        self.keyed.remove_stale_listeners();
        self.hand_over_if_departed(now);
        self.rejoin_if_retired(now);
    }

    pub(super) fn import_view(&mut self, now: Time, view: &View) {
        self.keyed.lease.import(now, view.clone());
        self.keyed.remove_stale_listeners();
        self.rejoin_if_retired(now);
    }

    /// Joins again as a new incarnation after peers retired this entry while it was paused or disconnected.
    fn rejoin_if_retired(&mut self, now: Time) {
        if self.leaving || self.keyed.lease.state() != State::Departed {
            return;
        }
        let entry = self.keyed.renew_lease(now);
        self.engine
            .set_identity(hash::identity(&entry.host, entry.incarnation));
        self.notify(Notice::NewIncarnation(entry));
    }

    /// Extends the lease; joins if this entry has not joined yet and the stream has now been read to its end.
    pub(super) fn confirm_view(&mut self, start: Time, end: u64) {
        self.keyed.lease.confirm(start, end);
        if self.keyed.lease.state() == State::Outside
            && let Ok(record) = self.keyed.lease.join(self.address)
        {
            self.append(record);
        }
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        if let Ok(record) = self.keyed.lease.leave() {
            self.append(record);
        }
    }

    pub(super) fn retire(&mut self, entry: Entry) {
        match self.keyed.lease.retire(entry.clone()) {
            Ok(record) => self.append(record),
            Err(_) => self.notify(Notice::PostponeRetirement(entry)),
        }
    }

    /// Applies a report of another entry.
    pub(super) fn apply_report(&mut self, now: Time, report: PeerReport) {
        self.apply_demand(now, &report);
        let entry = report.entry;
        if let Some(request) = &report.request
            && let Some(answer) = self.keyed.lease.answer(request)
        {
            self.notify(Notice::Confirmation(entry.clone(), answer));
        }
        if let Some(answer) = &report.answer {
            self.keyed.lease.record_answer(answer);
        }
        if let Some(join_ack) = &report.join_ack {
            self.keyed.lease.accept_join_ack(now, join_ack);
        }
        if report.joining
            && let Some(join_ack) = self.keyed.lease.acknowledge_join(&entry)
        {
            self.notify(Notice::JoinAck(join_ack));
        }
        for notice in &report.drain_notices {
            self.apply_drain_notice(now, notice);
        }
        self.keyed.set_listener(entry, report.callers);
    }

    /// Sends the content of the next reports to the peer thread.
    pub(super) fn prepare_reports(&mut self, now: Time) {
        let pools = &self.snapshot.pools;
        let demands = self
            .engine
            .report_demand(now)
            .into_iter()
            .filter_map(|demand| {
                let pool = pools.iter().find(|pool| pool.key == demand.pool)?;
                Some(ReportedDemand {
                    pool: PoolHash::of(&pool.name),
                    millislots: demand.millislots,
                    spill_millislots: demand.spill_millislots,
                })
            });
        let demands = demands.collect();
        let joining = matches!(self.keyed.lease.state(), State::Joining(_));
        self.notify(Notice::Demand { demands, joining });
        if self.keyed.lease.horizon() < now + CONFIRMATION_THRESHOLD {
            let requests = self.keyed.lease.request_confirmations(now);
            self.notify(Notice::ConfirmationRequests(requests));
        }
    }

    /// Replaces the tags of pools by their keys; leaves out demands for unknown pools.
    fn resolve_pools(&self, demands: &[ReportedDemand]) -> Vec<Demand> {
        let pools = &self.snapshot.pools;
        let demands = demands.iter().filter_map(|demand| {
            let pool = pools
                .iter()
                .find(|pool| PoolHash::of(&pool.name) == demand.pool)?;
            Some(Demand {
                pool: pool.key,
                millislots: demand.millislots,
                spill_millislots: demand.spill_millislots,
            })
        });
        demands.collect()
    }

    /// Accepts outcomes of keys that moved to this entry.
    pub(super) fn accept_handover(&mut self, now: Time, number: u64, handover: Handover) {
        let result = self.keyed.accept(now, handover);
        self.notify(Notice::HandoverResult(
            number,
            result.map_err(|error| error.to_string()),
        ));
    }

    /// Hands outcomes over as soon as this entry has read its departure back from the log.
    pub(super) fn hand_over(&mut self, now: Time) {
        self.handing_over = true;
        self.hand_over_if_departed(now);
    }

    /// Tells the peers that an upstream is draining.
    pub(super) fn announce_drain(&mut self, upstream: upstream::Key) {
        let entry = self
            .snapshot
            .upstreams
            .iter()
            .find(|entry| entry.key == upstream);
        if let Some(entry) = entry {
            let drain_notice = DrainNotice {
                host: entry.host.clone(),
                incarnation: entry.incarnation,
            };
            self.notify(Notice::UpstreamDraining(drain_notice));
        }
    }

    fn hand_over_if_departed(&mut self, now: Time) {
        if !self.handing_over || self.keyed.lease.state() != State::Departed {
            return;
        }
        self.handing_over = false;
        let view = self.keyed.lease.view().clone();
        let members = view.zones.values().flat_map(|zone| &zone.members);
        let mut handed_over = 0;
        for member in members {
            if let Some(handover) = self.keyed.export(&member.entry) {
                handed_over += handover.items.len() as u64;
                self.notify(Notice::HandOver(Box::new(handover), member.address));
            }
        }
        let event = Event::new(now, Kind::ShutdownHandedOver).detail(handed_over);
        self.recorder.record(event);
        self.notify(Notice::Stop);
    }

    fn record_join(&mut self, now: Time, offset: u64, entry: Entry, zone: &Name) {
        self.recorder
            .record(Event::new(now, Kind::MemberJoined).detail(offset));
        let zones = &self.snapshot.zones;
        if let Some((_, key)) = zones.iter().find(|(name, _)| name == zone) {
            let id = hash::identity(&entry.host, entry.incarnation);
            self.engine.add_peer(now, id, *key);
        }
        let member = self
            .keyed
            .lease
            .view()
            .zone(zone)
            .and_then(|zone| zone.member(&entry));
        let Some(address) = member.map(|member| member.address) else {
            return;
        };
        if let Some(handover) = self.keyed.export(&entry) {
            self.notify(Notice::HandOver(Box::new(handover), address));
        }
    }

    fn record_departure(&mut self, now: Time, offset: u64, entry: &Entry, record: &Record) {
        let kind = match record.change {
            Change::Retire { .. } => Kind::MemberRetired,
            Change::Join { .. } | Change::Leave { .. } => Kind::MemberLeft,
        };
        self.recorder.record(Event::new(now, kind).detail(offset));
        self.engine
            .remove_peer(hash::identity(&entry.host, entry.incarnation));
    }

    fn apply_demand(&mut self, now: Time, report: &PeerReport) {
        let zones = &self.snapshot.zones;
        let Some((_, zone)) = zones.iter().find(|(name, _)| *name == report.zone) else {
            return;
        };
        let demands = self.resolve_pools(&report.demands);
        let peer = Peer {
            id: hash::identity(&report.entry.host, report.entry.incarnation),
            availability_zone: *zone,
            last_report: now,
            demands,
        };
        self.engine.update_peer(peer);
    }

    fn apply_drain_notice(&mut self, now: Time, notice: &DrainNotice) {
        let found = self.snapshot.upstreams.iter().find(|upstream| {
            upstream.host == notice.host && upstream.incarnation == notice.incarnation
        });
        if let Some(key) = found.map(|upstream| upstream.key) {
            self.drain_upstream(now, key, DrainSource::Peer);
        }
    }

    fn append(&mut self, record: Record) {
        // An entry writes only a few records during its lifetime, far fewer than the ring holds.
        self.port.records.send(record).ok();
    }

    pub(super) fn notify(&mut self, notice: Notice) {
        // A notice that does not fit is dropped. The next report repeats its content; after a dropped handover, the new
        // owner of the keys answers "outcome unknown".
        self.port.peer.send(notice).ok();
    }

    /// Handles the directives that concern membership and peers.
    pub(super) fn take_peer_directive(&mut self, now: Time, directive: Directive) {
        match directive {
            Directive::Members { records, read } => self.apply_members(now, read, &records),
            Directive::ConfirmView { start, end } => self.confirm_view(start, end),
            Directive::ImportView(view) => self.import_view(now, &view),
            Directive::PeerReport(report) => self.apply_report(now, *report),
            Directive::DemandReported(demands) => {
                let demands = self.resolve_pools(&demands);
                self.engine.set_reported(demands);
            }
            Directive::PeerLost(entry) => {
                let id = hash::identity(&entry.host, entry.incarnation);
                self.engine.remove_peer(id);
            }
            Directive::Retire(entry) => self.retire(entry),
            Directive::AcceptHandover(number, handover) => {
                self.accept_handover(now, number, *handover)
            }
            Directive::Leave => self.leave(),
            Directive::HandOver => self.hand_over(now),
            Directive::Configure(_) | Directive::Drain | Directive::Stop => {}
        }
    }
}
