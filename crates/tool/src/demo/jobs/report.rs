//! What was kept.

use core::{
    fmt::{
        self,
        Display,
        Formatter, //
    },
    time::Duration, //
};
use sassafrascrank_standin::cluster::Execution;
use std::collections::BTreeMap;

/// What became of jobs and tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Kept {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Those of them that were done in the end.
    pub done: usize,
    /// Submissions that were refused as not run, and repeated.
    pub refused: usize,
    /// Tasks that were done.
    pub tasks: usize,
    /// Tasks that were done more than once.
    pub repeated: usize,
    /// Pairs of runs of one task that overlapped.
    pub overlapped: usize,
}

impl Kept {
    /// Counts tasks by the runs that runners have seen.
    pub fn count_runs(&mut self, history: &[Execution]) {
        let mut done: BTreeMap<&str, usize> = BTreeMap::new();
        for run in history.iter().filter(|run| run.outcome == "done") {
            *done.entry(&run.task).or_default() += 1;
        }
        self.tasks = done.len();
        self.repeated = done.values().filter(|count| **count > 1).count();
        let mut runs: Vec<_> = history
            .iter()
            .map(|run| (&run.task, run.began, run.ended))
            .collect();
        runs.sort_unstable();
        let overlaps = runs
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0 && pair[1].1 < pair[0].2);
        self.overlapped = overlaps.count();
    }
}

/// What a demo has shown.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Summary {
    /// Jobs and tasks.
    pub kept: Kept,
    /// Milliseconds from the submission to the end: half of the jobs, 99 of 100.
    pub latency_ms: [u128; 2],
    /// Hosts of the wave, those whose maintenance has begun, and the most at once.
    pub wave: [usize; 3],
    /// Cap of the wave.
    pub cap: usize,
    /// Lasting tasks, and the least number of them that ran during the wave.
    pub lasting: [usize; 2],
    /// Those of the lasting tasks that may be away at once.
    pub may_miss: usize,
    /// Entry that led before it stopped, and the one that led after it.
    pub leaders: [String; 2],
}

impl Summary {
    /// Tells whether everything was kept.
    pub fn is_kept(&self) -> bool {
        let kept = self.kept;
        kept.accepted == kept.done
            && kept.repeated + kept.overlapped == 0
            && self.wave[0] == self.wave[1]
            && self.wave[2] <= self.cap
            && self.lasting[1] + self.may_miss >= self.lasting[0]
            && self.leaders[0] != self.leaders[1]
    }
}

/// Returns the middle one and the one at 99 of 100 of some durations, in milliseconds.
pub(super) fn percentiles(mut spans: Vec<Duration>) -> [u128; 2] {
    spans.sort_unstable();
    let at = |part: usize| {
        let place = (spans.len() * part / 100).min(spans.len().saturating_sub(1));
        spans.get(place).map_or(0, Duration::as_millis)
    };
    [at(50), at(99)]
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Kept {
            accepted,
            done,
            refused,
            tasks,
            repeated,
            overlapped,
        } = self.kept;
        let [half, most] = self.latency_ms;
        writeln!(
            f,
            "jobs      {accepted} accepted, {done} of them done, {refused} refusals repeated"
        )?;
        writeln!(
            f,
            "tasks     {tasks} done, {repeated} of them twice, {overlapped} ran twice at once"
        )?;
        writeln!(
            f,
            "time      half of the jobs within {half} ms, 99 of 100 within {most} ms"
        )?;
        let [hosts, begun, at_once] = self.wave;
        let cap = self.cap;
        writeln!(
            f,
            "wave      {begun} of {hosts} hosts maintained, at most {at_once} at once, the cap is {cap}"
        )?;
        let [lasting, least] = self.lasting;
        writeln!(
            f,
            "lasting   {lasting} tasks, {least} of them ran at the least, {} may be away",
            self.may_miss
        )?;
        let [before, after] = &self.leaders;
        writeln!(f, "leader    {before} until it stopped, then {after}")?;
        let verdict = if self.is_kept() {
            "all was kept"
        } else {
            "something was lost: see above"
        };
        writeln!(f, "\n{verdict}")
    }
}
