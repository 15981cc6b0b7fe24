//! The roster and its time limits.

use super::{
    Count,
    Event,
    Key,
    Peer,
    Plan,
    book::Bulletin,
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

/// The peers of one process.
#[derive(Clone, Debug)]
pub struct Roster {
    pub(super) me: Sender,
    pub(super) id: u64,
    pub(super) peers: SlotMap<Key, Peer>,
    pub(super) drain_notices: DrainNotices,
    pub(super) bulletin: Bulletin,
    pub(super) plan: Plan,
    pub(super) events: Vec<Event>,
    pub(super) count: Count,
    /// Since when a peer has had newer state, and what this process had then.
    behind: Option<(Time, KnownState)>,
    asked: Option<Time>,
    ticked: Time,
    pub(super) joining: bool,
}

impl Roster {
    /// Makes a roster that knows only the seeds.
    pub fn new(now: Time, me: Sender, seeds: &[SocketAddr]) -> Self {
        let id = hash::identity(&me.entry.host, me.entry.incarnation);
        let mut roster = Self {
            id,
            peers: SlotMap::with_key(),
            drain_notices: DrainNotices::default(),
            bulletin: Bulletin::default(),
            plan: Plan::new(0, 0),
            events: Vec::new(),
            count: Count::default(),
            behind: None,
            asked: None,
            ticked: now,
            joining: false,
            me,
        };
        let own = roster.me.peers;
        for &address in seeds.iter().filter(|address| **address != own) {
            let mut peer = Peer::new(now, None, address);
            peer.seed = true;
            roster.insert(peer);
        }
        roster.replan();
        roster
    }

    /// Goes on as another incarnation, after the former one was retired.
    pub fn set_entry(&mut self, entry: Entry) {
        self.id = hash::identity(&entry.host, entry.incarnation);
        self.me.entry = entry;
    }

    /// Returns the availability zone of this process.
    pub const fn zone(&self) -> &Name {
        &self.me.zone
    }

    /// Returns what is known of a peer.
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

    /// Returns the division of the bytes.
    pub const fn plan(&self) -> Plan {
        self.plan
    }

    /// Returns the counters.
    pub const fn count(&self) -> Count {
        self.count
    }

    /// Follows the membership view; `address_of` returns where a member listens for peers.
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
                if member.entry != self.me.entry {
                    self.keep(now, name, member, address_of(member));
                }
            }
        }
        self.forget(now);
        self.replan();
    }

    /// Notices an upstream that is leaving; the sign travels with the reports of the next 10 s.
    pub fn announce_drain(&mut self, now: Time, notice: DrainNotice) {
        let dropped = self.drain_notices.add_own(now, notice);
        self.count.dropped_drain_notices += u64::from(dropped);
    }

    /// Returns the peers to which a report is due; each stays in flight until the owner calls
    /// [`record_success`](Self::record_success) or [`record_failure`](Self::record_failure).
    pub fn due(&mut self, now: Time) -> Vec<Key> {
        let wait = spread(self.id, DRAIN_NOTICE_WAIT);
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

    /// Asks other members for testimonies as long as this process needs one.
    pub const fn set_joining(&mut self, joining: bool) {
        self.joining = joining;
    }

    /// Sends a request for confirmation to its target, with a report that is due at once.
    ///
    /// A confirmation that waits for two reports would use up 2 s of a lease of 5 s.
    pub fn queue_request(&mut self, request: lease::Request) {
        if let Some(key) = self.find(&request.to) {
            let peer = &mut self.peers[key];
            peer.request = Some(request);
            peer.due = Time::MIN;
        }
    }

    /// Sends the answer to a request for confirmation to `to`, with a report that is due at once.
    pub fn queue_answer(&mut self, to: &Entry, answer: lease::Answer) {
        if let Some(key) = self.find(to) {
            let peer = &mut self.peers[key];
            peer.answer = Some(answer);
            peer.due = Time::MIN;
        }
    }

    /// Sends a testimony with the next report to the entry that joined.
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

    /// Notices silence, and returns what has happened since the last call.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        self.allow_pause(now);
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
                peer.missed = true;
                self.events.push(Event::Lost(entry.clone()));
            }
            let retire = peer.member && peer.own_zone;
            if retire && peer.retire.is_some_and(|due| due + grace <= now) {
                peer.retire = None;
                self.events.push(Event::Retire(entry.clone()));
            }
        }
        if self.forget(now) {
            self.replan();
        }
        core::mem::take(&mut self.events)
    }

    /// Tells whether this process hears none of several members of its zone.
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

    /// Announces the retirement of a silent entry again in a second, because it could not be appended.
    pub fn postpone_retirement(&mut self, now: Time, entry: &Entry) {
        if let Some(key) = self.find(entry) {
            let peer = &mut self.peers[key];
            peer.retire = Some((now + REPORT_INTERVAL).max(peer.last_heard + RETIREMENT_LIMIT));
        }
    }

    /// Returns a peer that is worth asking for its state, given the offsets of this process.
    ///
    /// A peer is asked only if it has been ahead for some seconds, or at once if this process has nothing.
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
            self.behind = None;
            return None;
        };
        let since = match self.behind {
            Some((since, then)) if then == have => since,
            _ => now,
        };
        self.behind = Some((since, have));
        let recent = self
            .asked
            .is_some_and(|asked| now < asked + STATE_REQUEST_INTERVAL);
        if recent || (have.config > 0 && have.member > 0 && have.hosts && now < since + LAG_LIMIT) {
            return None;
        }
        self.asked = Some(now);
        Some(key)
    }

    /// Starts the silence of all members anew after this process itself was paused or its clock jumped.
    ///
    /// Otherwise a process that wakes up late would have every other member of its zone retired.
    fn allow_pause(&mut self, now: Time) {
        let last = core::mem::replace(&mut self.ticked, now);
        if now.since(last) < PAUSE_LIMIT {
            return;
        }
        for peer in self.peers.values_mut() {
            if let Some(due) = &mut peer.retire {
                *due = now + RETIREMENT_LIMIT;
            }
        }
    }

    /// Forgets silent processes that are neither members nor seeds, and tells whether there were any.
    fn forget(&mut self, now: Time) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.member || peer.seed || peer.in_flight || now.since(peer.last_heard) < SILENCE_LIMIT
        });
        self.peers.len() < before
    }

    fn keep(&mut self, now: Time, zone: &Name, member: &Member, address: SocketAddr) {
        let known = self.find(&member.entry);
        // A seed that was not heard yet may be this member.
        let seed = || {
            let mut peers = self.peers.iter();
            peers
                .find(|(_, peer)| peer.entry.is_none() && peer.address == address)
                .map(|(key, _)| key)
        };
        let key = known.or_else(seed).or_else(|| {
            let mut peer = Peer::new(now, None, address);
            peer.due = now + spread(self.id, REPORT_INTERVAL);
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
        if !peer.member && peer.retire.is_none() && !peer.lost {
            peer.retire = Some(peer.last_heard.max(now) + RETIREMENT_LIMIT);
        }
        peer.member = true;
        peer.zone = Some(zone.clone());
        peer.own_zone = *zone == self.me.zone;
    }

    pub(super) fn insert(&mut self, peer: Peer) -> Option<Key> {
        if self.peers.len() >= PEER_LIMIT {
            self.count.ignored_peers += 1;
            return None;
        }
        Some(self.peers.insert(peer))
    }

    pub(super) fn replan(&mut self) {
        let own = self.peers.values().filter(|peer| peer.own_zone).count();
        self.plan = Plan::new(own, self.peers.len() - own);
    }
}

/// Returns a part of `span` that differs between processes.
pub(super) fn spread(id: u64, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(hash::mix(id) % micros)
}
