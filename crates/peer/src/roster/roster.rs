//! The roster: the peers, and when reports to them and retirements are due.

use super::{
    Count,
    Event,
    Key,
    Peer,
    Plan,
    demand::PublishedDemand,
    drain_notice::DrainNotices, //
    limit::{
        DRAIN_NOTICE_WAIT,
        ISOLATION_WAIT,
        LAG_LIMIT,
        PAUSE_LIMIT,
        PEER_LIMIT,
        REPORT_INTERVAL,
        RETIREMENT_LIMIT,
        SILENCE_LIMIT, //
        STATE_REQUEST_INTERVAL,
    },
};
use crate::message::{
    DrainNotice, //
    KnownState,
    Sender,
};
use core::net::SocketAddr;
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_claim::{
    lease::{
        self,
        JoinAck, //
    },
    member::{
        Entry,
        Member,
        View, //
    },
};
use slotmap::SlotMap;

/// The peers of one process, and the schedule of the exchanges with them.
///
/// It uses neither sockets nor a clock: its owner passes the present time and makes the exchanges.
#[derive(Clone, Debug)]
pub struct Roster {
    /// This process.
    pub(super) local: Sender,
    /// Hash of its host and incarnation.
    pub(super) id: u64,
    pub(super) peers: SlotMap<Key, Peer>,
    pub(super) drain_notices: DrainNotices,
    pub(super) published: PublishedDemand,
    pub(super) plan: Plan,
    pub(super) events: Vec<Event>,
    pub(super) count: Count,
    /// When a peer was first seen to have newer state, and the state that this process had then.
    behind_since: Option<(Time, KnownState)>,
    last_state_request: Option<Time>,
    last_tick: Time,
    /// Whether this process needs a join acknowledgement.
    pub(super) joining: bool,
}

impl Roster {
    /// Makes a roster that knows only the seeds.
    pub fn new(now: Time, local: Sender, seeds: &[SocketAddr]) -> Self {
        let id = hash::identity(&local.entry.host, local.entry.incarnation);
        let mut roster = Self {
            id,
            peers: SlotMap::with_key(),
            drain_notices: DrainNotices::default(),
            published: PublishedDemand::default(),
            plan: Plan::new(0, 0),
            events: Vec::new(),
            count: Count::default(),
            behind_since: None,
            last_state_request: None,
            last_tick: now,
            joining: false,
            local,
        };
        let own = roster.local.peers;
        for &address in seeds.iter().filter(|address| **address != own) {
            let mut peer = Peer::new(now, None, address);
            peer.seed = true;
            roster.insert(peer);
        }
        roster.replan();
        roster
    }

    /// Changes the identity of this process to another incarnation, after the former one was retired.
    pub fn set_entry(&mut self, entry: Entry) {
        self.id = hash::identity(&entry.host, entry.incarnation);
        self.local.entry = entry;
    }

    /// Returns the availability zone of this process.
    pub const fn zone(&self) -> &Name {
        &self.local.zone
    }

    /// Returns a peer, or `None` for a stale key.
    pub fn peer(&self, key: Key) -> Option<&Peer> {
        self.peers.get(key)
    }

    /// Returns all peers.
    pub fn peers(&self) -> impl Iterator<Item = (Key, &Peer)> {
        self.peers.iter()
    }

    /// Returns the key of an entry.
    pub fn find(&self, entry: &Entry) -> Option<Key> {
        let mut peers = self.peers.iter();
        peers
            .find(|(_, peer)| peer.entry.as_ref() == Some(entry))
            .map(|(key, _)| key)
    }

    /// Returns the present plan of the traffic.
    pub const fn plan(&self) -> Plan {
        self.plan
    }

    /// Returns the counters.
    pub const fn count(&self) -> Count {
        self.count
    }

    /// Adds the members of the view as peers, and removes silent peers that are no members.
    ///
    /// `address_of` returns where a member listens for peers.
    pub fn update_members(
        &mut self,
        now: Time,
        view: &View,
        address_of: impl Fn(&Member) -> SocketAddr,
    ) {
        for peer in self.peers.values_mut() {
            peer.member = false;
        }
        for (name, zone) in &view.zones {
            for member in &zone.members {
                if member.entry != self.local.entry {
                    self.add_member(now, name, member, address_of(member));
                }
            }
        }
        self.remove_silent(now);
        self.replan();
    }

