//! State of one runner instance: lease, fence, running and ended attempts.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Longest lease that a worker grants unless a test sets another one: `holdMaxMs` of the smallest deployment.
pub(super) const LEASE_LIMIT: Duration = Duration::from_secs(6);

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// An order with a higher fence has been received.
    StaleFence,
    /// This attempt or a later one of the task has ended or was stopped.
    StaleAttempt,
    /// The lease that the order grants has already ended.
    LeaseExpired,
    /// All run slots are in use.
    NoCapacity,
}

impl Refusal {
    /// Returns the reason in the platform's format.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::StaleFence => "fence",
            Self::StaleAttempt => "old",
            Self::LeaseExpired => "late",
            Self::NoCapacity => "room",
        }
    }
}

/// An order to start an attempt.
#[derive(Clone, Debug)]
pub struct Start {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// End of the lease by the worker's clock, in milliseconds.
    pub until: u64,
    /// Fence of the order.
    pub fence: u64,
    /// Duration of the task; `None` if it runs until it is stopped.
    pub duration: Option<Duration>,
    /// Whether the task fails at its end.
    pub fails: bool,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// When it began.
    pub began: Duration,
    /// End of the task by itself; `None` if it runs until it is stopped.
    ends_at: Option<Duration>,
    /// Time at which an ordered stop is complete.
    pub stops_at: Option<Duration>,
    fails: bool,
}

impl Run {
    /// Returns the progress in percent. A task without an end reports 100 percent from half a second after its start.
    pub fn percent(&self, now: Duration) -> u8 {
        let spent = now.saturating_sub(self.began);
        match self.ends_at {
            None => 100 * u8::from(spent >= Duration::from_millis(500)),
            Some(ends) => {
                let whole = (ends - self.began).as_micros().max(1);
                (spent.as_micros() * 100 / whole).min(100) as u8
            }
        }
    }
}

/// An ended run that the leader has not acknowledged yet.
#[derive(Clone, Debug)]
pub struct End {
    /// Its number.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: &'static str,
}

/// A run from its start to its end, for assertions.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// When it began.
    pub began: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended; `died` if the worker was terminated.
    pub outcome: &'static str,
    /// Whether the leader acknowledged the end before the lease ended.
    pub acknowledged: bool,
}

/// One runner instance. All times are relative to the start of the test.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Id of the instance.
    pub id: String,
    /// Start of the instance, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Rate of its clock in thousandths of the actual rate.
    rate: u64,
    /// Time at which its clock starts.
    clock_start: Duration,
    /// Largest number of concurrent runs.
    max_runs: usize,
    /// Running attempts.
    pub runs: Vec<Run>,
    /// Ended attempts that the leader has not acknowledged yet.
    pub ends: Vec<End>,
    /// Number of the last end.
    last_end_number: u64,
    /// Highest fence received.
    fence: u64,
    /// Whether orders with a lower fence are refused.
    fenced: bool,
    /// Duration of a stop.
    pub stop_time: Duration,
    /// End of the lease by its clock, in milliseconds.
    lease_until: u64,
    /// Longest lease that it grants, by its clock, whatever an order asks for.
    pub lease_limit: Duration,
    /// Highest attempt of each task that has ended or was stopped.
    past_attempts: HashMap<String, u32>,
    /// All ended runs, for assertions.
    pub history: Vec<Execution>,
    /// Index in `history` of each unacknowledged end, by the number of the end.
    unacknowledged: HashMap<u64, usize>,
}

impl Worker {
    /// Creates a worker whose clock starts at `now` and runs at `rate` thousandths of the actual rate.
    pub fn new(id: &str, born: u64, max_runs: usize, rate: u64, now: Duration) -> Self {
        Self {
            id: id.to_owned(),
            born,
            rate,
            clock_start: now,
            max_runs,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end_number: 0,
            fence: 0,
            fenced: true,
            stop_time: Duration::ZERO,
            lease_until: 0,
            lease_limit: LEASE_LIMIT,
            past_attempts: HashMap::new(),
            history: Vec::new(),
            unacknowledged: HashMap::new(),
        }
    }

    /// Sets whether orders with a lower fence are refused. Tests accept them to show the effect of missing fences.
    pub fn set_fenced(&mut self, fenced: bool) {
        self.fenced = fenced;
    }

    /// Refuses an order with a lower fence, and records a higher one.
    fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if self.fenced && fence < self.fence {
            return Err(Refusal::StaleFence);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    /// Returns the time of its clock in milliseconds. The clock starts at 1,000, since 0 would count as an absent
    /// clock.
    pub fn clock(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.clock_start).as_micros() as u64;
        1_000 + elapsed * self.rate / 1_000_000
    }

    /// Returns the time at which the lease ends.
    fn lease_end(&self) -> Duration {
        let millis = self.lease_until.saturating_sub(1_000);
        self.clock_start + Duration::from_micros(millis * 1_000_000 / self.rate)
    }

