//! Membership, reports of peers and handover of outcomes.

use super::{
    Directive,
    dispatch::Dispatch, //
};
use crate::peer::{
    Heard,
    Notice, //
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
    Demand as Reported,
    DrainNotice as Leaving,
    Handover,
    PoolHash, //
};
use sassafrascrank_route::DrainSource;

/// Rest of the lease below which the peers are asked to confirm the view, since the log has not for 2 s.
const ASK_BELOW: Duration = Duration::from_secs(3);

impl Dispatch {
    pub(super) fn take_members(&mut self, now: Time, read: Time, records: &[(u64, Record)]) {
        for (offset, record) in records {
            // A gap can't arise: the platform thread reads the stream without leaving a record out.
            let effect = self.keyed.lease.apply(read, *offset, record);
            match effect {
                Ok(Effect::Joined(entry, zone)) => self.note_join(now, *offset, entry, &zone),
                Ok(Effect::Departed(entry, _)) => self.note_departure(now, *offset, &entry, record),
                Ok(Effect::Repeat | Effect::Ignored) | Err(_) => {}
            }
        }
        self.keyed.forget_listeners();
        self.hand_over_if_departed(now);
        self.rejoin_if_retired(now);
    }

    pub(super) fn import(&mut self, now: Time, view: &View) {
        self.keyed.lease.import(now, view.clone());
        self.keyed.forget_listeners();
        self.rejoin_if_retired(now);
    }

    /// Joins again as another incarnation after others retired this entry while it was paused or cut off.
    fn rejoin_if_retired(&mut self, now: Time) {
        if self.leaving || self.keyed.lease.state() != State::Departed {
            return;
        }
        let entry = self.keyed.renew(now);
        self.engine
            .set_identity(hash::identity(&entry.host, entry.incarnation));
        self.notify(Notice::Rename(entry));
    }

