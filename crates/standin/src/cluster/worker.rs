//! One life of a runner: leases, fences, runs and ends.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Why a start was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A higher fence was seen.
    StaleFence,
    /// This attempt or a later one ended or was stopped.
    StaleAttempt,
    /// The lease has ended already.
    LeaseExpired,
    /// All run slots are in use.
    NoCapacity,
}

impl Refusal {
    /// Returns the word on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::StaleFence => "fence",
            Self::StaleAttempt => "old",
            Self::LeaseExpired => "late",
            Self::NoCapacity => "room",
        }
    }
}

/// An order to start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// End of the lease by the worker's clock in milliseconds.
    pub until: u64,
    /// Epoch of the leader.
    pub fence: u64,
    /// How long the task takes; `None` if it lasts until it is stopped.
    pub duration: Option<Duration>,
    /// It ends as failed.
    pub fails: bool,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// When it began.
    pub began: Duration,
    /// When it ends by itself.
    ends_at: Option<Duration>,
    /// When its stop has ended, if it was ordered.
    pub stops_at: Option<Duration>,
    fails: bool,
}

impl Run {
    /// Returns its progress in percent; a run that lasts is at work half a second after its beginning.
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

/// One run from its beginning to its end, for checks.
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
    /// How it ended; `died` with the worker.
    pub outcome: &'static str,
    /// The leader took note of the end, without a lapse of the lease before.
    pub acknowledged: bool,
}

/// One life of a runner. All times are since the beginning of the test.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Identity.
    pub id: String,
    /// Start of this life, Unix milliseconds.
    pub born: u64,
    /// Thousandths of true time that its clock shows.
    rate: u64,
    clock_start: Duration,
    /// Most runs at once.
    max_runs: usize,
    /// What runs.
    pub runs: Vec<Run>,
    /// Ends that were not acknowledged.
    pub ends: Vec<End>,
    number: u64,
    fence: u64,
    /// It rejects lower fences.
    fenced: bool,
    /// Time that a stop takes.
    pub stop_time: Duration,
    lease_until: u64,
    /// Highest attempt that ended or was stopped, by task.
    past_attempts: HashMap<String, u32>,
    /// All runs that have ended, for checks.
    pub history: Vec<Execution>,
    /// Index in `history` of each unacknowledged end, by the number of the end.
    unacknowledged: HashMap<u64, usize>,
}

impl Worker {
    /// Makes a worker whose clock shows `rate` thousandths of true time from `now` on.
    pub fn new(id: &str, born: u64, max_runs: usize, rate: u64, now: Duration) -> Self {
        Self {
            id: id.to_owned(),
            born,
            rate,
            clock_start: now,
            max_runs,
            runs: Vec::new(),
            ends: Vec::new(),
            number: 0,
            fence: 0,
            fenced: true,
            stop_time: Duration::ZERO,
            lease_until: 0,
            past_attempts: HashMap::new(),
            history: Vec::new(),
            unacknowledged: HashMap::new(),
        }
    }

    /// Sets whether it rejects lower fences, to see what a runner without fences brings about.
    pub fn set_fenced(&mut self, fenced: bool) {
        self.fenced = fenced;
    }

    /// Takes a fence, or refuses a lower one.
    fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if self.fenced && fence < self.fence {
            return Err(Refusal::StaleFence);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    /// Returns its clock in milliseconds.
    pub fn clock(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.clock_start).as_micros() as u64;
        1_000 + elapsed * self.rate / 1_000_000
    }

    /// Returns when the lease ends.
    fn lease_end(&self) -> Duration {
        let millis = self.lease_until.saturating_sub(1_000);
        self.clock_start + Duration::from_micros(millis * 1_000_000 / self.rate)
    }

    /// Ends what has ended by itself or by the end of the lease.
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
            // What was listed when the lease ended was not taken note of.
            self.unacknowledged.clear();
        }
        ended.sort_unstable();
        for index in ended.into_iter().rev() {
            self.runs.remove(index);
        }
    }

    fn record_end(&mut self, run: &Run, at: Duration, outcome: &'static str) {
        self.number += 1;
        self.unacknowledged.insert(self.number, self.history.len());
        self.history.push(Execution {
            task: run.task.clone(),
            attempt: run.attempt,
            began: run.began,
            ended: at,
            outcome,
            acknowledged: false,
        });
        self.ends.push(End {
            number: self.number,
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
    /// Refuses what the worker must not run.
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
        self.lease_until = self.lease_until.max(order.until);
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

    /// Stops an attempt, or makes it impossible.
    ///
    /// # Errors
    ///
    /// Refuses a lower fence.
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

    /// Renews the lease and acknowledges ends.
    ///
    /// # Errors
    ///
    /// Refuses a lower fence.
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
            self.lease_until = self.lease_until.max(until);
        }
        Ok(())
    }

    /// Ends this life with all that it runs.
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
