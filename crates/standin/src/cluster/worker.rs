//! One life of a runner: leases, fences, runs and ends.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Why a start was not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// A higher fence was seen.
    Fence,
    /// This attempt or a later one ended or was stopped.
    Old,
    /// The lease has ended already.
    Late,
    /// There is no room.
    Room,
}

impl Refused {
    /// Returns the word on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Old => "old",
            Self::Late => "late",
            Self::Room => "room",
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
    pub work: Option<Duration>,
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
    ends: Option<Duration>,
    /// When its stop has ended, if it was ordered.
    pub stops: Option<Duration>,
    fails: bool,
}

impl Run {
    /// Returns its progress in percent; a run that lasts is at work half a second after its beginning.
    pub fn percent(&self, now: Duration) -> u8 {
        let spent = now.saturating_sub(self.began);
        match self.ends {
            None => 100 * u8::from(spent >= Duration::from_millis(500)),
            Some(ends) => {
                let whole = (ends - self.began).as_micros().max(1);
                (spent.as_micros() * 100 / whole).min(100) as u8
            }
        }
    }
}

/// An end that is listed.
#[derive(Clone, Debug)]
pub struct End {
    /// Its number.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// How it ended.
    pub how: &'static str,
}

/// One run from its beginning to its end, for checks.
#[derive(Clone, Debug)]
pub struct Interval {
    /// Name of the task.
    pub task: String,
    /// Its attempt.
    pub attempt: u32,
    /// When it began.
    pub began: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended; `died` with the worker.
    pub how: &'static str,
    /// The leader took note of the end, without a lapse of the lease before.
    pub noted: bool,
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
    epoch: Duration,
    /// Most runs at once.
    room: usize,
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
    until: u64,
    /// Highest attempt that ended or was stopped, by task.
    past: HashMap<String, u32>,
    /// All runs that have ended, for checks.
    pub history: Vec<Interval>,
    /// Positions in the history of ends that are listed.
    listed: HashMap<u64, usize>,
}

impl Worker {
    /// Makes a worker whose clock shows `rate` thousandths of true time from `now` on.
    pub fn new(id: &str, born: u64, room: usize, rate: u64, now: Duration) -> Self {
        Self {
            id: id.to_owned(),
            born,
            rate,
            epoch: now,
            room,
            runs: Vec::new(),
            ends: Vec::new(),
            number: 0,
            fence: 0,
            fenced: true,
            stop_time: Duration::ZERO,
            until: 0,
            past: HashMap::new(),
            history: Vec::new(),
            listed: HashMap::new(),
        }
    }

    /// Sets whether it rejects lower fences, to see what a runner without fences brings about.
    pub fn set_fenced(&mut self, fenced: bool) {
        self.fenced = fenced;
    }

    /// Takes a fence, or refuses a lower one.
    fn check_fence(&mut self, fence: u64) -> Result<(), Refused> {
        if self.fenced && fence < self.fence {
            return Err(Refused::Fence);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    /// Returns its clock in milliseconds.
    pub fn clock(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.epoch).as_micros() as u64;
        1_000 + elapsed * self.rate / 1_000_000
    }

    /// Returns when the lease ends.
    fn lapse(&self) -> Duration {
        let millis = self.until.saturating_sub(1_000);
        self.epoch + Duration::from_micros(millis * 1_000_000 / self.rate)
    }

    /// Ends what has ended by itself or by the end of the lease.
    pub fn advance(&mut self, now: Duration) {
        let lapse = self.lapse();
        let mut due: Vec<(Duration, usize)> = Vec::new();
        for (index, run) in self.runs.iter().enumerate() {
            let ends = [run.ends, run.stops].into_iter().flatten();
            let at = ends.fold(lapse, Duration::min);
            if at <= now {
                due.push((at, index));
            }
        }
        due.sort_unstable();
        let mut ended: Vec<usize> = due.iter().map(|(_, index)| *index).collect();
        for (at, index) in due {
            let run = self.runs[index].clone();
            let how = match run.ends {
                _ if run.stops == Some(at) => "stopped",
                Some(ends) if ends <= lapse && run.fails => "failed",
                Some(ends) if ends <= lapse => "done",
                _ => "lapsed",
            };
            self.list(&run, at, how);
        }
        if lapse <= now {
            // What was listed when the lease ended was not taken note of.
            self.listed.clear();
        }
        ended.sort_unstable();
        for index in ended.into_iter().rev() {
            self.runs.remove(index);
        }
    }

    fn list(&mut self, run: &Run, at: Duration, how: &'static str) {
        self.number += 1;
        self.listed.insert(self.number, self.history.len());
        self.history.push(Interval {
            task: run.task.clone(),
            attempt: run.attempt,
            began: run.began,
            ended: at,
            how,
            noted: false,
        });
        self.ends.push(End {
            number: self.number,
            task: run.task.clone(),
            attempt: run.attempt,
            how,
        });
        self.raise(&run.task, run.attempt);
    }

    fn raise(&mut self, task: &str, attempt: u32) {
        let past = self.past.entry(task.to_owned()).or_default();
        *past = (*past).max(attempt);
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Refuses what the worker must not run.
    pub fn start(&mut self, order: Start, now: Duration) -> Result<(), Refused> {
        self.advance(now);
        self.check_fence(order.fence)?;
        let same = |run: &Run| run.task == order.task && run.attempt == order.attempt;
        if self.runs.iter().any(same) {
            return Ok(());
        }
        if self
            .past
            .get(&order.task)
            .is_some_and(|past| order.attempt <= *past)
        {
            return Err(Refused::Old);
        }
        if order.until <= self.clock(now) {
            return Err(Refused::Late);
        }
        self.until = self.until.max(order.until);
        if self.runs.len() >= self.room {
            return Err(Refused::Room);
        }
        self.runs.push(Run {
            task: order.task,
            attempt: order.attempt,
            began: now,
            ends: order.work.map(|work| now + work),
            stops: None,
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
    ) -> Result<(), Refused> {
        self.advance(now);
        self.check_fence(fence)?;
        let found = self
            .runs
            .iter()
            .position(|run| run.task == task && run.attempt == attempt);
        match found {
            Some(found) => {
                let stops = now + self.stop_time;
                self.runs[found].stops.get_or_insert(stops);
                self.advance(now);
            }
            None => self.raise(task, attempt),
        }
        Ok(())
    }

    /// Renews the lease and acknowledges ends.
    ///
    /// # Errors
    ///
    /// Refuses a lower fence.
    pub fn hold(
        &mut self,
        until: Option<u64>,
        fence: u64,
        acknowledged: u64,
        now: Duration,
    ) -> Result<(), Refused> {
        self.advance(now);
        self.check_fence(fence)?;
        for end in self.ends.iter().filter(|end| end.number <= acknowledged) {
            if let Some(&at) = self.listed.get(&end.number) {
                self.history[at].noted = true;
            }
        }
        self.ends.retain(|end| end.number > acknowledged);
        if let Some(until) = until {
            self.until = self.until.max(until);
        }
        Ok(())
    }

    /// Ends this life with all that it runs.
    pub fn die(&mut self, now: Duration) {
        self.advance(now);
        for run in core::mem::take(&mut self.runs) {
            self.history.push(Interval {
                task: run.task,
                attempt: run.attempt,
                began: run.began,
                ended: now,
                how: "died",
                noted: false,
            });
        }
    }
}