    /// Announces an upstream that is leaving, with the reports of the next 10 s.
    pub fn announce_drain(&mut self, now: Time, notice: DrainNotice) {
        let dropped = self.drain_notices.add_own(now, notice);
        self.count.dropped_drain_notices += u64::from(dropped);
    }

    /// Returns the peers to which a report is due; no other report to them is due until the owner calls
    /// [`record_success`](Self::record_success) or [`record_failure`](Self::record_failure).
    pub fn due(&mut self, now: Time) -> Vec<Key> {
        let wait = jitter(self.id, DRAIN_NOTICE_WAIT);
        if let Some(since) = self.drain_notices.take_urgent(now, wait) {
            for peer in self
                .peers
                .values_mut()
                .filter(|peer| peer.last_heard <= since + wait)
            {
                peer.due = peer.due.min(now);
            }
        }
        let mut due = Vec::new();
        for (key, peer) in &mut self.peers {
            if !peer.in_flight && peer.due <= now {
                peer.in_flight = true;
                due.push(key);
            }
        }
        due
    }

    /// Sets whether this process needs a join acknowledgement; if so, its reports ask the members of its zone for one.
    pub const fn set_joining(&mut self, joining: bool) {
        self.joining = joining;
    }

    /// Queues a request for confirmation for its receiver, and makes a report due at once.
    ///
    /// If request and answer each waited for a regular report, a confirmation would use up 2 s of a lease of 5 s.
    pub fn queue_request(&mut self, request: lease::Request) {
        if let Some(key) = self.find(&request.to) {
            let peer = &mut self.peers[key];
            peer.request = Some(request);
            peer.due = Time::MIN;
        }
    }

    /// Queues the answer to a request for confirmation from `to`, and makes a report due at once.
    pub fn queue_answer(&mut self, to: &Entry, answer: lease::Answer) {
        if let Some(key) = self.find(to) {
            let peer = &mut self.peers[key];
            peer.answer = Some(answer);
            peer.due = Time::MIN;
        }
    }

    /// Queues a join acknowledgement for the next report to the entry that joined.
    pub fn queue_join_ack(&mut self, join_ack: JoinAck) {
        if let Some(key) = self.find(&join_ack.to) {
            self.peers[key].join_ack = Some(join_ack);
        }
    }

