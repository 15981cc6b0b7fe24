//! Main loop of the platform thread: follows the log and the host list and applies their changes.

use super::{
    Port, membership,
    report::{
        names,
        status, //
    },
};
use crate::{
    dispatch::Directive,
    peer::{
        LocalState,
        Notice, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::member::Entry;
use sassafrascrank_dispatch::{
    Catalog,
    Snapshot,
    catalog::Host, //
};
use sassafrascrank_exchange::Control;
use sassafrascrank_ledger::{
    Record,
    Retention,
    Schedule,
    State,
    Status, //
};
use sassafrascrank_observe::{
    event::{
        Event,
        Kind, //
    },
    status::update::Update, //
};
use sassafrascrank_peer::message;
use sassafrascrank_platform::{
    Appender,
    Condition,
    Directory,
    Error,
    Log,
    Stream,
    follow::catch_up,
    wire::config, //
};
use std::sync::Arc;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

/// Time between two reads of the stream `member`. Each read renews the lease of 5 s, within which there is time for
/// three more attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Rounds from one read of the configuration and the host list to the next. A configuration must be in force on all
/// entries within 8 s, and new work for a draining upstream must stop within 3 s. Reading in every second round keeps
/// the traffic to an unchanged platform below the 250 of 2,048 bytes a second that
/// `peer::roster::PLATFORM_BYTES_PER_SECOND` reserves for it.
const CONFIGURATION_READ_ROUNDS: u32 = 2;
/// Retention that the log is assumed to have at least, about a week at the target of 1,300 changes a day.
const RETENTION: Retention = Retention {
    records: 8_192,
    age: Duration::from_secs(7 * 24 * 3_600),
};
/// Time between two attempts to send to a full ring.
const RING_FULL_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// State of the platform thread.
pub struct Follower<P> {
    platform: P,
    catalog: Catalog,
    state: State,
    hosts: Vec<Host>,
    membership: membership::Follower,
    /// Version and hosts of the latest snapshot that all threads received.
    sent_snapshot: Option<(u64, Vec<Host>)>,
    /// Configuration offset, membership offset and hosts that were last sent to the peer thread.
    sent_state: (u64, u64, Vec<Host>),
    appender: Appender,
    schedule: Schedule,
    log_lost_since: Option<Time>,
    /// Rounds until the configuration and the host list are read again.
    rounds_until_read: u32,
    port: Port,
    clock: fn() -> Time,
}

impl<P: Log + Directory> Follower<P> {
    /// Creates the state without configuration or membership; `catalog` must be the one that created the key of the
    /// home zone.
    pub fn new(platform: P, catalog: Catalog, me: &Entry, port: Port, clock: fn() -> Time) -> Self {
        Self {
            platform,
            catalog,
            state: State::new(1),
            hosts: Vec::new(),
            membership: membership::Follower::new(clock(), me),
            sent_snapshot: None,
            sent_state: (0, 0, Vec::new()),
            appender: Appender::new(me.host.clone(), me.incarnation, me.incarnation),
            schedule: Schedule::new(RETENTION, me.incarnation, clock()),
            log_lost_since: None,
            rounds_until_read: 0,
            port,
            clock,
        }
    }

    /// Follows the log and the host list until the thread is stopped.
    pub async fn run(mut self) {
        while self.port.stop.try_recv().is_none() {
            let next = Instant::now() + POLL_INTERVAL;
            self.import_peer_state().await;
            let read_all = self.rounds_until_read == 0;
            self.rounds_until_read = self
                .rounds_until_read
                .checked_sub(1)
                .unwrap_or(CONFIGURATION_READ_ROUNDS - 1);
            let result = self.follow_log(read_all).await;
            self.record_log_state(&result);
            if result.is_err() {
                // Reading again in the next round leaves time for two attempts within the 8 s.
                self.rounds_until_read = 0;
            }
            if read_all && let Ok(Some(hosts)) = self.platform.hosts().await {
                self.hosts = hosts.into_iter().map(from_platform_host).collect();
            }
            self.send_local_state();
            self.apply_snapshot().await;
            self.send_status();
            let port = &self.port;
            let has_input =
                || !port.stop.is_empty() || !port.records.is_empty() || !port.states.is_empty();
            timeout_at(next, self.port.signal.wait(has_input))
                .await
                .ok();
        }
    }

    async fn follow_log(&mut self, read_all: bool) -> Result<(), Error> {
        if read_all {
            self.follow_configuration().await?;
        }
        while let Some(record) = self.port.records.try_recv() {
            // A process writes only a few records during its lifetime, so the queue is never full.
            self.membership.push(&record).ok();
        }
        self.membership
            .append(&mut self.platform, self.clock)
            .await?;
        loop {
            let progress = self.membership.read(&mut self.platform, self.clock).await?;
            for directive in progress.directives {
                self.send(directive).await;
            }
            if progress.finished {
                break;
            }
        }
        self.membership
            .append_snapshot(&mut self.platform, self.clock)
            .await
    }

    async fn follow_configuration(&mut self) -> Result<(), Error> {
        // On an error, the current configuration stays in force.
        for step in catch_up(&mut self.platform, &mut self.state).await? {
            if let Some(origin) = &step.origin {
                self.appender.observe(origin, step.offset);
            }
        }
        self.append_snapshot().await
    }

    /// Appends a snapshot of the configuration when one is due, so that the configuration outlives the log's retention.
    async fn append_snapshot(&mut self) -> Result<(), Error> {
        let now = (self.clock)();
        if self.appender.is_empty() && self.schedule.is_due(&self.state, now) {
            let snapshot = |origin| {
                let snapshot = self.state.snapshot(origin, now).map(Record::Snapshot);
                snapshot.as_ref().map_or_else(String::new, config::encode)
            };
            // The queue is empty, so there is room.
            self.appender.push(snapshot).ok();
        }
        let Some(body) = self.appender.poll(now) else {
            return Ok(());
        };
        let result = self.platform.append(Stream::Config, body).await;
        let failed = result.as_ref().err().cloned();
        self.appender.complete((self.clock)(), result);
        failed.map_or(Ok(()), Err)
    }

    /// Imports newer state from peers; needed while the log is unavailable or after it has dropped old records.
    async fn import_peer_state(&mut self) {
        while let Some(state) = self.port.states.try_recv() {
            if let Some(image) = state.config {
                // An image that fails validation is ignored; the current configuration stays in force.
                self.state.import(image).ok();
            }
            if let Some(view) = state.member
                && self.membership.import(view)
            {
                let view = Arc::new(self.membership.view().clone());
                self.send(Directive::ImportView(view)).await;
            }
            if let Some(hosts) = state.hosts
                && self.hosts.is_empty()
            {
                self.hosts = hosts.into_iter().map(from_peer_host).collect();
            }
        }
    }

    /// Sends the state that other entries can fetch to the peer thread, if it has changed.
    fn send_local_state(&mut self) {
        let (through, offset) = (self.state.through(), self.membership.view().offset);
        let (sent_through, sent_offset, sent_hosts) = &self.sent_state;
        if (through, offset, &self.hosts) == (*sent_through, *sent_offset, sent_hosts) {
            return;
        }
        let local_state = LocalState {
            config: self.state.export().map(Arc::new),
            member: Arc::new(self.membership.view().clone()),
            hosts: Arc::new(self.hosts.iter().map(to_peer_host).collect()),
        };
        if self.port.peer.send(Notice::LocalState(local_state)).is_ok() {
            self.sent_state = (through, offset, self.hosts.clone());
        }
    }

    /// Sends a directive that must not be lost. Waits while the ring is full; the dispatch thread empties it many times
    /// a second.
    async fn send(&mut self, mut directive: Directive) {
        while let Err(full) = self.port.dispatch.send(directive) {
            if self.port.dispatch.is_closed() {
                return;
            }
            directive = full;
            sleep(RING_FULL_RETRY_INTERVAL).await;
        }
    }

    fn record_log_state(&mut self, result: &Result<(), Error>) {
        let now = (self.clock)();
        match (result, self.log_lost_since) {
            (Err(_), None) => {
                self.log_lost_since = Some(now);
                self.port.sink.record(Event::new(now, Kind::LogLost));
            }
            (Ok(()), Some(since)) => {
                self.log_lost_since = None;
                let event = Event::new(now, Kind::LogFound).duration(now.since(since));
                self.port.sink.record(event);
            }
            _ => {}
        }
    }

    async fn apply_snapshot(&mut self) {
        let through = self.state.through();
        let unchanged =
            |(version, hosts): &(u64, Vec<Host>)| *version == through && *hosts == self.hosts;
        if self.sent_snapshot.as_ref().is_some_and(unchanged) {
            return;
        }
        let snapshot = Arc::new(self.snapshot(through));
        // Names go first, so that the observe thread can resolve the keys in events of this configuration.
        let mut complete = self.port.names.send(names(&snapshot)).is_ok();
        // The dispatch thread must know a customer before the first request of that customer arrives.
        self.send(Directive::Configure(snapshot.clone())).await;
        for exchange in &mut self.port.exchanges {
            complete &= exchange.send(Control::Configure(snapshot.clone())).is_ok();
        }
        if complete {
            self.sent_snapshot = Some((through, self.hosts.clone()));
        }
    }

    fn snapshot(&mut self, through: u64) -> Snapshot {
        let complete = self.state.status() == Status::Complete && through > 0;
        let state = &self.state;
        self.catalog
            .snapshot(through, complete, state.values(), &self.hosts)
    }

    fn send_status(&mut self) {
        let view = self.membership.view();
        let status = status(self.state.through(), view, self.log_lost_since);
        // A status that does not fit is dropped; the next one follows after the next round.
        self.port.updates.send(Update::Platform(status)).ok();
    }
}

fn from_platform_host(host: sassafrascrank_platform::Host) -> Host {
    Host {
        name: host.host,
        incarnation: host.incarnation,
        availability_zone: host.zone,
        address: host.address,
        leaving: host.condition == Condition::Leaving,
    }
}

fn to_peer_host(host: &Host) -> message::Host {
    message::Host {
        name: host.name.clone(),
        incarnation: host.incarnation,
        zone: host.availability_zone.clone(),
        address: host.address,
        leaving: host.leaving,
    }
}

fn from_peer_host(host: message::Host) -> Host {
    Host {
        name: host.name,
        incarnation: host.incarnation,
        availability_zone: host.zone,
        address: host.address,
        leaving: host.leaving,
    }
}
