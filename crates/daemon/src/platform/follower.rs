//! Follows the log and the host list and puts what they say into force.

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
        Holding,
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

/// Time between two reads of the stream `member`; they renew the lease of 5 s, with three further tries within it.
const POLL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Rounds between two reads of the configuration and of the host list. A configuration has to be in force everywhere
/// within 8 s, and new work for a leaving upstream has to stop within 3 s. Reading them in every second round keeps an
/// unchanged platform below the 250 of 2,048 bytes a second that `peer::roster::PLATFORM_BYTES_PER_SECOND` leaves for
/// it.
const CONFIGURATION_ROUNDS: u32 = 2;
/// What the log is assumed to keep at least: the records of a week at the target's 1,300 changes a day.
const RETENTION: Retention = Retention {
    records: 8_192,
    age: Duration::from_secs(7 * 24 * 3_600),
};
/// Time between two tries to put a message into a full ring.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// State of the platform thread.
pub struct Follower<P> {
    platform: P,
    catalog: Catalog,
    state: State,
    hosts: Vec<Host>,
    membership: membership::Follower,
    /// Latest snapshot that was sent, by version and hosts.
    sent: Option<(u64, Vec<Host>)>,
    /// Offsets of configuration and membership, and the hosts, that the peer thread was told.
    told: (u64, u64, Vec<Host>),
    appender: Appender,
    schedule: Schedule,
    log_lost: Option<Time>,
    /// Rounds until the configuration and the host list are read again.
    rounds: u32,
    port: Port,
    clock: fn() -> Time,
}

impl<P: Log + Directory> Follower<P> {
    /// Makes the state of a process that knows nothing yet; `catalog` must be the one that made the home zone's key.
    pub fn new(platform: P, catalog: Catalog, me: &Entry, port: Port, clock: fn() -> Time) -> Self {
        Self {
            platform,
            catalog,
            state: State::new(1),
            hosts: Vec::new(),
            membership: membership::Follower::new(clock(), me),
            sent: None,
            told: (0, 0, Vec::new()),
            appender: Appender::new(me.host.clone(), me.incarnation, me.incarnation),
            schedule: Schedule::new(RETENTION, me.incarnation, clock()),
            log_lost: None,
            rounds: 0,
            port,
            clock,
        }
    }

    /// Follows until it is stopped.
    pub async fn run(mut self) {
        while self.port.stop.try_recv().is_none() {
            let next = Instant::now() + POLL_INTERVAL;
            self.import().await;
            let all = self.rounds == 0;
            self.rounds = self
                .rounds
                .checked_sub(1)
                .unwrap_or(CONFIGURATION_ROUNDS - 1);
            let result = self.follow_log(all).await;
            self.note_log(&result);
            if result.is_err() {
                // Leaves time for two tries within the 8 s.
                self.rounds = 0;
            }
            if all && let Ok(Some(hosts)) = self.platform.hosts().await {
                self.hosts = hosts.into_iter().map(host).collect();
            }
            self.tell_peers();
            self.put_into_force().await;
            self.send_status();
            let port = &self.port;
            let ready =
                || !port.stop.is_empty() || !port.records.is_empty() || !port.states.is_empty();
            timeout_at(next, self.port.signal.wait(ready)).await.ok();
        }
    }

    async fn follow_log(&mut self, all: bool) -> Result<(), Error> {
        if all {
            self.follow_configuration().await?;
        }
        while let Some(record) = self.port.records.try_recv() {
            // A few records are made in the life of a process, so the queue is never full.
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
        // What was in force stays in force while the log is away.
        for step in catch_up(&mut self.platform, &mut self.state).await? {
            if let Some(origin) = &step.origin {
                self.appender.observe(origin, step.offset);
            }
        }
        self.append_snapshot().await
    }

    /// Appends a snapshot of the configuration when one is due, so that it outlives the log's retention.
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

    /// Takes over state that peers had earlier, while the log is away or has lost old records.
    async fn import(&mut self) {
        while let Some(state) = self.port.states.try_recv() {
            if let Some(image) = state.config {
                // A peer's state that fails its check leaves what is in force alone.
                self.state.import(image).ok();
            }
            if let Some(view) = state.member
                && self.membership.import(view)
            {
                let view = Arc::new(self.membership.view().clone());
                self.send(Directive::Import(view)).await;
            }
            if let Some(hosts) = state.hosts
                && self.hosts.is_empty()
            {
                self.hosts = hosts.into_iter().map(adopt).collect();
            }
        }
    }

    /// Gives the peer thread what other entries may ask for.
    fn tell_peers(&mut self) {
        let (through, offset) = (self.state.through(), self.membership.view().offset);
        let (told_through, told_offset, told_hosts) = &self.told;
        if (through, offset, &self.hosts) == (*told_through, *told_offset, told_hosts) {
            return;
        }
        let holding = Holding {
            config: self.state.export().map(Arc::new),
            member: Arc::new(self.membership.view().clone()),
            hosts: Arc::new(self.hosts.iter().map(share).collect()),
        };
        if self.port.peer.send(Notice::Holding(holding)).is_ok() {
            self.told = (through, offset, self.hosts.clone());
        }
    }

    /// Sends a directive that must not be lost; the dispatch thread empties its rings many times a second.
    async fn send(&mut self, mut directive: Directive) {
        while let Err(full) = self.port.dispatch.send(directive) {
            if self.port.dispatch.is_closed() {
                return;
            }
            directive = full;
            sleep(FULL_PAUSE).await;
        }
    }

    fn note_log(&mut self, result: &Result<(), Error>) {
        let now = (self.clock)();
        match (result, self.log_lost) {
            (Err(_), None) => {
                self.log_lost = Some(now);
                self.port.sink.record(Event::new(now, Kind::LogLost));
            }
            (Ok(()), Some(since)) => {
                self.log_lost = None;
                let event = Event::new(now, Kind::LogFound).duration(now.since(since));
                self.port.sink.record(event);
            }
            _ => {}
        }
    }

    async fn put_into_force(&mut self) {
        let through = self.state.through();
        let unchanged =
            |(version, hosts): &(u64, Vec<Host>)| *version == through && *hosts == self.hosts;
        if self.sent.as_ref().is_some_and(unchanged) {
            return;
        }
        let snapshot = Arc::new(self.snapshot(through));
        // Names first, so that the events of this configuration can be resolved.
        let mut complete = self.port.names.send(names(&snapshot)).is_ok();
        // The dispatch thread must know a customer before its first request comes.
        self.send(Directive::Configure(snapshot.clone())).await;
        for exchange in &mut self.port.exchanges {
            complete &= exchange.send(Control::Configure(snapshot.clone())).is_ok();
        }
        if complete {
            self.sent = Some((through, self.hosts.clone()));
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
        let status = status(self.state.through(), view, self.log_lost);
        // The next one follows after the next read.
        self.port.updates.send(Update::Platform(status)).ok();
    }
}

fn host(host: sassafrascrank_platform::Host) -> Host {
    Host {
        name: host.host,
        incarnation: host.incarnation,
        availability_zone: host.zone,
        address: host.address,
        leaving: host.condition == Condition::Leaving,
    }
}

fn share(host: &Host) -> message::Host {
    message::Host {
        name: host.name.clone(),
        incarnation: host.incarnation,
        zone: host.availability_zone.clone(),
        address: host.address,
        leaving: host.leaving,
    }
}

fn adopt(host: message::Host) -> Host {
    Host {
        name: host.name,
        incarnation: host.incarnation,
        availability_zone: host.zone,
        address: host.address,
        leaving: host.leaving,
    }
}