    /// Returns the time at which [`due`](Self::due) and [`tick`](Self::tick) should be called again.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let idle = self.peers.values().filter(|peer| !peer.in_flight);
        let due = idle.map(|peer| peer.due).min();
        let latest = now + DRAIN_NOTICE_WAIT / 5;
        due.map_or(latest, |due| due.clamp(now, latest))
    }

    /// Checks which peers have been silent for too long, and returns the events since the last call.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        self.extend_after_pause(now);
        let grace = match self.is_isolated(now) {
            true => ISOLATION_WAIT,
            false => Duration::ZERO,
        };
        for peer in self.peers.values_mut() {
            let Some(entry) = &peer.entry else {
                continue;
            };
            let extra = if peer.own_zone {
                Duration::ZERO
            } else {
                self.plan.other_zone_interval
            };
            if !peer.lost && now.since(peer.last_heard) >= SILENCE_LIMIT + extra {
                peer.lost = true;
                peer.may_have_missed_demand = true;
                self.events.push(Event::Lost(entry.clone()));
            }
            let retire = peer.member && peer.own_zone;
            if retire && peer.retirement_due.is_some_and(|due| due + grace <= now) {
                peer.retirement_due = None;
                self.events.push(Event::Retire(entry.clone()));
            }
        }
        if self.remove_silent(now) {
            self.replan();
        }
        core::mem::take(&mut self.events)
    }

    /// Returns whether the zone has at least two other members and this process hears none of them.
    ///
    /// It may be cut off from them while all reach the log; it then waits until it would have read its own retirement.
    fn is_isolated(&self, now: Time) -> bool {
        let members = self
            .peers
            .values()
            .filter(|peer| peer.member && peer.own_zone);
        let (mut all, mut heard) = (0, 0);
        for peer in members {
            all += 1;
            heard += u32::from(now.since(peer.last_heard) < SILENCE_LIMIT);
        }
        all > 1 && heard == 0
    }

    /// Returns the retirement of an entry again in a second if it stays silent, because it could not be appended.
    pub fn postpone_retirement(&mut self, now: Time, entry: &Entry) {
        if let Some(key) = self.find(entry) {
            let peer = &mut self.peers[key];
            peer.retirement_due =
                Some((now + REPORT_INTERVAL).max(peer.last_heard + RETIREMENT_LIMIT));
        }
    }

    /// Returns the peer to ask for newer state, if any, given the state that this process has.
    ///
    /// A peer is asked once this process has been behind for [`LAG_LIMIT`], or at once if a part of its state is
    /// missing.
    pub fn choose_state_source(&mut self, now: Time, have: KnownState) -> Option<Key> {
        let ahead = |peer: &Peer| {
            let hosts = !have.hosts && peer.config_offset > 0;
            peer.config_offset > have.config || peer.membership_offset > have.member || hosts
        };
        let live = self.peers.iter().filter(|(_, peer)| !peer.lost);
        let best = live
            .filter(|(_, peer)| ahead(peer))
            .max_by_key(|(key, peer)| (peer.config_offset, peer.membership_offset, *key));
        let Some((key, _)) = best else {
            self.behind_since = None;
            return None;
        };
        let since = match self.behind_since {
            Some((since, then)) if then == have => since,
            _ => now,
        };
        self.behind_since = Some((since, have));
        let recent = self
            .last_state_request
            .is_some_and(|asked| now < asked + STATE_REQUEST_INTERVAL);
        if recent || (have.config > 0 && have.member > 0 && have.hosts && now < since + LAG_LIMIT) {
            return None;
        }
        self.last_state_request = Some(now);
        Some(key)
    }

    /// Restarts the time until each retirement after this process was paused or its clock jumped.
    ///
    /// Otherwise a process that resumes late would have every other member of its zone retired.
    fn extend_after_pause(&mut self, now: Time) {
        let last = core::mem::replace(&mut self.last_tick, now);
        if now.since(last) < PAUSE_LIMIT {
            return;
        }
        for peer in self.peers.values_mut() {
            if let Some(due) = &mut peer.retirement_due {
                *due = now + RETIREMENT_LIMIT;
            }
        }
    }

    /// Removes silent peers that are neither members nor seeds, and returns whether there were any.
    fn remove_silent(&mut self, now: Time) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.member || peer.seed || peer.in_flight || now.since(peer.last_heard) < SILENCE_LIMIT
        });
        self.peers.len() < before
    }

    /// Adds a member of the view as a peer, or updates the peer that it is already.
    fn add_member(&mut self, now: Time, zone: &Name, member: &Member, address: SocketAddr) {
        let known = self.find(&member.entry);
        // A seed that has not reported yet may be this member.
        let seed = || {
            let mut peers = self.peers.iter();
            peers
                .find(|(_, peer)| peer.entry.is_none() && peer.address == address)
                .map(|(key, _)| key)
        };
        let key = known.or_else(seed).or_else(|| {
            let mut peer = Peer::new(now, None, address);
            peer.due = now + jitter(self.id, REPORT_INTERVAL);
            self.insert(peer)
        });
        let Some(key) = key else {
            return;
        };
        let peer = &mut self.peers[key];
        if peer.entry.as_ref() != Some(&member.entry) {
            peer.entry = Some(member.entry.clone());
            peer.last_heard = now;
        }
        if !peer.member && peer.retirement_due.is_none() && !peer.lost {
            peer.retirement_due = Some(peer.last_heard.max(now) + RETIREMENT_LIMIT);
        }
        peer.member = true;
        peer.zone = Some(zone.clone());
        peer.own_zone = *zone == self.local.zone;
    }

    /// Adds a peer, or counts it as ignored if there are too many.
    pub(super) fn insert(&mut self, peer: Peer) -> Option<Key> {
        if self.peers.len() >= PEER_LIMIT {
            self.count.ignored_peers += 1;
            return None;
        }
        Some(self.peers.insert(peer))
    }

    /// Makes the plan for the present number of peers.
    pub(super) fn replan(&mut self) {
        let own = self.peers.values().filter(|peer| peer.own_zone).count();
        self.plan = Plan::new(own, self.peers.len() - own);
    }
}

/// Returns a duration below `span` that depends on the process, so that processes don't act at the same moment.
pub(super) fn jitter(id: u64, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(hash::mix(id) % micros)
}
