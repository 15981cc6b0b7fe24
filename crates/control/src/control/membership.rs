//! Seats of the candidates: whether this entry reads the jobs and may lead, and which entries answer for it if not.

use super::{
    Control,
    lead::FOLLOWER_READ_INTERVAL, //
};
use crate::{
    drive::Executor,
    front::Notice,
    store::Request, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Replica;
use sassafrascrank_lead::election::Rank;
use sassafrascrank_roster::{
    Candidate,
    Roster,
    roster::Action,
    seat, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};

/// Multiple of the time that the log takes to store a record, by which the claims of two candidates are apart at least.
const CLAIM_SPACING_FACTOR: u32 = 3;
/// Bounds of that time. The lower one is longer than a claim takes to be stored and read.
const CLAIM_SPACING_MIN: Duration = Duration::from_millis(100);
const CLAIM_SPACING_MAX: Duration = Duration::from_millis(1_000);

/// Time that the log takes to store a record from which on it counts as slow. Usually it takes 10 to 30 ms.
const SLOW_LOG: Duration = Duration::from_millis(100);
/// Time for which an append of this entry shows how fast the log is. The writes of its seat show it later on.
const APPEND_RELEVANCE: Duration = Duration::from_millis(1_000);

/// Number of runners that a leader with a whole core calls itself. A call to a runner takes 0.1 ms of processor time, and
/// each runner gets about one a second of each kind in a peak of demand.
const OWN_RUNNERS: usize = 700;
/// Capacity of a whole core in thousandths of a core.
const WHOLE_CORE: usize = 1_000;

/// Whether this entry reads the jobs, and the other entries that do.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// The seats; `None` if every entry reads the jobs and may lead.
    roster: Option<Roster>,
    /// Whether this entry reads the jobs because it holds a seat.
    seated: bool,
    /// Whether this entry has asked for the removal of its seat's record since it last took a seat.
    gives_up_seat: bool,
    /// Generation of the reads of the jobs.
    generation: u64,
    /// Whether the first read of the generation has not arrived yet.
    awaits_all: bool,
    /// The candidates to which the front thread was last told to pass requests on.
    route: Vec<SocketAddr>,
    /// When an append of callers' records last was slow.
    slow_append: Option<Time>,
    /// The leader to which the front thread was last told to pass submissions on.
    forward: Option<SocketAddr>,
    /// Whether this entry, as the leader, has more runners than it can call.
    delegates: bool,
    /// The entries to which the drive thread was last told to give orders.
    executors: Vec<Executor>,
}

impl Membership {
    /// Tells whether this entry reads the jobs.
    fn reads_jobs(&self) -> bool {
        self.roster.is_none() || self.seated
    }

    /// Returns the generation of the reads of the jobs; `None` if they are not read.
    pub(super) fn generation(&self) -> Option<u64> {
        self.reads_jobs().then_some(self.generation)
    }

    /// Returns the seats if other entries answer questions for this one. `jobs_read` tells whether it has read all jobs.
    pub(super) fn relies_on_seats(&self, jobs_read: bool) -> Option<&Roster> {
        self.roster.as_ref().filter(|_| !self.seated || !jobs_read)
    }

    /// Records the time that an append of callers' records took.
    pub(super) fn append_took(&mut self, took: Option<Duration>, now: Time) {
        if let Some(took) = took {
            self.slow_append = (took >= SLOW_LOG).then_some(now);
        }
    }

    /// Returns the leader if the log is slow and another entry leads. A log carries out one append after the other, so with
    /// fewer entries that append, each append is stored sooner and has more records.
    fn leader_for_submissions(&self, now: Time) -> Option<SocketAddr> {
        let roster = self.roster.as_ref().filter(|_| self.seated)?;
        let is_recent = |at: Time| now.since(at) < APPEND_RELEVANCE;
        let slow = roster.latency(now) >= SLOW_LOG || self.slow_append.is_some_and(is_recent);
        roster.leader(now).filter(|_| slow)
    }

    /// Handles the result of the write of a seat's record.
    pub(super) fn written(&mut self, stored: bool, now: Time) {
        if let Some(roster) = &mut self.roster {
            roster.written(stored, now);
        }
    }
}

impl Control {
    /// Lets the entry take part in the seats. Otherwise it reads the jobs and may lead at any time.
    pub fn with_roster(mut self, roster: Roster) -> Self {
        self.membership.roster = Some(roster);
        self
    }

    /// Tells whether records of the jobs are expected, and not late ones of an earlier generation. `complete` tells whether
    /// the read was of all jobs.
    pub(super) fn expects_jobs(&mut self, complete: bool) -> bool {
        if complete {
            self.membership.awaits_all = false;
        }
        self.membership.reads_jobs() && !self.membership.awaits_all
    }

    /// Handles records of seats.
    pub(super) fn handle_seats(
        &mut self,
        records: Vec<(seat::Key, Option<Candidate>)>,
        started: Time,
        last: bool,
        now: Time,
    ) {
        let Some(roster) = &mut self.membership.roster else {
            return;
        };
        for (key, candidate) in records {
            roster.observe(key, candidate, now);
        }
        if last {
            roster.record_read(true, started, now);
            if !self.membership.reads_jobs() {
                self.set_reachable(true, started, now);
            }
        }
    }