    /// Extends the lease, and joins when the stream has been read for the first time.
    pub(super) fn confirm(&mut self, start: Time, end: u64) {
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
            Err(_) => self.notify(Notice::Postpone(entry)),
        }
    }

    /// Takes what another entry reported.
    pub(super) fn hear(&mut self, now: Time, heard: Heard) {
        self.hear_demand(now, &heard);
        let entry = heard.entry;
        if let Some(request) = &heard.request
            && let Some(answer) = self.keyed.lease.answer(request)
        {
            self.notify(Notice::Answer(entry.clone(), answer));
        }
        if let Some(answer) = &heard.answer {
            self.keyed.lease.record_answer(answer);
        }
        if let Some(witness) = &heard.witness {
            self.keyed.lease.accept_join_ack(now, witness);
        }
        if heard.joining
            && let Some(witness) = self.keyed.lease.acknowledge_join(&entry)
        {
            self.notify(Notice::Testimony(witness));
        }
        for sign in &heard.signs {
            self.hear_sign(now, sign);
        }
        self.keyed.learn_listener(entry, heard.callers);
    }

    /// Tells the peer thread what the next reports carry.
    pub(super) fn report(&mut self, now: Time) {
        let pools = &self.snapshot.pools;
        let demands = self
            .engine
            .report_demand(now)
            .into_iter()
            .filter_map(|demand| {
                let pool = pools.iter().find(|pool| pool.key == demand.pool)?;
                Some(Reported {
                    pool: PoolHash::of(&pool.name),
                    millislots: demand.millislots,
                    spill_millislots: demand.spill_millislots,
                })
            });
        let demands = demands.collect();
        let joining = matches!(self.keyed.lease.state(), State::Joining(_));
        self.notify(Notice::Demand { demands, joining });
        if self.keyed.lease.horizon() < now + ASK_BELOW {
            let requests = self.keyed.lease.request_confirmations(now);
            self.notify(Notice::Requests(requests));
        }
    }

    /// Returns demands with the keys of pools in place of their tags.
    fn resolve(&self, demands: &[Reported]) -> Vec<Demand> {
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
    pub(super) fn accept(&mut self, now: Time, number: u64, handover: Handover) {
        let result = self.keyed.accept(now, handover);
        self.notify(Notice::Accepted(
            number,
            result.map_err(|error| error.to_string()),
        ));
    }

    /// Hands outcomes over as soon as the departure has been read back.
    pub(super) fn hand_over(&mut self, now: Time) {
        self.handing_over = true;
        self.hand_over_if_departed(now);
    }

    /// Tells the peers about an upstream that is leaving.
    pub(super) fn spread_sign(&mut self, upstream: upstream::Key) {
        let entry = self
            .snapshot
            .upstreams
            .iter()
            .find(|entry| entry.key == upstream);
        if let Some(entry) = entry {
            let sign = Leaving {
                host: entry.host.clone(),
                incarnation: entry.incarnation,
            };
            self.notify(Notice::Leaving(sign));
        }
    }

    fn hand_over_if_departed(&mut self, now: Time) {
        if !self.handing_over || self.keyed.lease.state() != State::Departed {
            return;
        }
        self.handing_over = false;
        let view = self.keyed.lease.view().clone();
        let members = view.zones.values().flat_map(|zone| &zone.members);
        let mut handed = 0;
        for member in members {
            if let Some(handover) = self.keyed.export(&member.entry) {
                handed += handover.items.len() as u64;
                self.notify(Notice::HandOver(Box::new(handover), member.address));
            }
        }
        let event = Event::new(now, Kind::ShutdownHandedOver).detail(handed);
        self.journal.record(event);
        self.notify(Notice::Stop);
    }

    fn note_join(&mut self, now: Time, offset: u64, entry: Entry, zone: &Name) {
        self.journal
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

    fn note_departure(&mut self, now: Time, offset: u64, entry: &Entry, record: &Record) {
        let kind = match record.change {
            Change::Retire { .. } => Kind::MemberRetired,
            Change::Join { .. } | Change::Leave { .. } => Kind::MemberLeft,
        };
        self.journal.record(Event::new(now, kind).detail(offset));
        self.engine
            .remove_peer(hash::identity(&entry.host, entry.incarnation));
    }

    fn hear_demand(&mut self, now: Time, heard: &Heard) {
        let zones = &self.snapshot.zones;
        let Some((_, zone)) = zones.iter().find(|(name, _)| *name == heard.zone) else {
            return;
        };
        let demands = self.resolve(&heard.demands);
        let peer = Peer {
            id: hash::identity(&heard.entry.host, heard.entry.incarnation),
            availability_zone: *zone,
            last_report: now,
            demands,
        };
        self.engine.update_peer(peer);
    }

    fn hear_sign(&mut self, now: Time, sign: &Leaving) {
        let found = self.snapshot.upstreams.iter().find(|upstream| {
            upstream.host == sign.host && upstream.incarnation == sign.incarnation
        });
        if let Some(key) = found.map(|upstream| upstream.key) {
            self.drain_upstream(now, key, DrainSource::Peer);
        }
    }

    fn append(&mut self, record: Record) {
        // An entry makes a handful of records in its life, far fewer than the ring holds.
        self.port.records.send(record).ok();
    }

    pub(super) fn notify(&mut self, notice: Notice) {
        // What does not fit is told again with the next report, or by the owner of the key as "outcome unknown".
        self.port.peer.send(notice).ok();
    }

    /// Handles the directives that concern membership and peers.
    pub(super) fn take_peer_directive(&mut self, now: Time, directive: Directive) {
        match directive {
            Directive::Members { records, read } => self.take_members(now, read, &records),
            Directive::Confirm { start, end } => self.confirm(start, end),
            Directive::Import(view) => self.import(now, &view),
            Directive::Heard(heard) => self.hear(now, *heard),
            Directive::Published(demands) => {
                let demands = self.resolve(&demands);
                self.engine.set_reported(demands);
            }
            Directive::Lost(entry) => {
                let id = hash::identity(&entry.host, entry.incarnation);
                self.engine.remove_peer(id);
            }
            Directive::Retire(entry) => self.retire(entry),
            Directive::Accept(number, handover) => self.accept(now, number, *handover),
            Directive::Leave => self.leave(),
            Directive::HandOver => self.hand_over(now),
            Directive::Configure(_) | Directive::Drain | Directive::Stop => {}
        }
    }
}