    /// Ends the runs that are complete, stopped, or past the end of the lease.
    pub fn advance(&mut self, now: Duration) {
        let lease_end = self.lease_end();
        let mut due: Vec<(Duration, usize)> = Vec::new();
        for (index, run) in self.runs.iter().enumerate() {
            let ends = [run.ends_at, run.stops_at].into_iter().flatten();
            let at = ends.fold(lease_end, Duration::min);
            if at <= now {
                due.push((at, index));
            }
        }
        due.sort_unstable();
        let mut ended: Vec<usize> = due.iter().map(|(_, index)| *index).collect();
        for (at, index) in due {
            let run = self.runs[index].clone();
            let outcome = match run.ends_at {
                _ if run.stops_at == Some(at) => "stopped",
                Some(ends) if ends <= lease_end && run.fails => "failed",
                Some(ends) if ends <= lease_end => "done",
                _ => "lapsed",
            };
            self.record_end(&run, at, outcome);
        }
        if lease_end <= now {
            // Ends that are unacknowledged when the lease ends never count as acknowledged in the history.
            self.unacknowledged.clear();
        }
        ended.sort_unstable();
        for index in ended.into_iter().rev() {
            self.runs.remove(index);
        }
    }

    fn record_end(&mut self, run: &Run, at: Duration, outcome: &'static str) {
        self.last_end_number += 1;
        self.unacknowledged
            .insert(self.last_end_number, self.history.len());
        self.history.push(Execution {
            task: run.task.clone(),
            attempt: run.attempt,
            began: run.began,
            ended: at,
            outcome,
            acknowledged: false,
        });
        self.ends.push(End {
            number: self.last_end_number,
            task: run.task.clone(),
            attempt: run.attempt,
            outcome,
        });
        self.raise_past_attempt(&run.task, run.attempt);
    }

    fn raise_past_attempt(&mut self, task: &str, attempt: u32) {
        let highest = self.past_attempts.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Refuses an attempt that the worker must not run.
    pub fn start(&mut self, order: Start, now: Duration) -> Result<(), Refusal> {
        self.advance(now);
        self.check_fence(order.fence)?;
        let same = |run: &Run| run.task == order.task && run.attempt == order.attempt;
        if self.runs.iter().any(same) {
            return Ok(());
        }
        if self
            .past_attempts
            .get(&order.task)
            .is_some_and(|highest| order.attempt <= *highest)
        {
            return Err(Refusal::StaleAttempt);
        }
        if order.until <= self.clock(now) {
            return Err(Refusal::LeaseExpired);
        }
        self.extend_lease(order.until, now);
        if self.runs.len() >= self.max_runs {
            return Err(Refusal::NoCapacity);
        }
        self.runs.push(Run {
            task: order.task,
            attempt: order.attempt,
            began: now,
            ends_at: order.duration.map(|duration| now + duration),
            stops_at: None,
            fails: order.fails,
        });
        Ok(())
    }

    /// Stops an attempt. If it is not running, a later start of it is refused.
    ///
    /// # Errors
    ///
    /// Refuses an order with a lower fence.
    pub fn stop(
        &mut self,
        task: &str,
        attempt: u32,
        fence: u64,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.advance(now);
        self.check_fence(fence)?;
        let found = self
            .runs
            .iter()
            .position(|run| run.task == task && run.attempt == attempt);
        match found {
            Some(found) => {
                let stops = now + self.stop_time;
                self.runs[found].stops_at.get_or_insert(stops);
                self.advance(now);
            }
            None => self.raise_past_attempt(task, attempt),
        }
        Ok(())
    }

    /// Renews the lease, if `until` is given, and removes the acknowledged ends.
    ///
    /// # Errors
    ///
    /// Refuses a request with a lower fence.
    pub fn renew_lease(
        &mut self,
        until: Option<u64>,
        fence: u64,
        acknowledged: u64,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.advance(now);
        self.check_fence(fence)?;
        for end in self.ends.iter().filter(|end| end.number <= acknowledged) {
            if let Some(&at) = self.unacknowledged.get(&end.number) {
                self.history[at].acknowledged = true;
            }
        }
        self.ends.retain(|end| end.number > acknowledged);
        if let Some(until) = until {
            self.extend_lease(until, now);
        }
        Ok(())
    }

    /// Extends the lease until `until` milliseconds of its clock, but not beyond the longest one that it grants.
    fn extend_lease(&mut self, until: u64, now: Duration) {
        let longest = self.clock(now) + self.lease_limit.as_millis() as u64;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    /// Terminates the instance and everything that it runs.
    pub fn terminate(&mut self, now: Duration) {
        self.advance(now);
        for run in core::mem::take(&mut self.runs) {
            self.history.push(Execution {
                task: run.task,
                attempt: run.attempt,
                began: run.began,
                ended: now,
                outcome: "died",
                acknowledged: false,
            });
        }
    }
}