    /// Handles a failed read of the seats.
    pub(super) fn handle_seats_failure(&mut self, now: Time) {
        let Some(roster) = &mut self.membership.roster else {
            return;
        };
        let read_started = roster.read_started();
        roster.record_read(false, now, now);
        if !self.membership.reads_jobs() {
            self.set_reachable(false, read_started, now);
        }
    }

    /// Takes or renews a seat if that is due, begins or ends to read the jobs, and tells the front thread where to pass
    /// requests on.
    pub(super) fn advance_membership(&mut self, now: Time) {
        let leads = self.election.leading().is_some();
        let Some(roster) = &mut self.membership.roster else {
            return;
        };
        if !self.stopping
            && let Action::Write(key, candidate) = roster.act(leads, now)
        {
            self.membership.gives_up_seat |= candidate.is_none();
            self.out
                .requests
                .push(Request::WriteSeat { key, candidate });
        }
        let (is_candidate, keeps_seat) = (roster.is_candidate(now), roster.keeps_seat());
        if is_candidate && !self.membership.seated {
            self.begin_to_follow(now);
        } else if !keeps_seat && self.membership.seated && self.claim.is_none() {
            self.stop_following(now);
        }
        self.update_route(now);
        self.update_forward(now);
        self.update_executors(now);
    }

    /// Returns the place of this entry among those that may claim the lead; `None` if it may not.
    pub(super) fn claim_rank(&self, now: Time) -> Option<Rank> {
        let Some(roster) = &self.membership.roster else {
            return Some(Rank::Unknown);
        };
        let leader = self.replica.leader();
        let silent = leader.map(|leader| &*leader.holder);
        let place = roster.rank(silent, now)?;
        let settle = roster.latency(now).min(CLAIM_SPACING_MAX);
        let spacing = settle * CLAIM_SPACING_FACTOR;
        let spacing = spacing.clamp(CLAIM_SPACING_MIN, CLAIM_SPACING_MAX);
        Some(Rank::Known {
            delay: spacing * place as u32,
            settle,
        })
    }

    fn begin_to_follow(&mut self, now: Time) {
        self.membership.seated = true;
        self.membership.gives_up_seat = false;
        self.membership.generation += 1;
        self.membership.awaits_all = true;
        self.set_follower_reads();
        let event = Event::new("seat-taken", now);
        self.out.events.push(event);
    }

    fn stop_following(&mut self, now: Time) {
        self.membership.seated = false;
        self.replica = Replica::default();
        self.jobs_read = false;
        self.election.forget();
        self.fail_lookups();
        self.set_follower_reads();
        let roster = self.membership.roster.as_ref();
        let read_started = roster.map_or(Time::MIN, Roster::read_started);
        let reason = match self.membership.gives_up_seat {
            true => "given-up",
            false => "taken",
        };
        self.membership.gives_up_seat = false;
        let event = Event::new("seat-lost", now)
            .with("reason", Value::Code(reason))
            .with("age", Value::Duration(now.since(read_started)));
        self.out.events.push(event);
    }

    /// Lets the store thread read what an entry that does not lead needs.
    pub(super) fn set_follower_reads(&mut self) {
        self.out.requests.push(Request::SetReads {
            jobs: self.membership.generation(),
            jobs_interval: FOLLOWER_READ_INTERVAL,
            runners: None,
        });
    }

    /// Lets other candidates carry out the orders to runners if there are more of these than this entry can call.
    fn update_executors(&mut self, now: Time) {
        let Some(roster) = &self.membership.roster else {
            return;
        };
        let capacity = self.identity.capacity.max(1) as usize;
        let runners = self.claim.as_ref().map_or(0, |claim| claim.runners.len());
        // Hosts that are switched off have no runners for a while, so a leader that gave orders away goes on doing so.
        let many = runners * WHOLE_CORE / capacity > OWN_RUNNERS;
        self.membership.delegates = self.engine.is_some() && (many || self.membership.delegates);
        let executors: Vec<Executor> = match self.membership.delegates {
            true => {
                let executors = roster.executors(now).into_iter();
                executors
                    .map(|(address, zone)| Executor { address, zone })
                    .collect()
            }
            false => Vec::new(),
        };
        if executors != self.membership.executors {
            self.membership.executors.clone_from(&executors);
            let event = Event::new("executors", now)
                .with("count", Value::Count(executors.len() as u64))
                .with("runners", Value::Count(runners as u64));
            self.out.events.push(event);
            self.out.executors = Some(executors);
        }
    }

    fn update_forward(&mut self, now: Time) {
        let leader = match self.engine.is_some() {
            true => None,
            false => self.membership.leader_for_submissions(now),
        };
        if leader != self.membership.forward {
            self.membership.forward = leader;
            let state = if leader.is_some() { "slow" } else { "usual" };
            let event = Event::new("log-pace", now).with("reason", Value::Code(state));
            self.out.events.push(event.low_priority());
            self.out.notices.push(Notice::Forward(leader));
        }
    }

    fn update_route(&mut self, now: Time) {
        let route = match self.membership.relies_on_seats(self.jobs_read) {
            Some(roster) => roster.route(now),
            None => Vec::new(),
        };
        if route != self.membership.route {
            self.membership.route.clone_from(&route);
            let event = Event::new("route", now)
                .low_priority()
                .with("candidates", Value::Count(route.len() as u64))
                .with(
                    "own",
                    Value::Code(if route.is_empty() {
                        "answers"
                    } else {
                        "relays"
                    }),
                );
            self.out.events.push(event);
            self.out.notices.push(Notice::Route(route));
        }
    }
}
