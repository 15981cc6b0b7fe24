//! Results of the demo of jobs.

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

/// Number of jobs and tasks by result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct Counts {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Those of them that were done in the end.
    pub done: usize,
    /// Submissions that were rejected as not run, and sent again.
    pub refused: usize,
    /// Tasks that were done.
    pub tasks: usize,
    /// Tasks that were done more than once.
    pub repeated: usize,
    /// Pairs of runs of one task that overlapped.
    pub overlapped: usize,
}

impl Counts {
    /// Counts tasks by the runs that the runners recorded.
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

/// Results of the demo.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Summary {
    /// Jobs and tasks.
    pub kept: Counts,
    /// Time from the submission to the end of a job in milliseconds: median and 99th percentile.
    pub latency_ms: [u128; 2],
    /// Hosts of the wave, hosts whose maintenance has begun, and most hosts in maintenance at once.
    pub wave: [usize; 3],
    /// Most hosts that may be in maintenance at once.
    pub cap: usize,
    /// Tasks of the long-running job, and the fewest of them that ran at once.
    pub lasting: [usize; 2],
    /// Tasks of the long-running job that may be stopped at once.
    pub may_miss: usize,
    /// Entry that led until it was stopped, and entry that leads at the end.
    pub leaders: [String; 2],
}

impl Summary {
    /// Returns whether every accepted job was done, no task ran twice, all limits were kept and the leader changed.
    pub fn is_success(&self) -> bool {
        let counts = self.kept;
        counts.accepted == counts.done
            && counts.repeated + counts.overlapped == 0
            && self.wave[0] == self.wave[1]
            && self.wave[2] <= self.cap
            && self.lasting[1] + self.may_miss >= self.lasting[0]
            && self.leaders[0] != self.leaders[1]
    }
}

/// Returns the median and the 99th percentile in milliseconds; 0 if there are no latencies.
pub(super) fn percentiles(mut latencies: Vec<Duration>) -> [u128; 2] {
    latencies.sort_unstable();
    let at = |part: usize| {
        let index = (latencies.len() * part / 100).min(latencies.len().saturating_sub(1));
        latencies.get(index).map_or(0, Duration::as_millis)
    };
    [at(50), at(99)]
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Counts {
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
        let [lasting, fewest] = self.lasting;
        writeln!(
            f,
            "lasting   {lasting} tasks, {fewest} of them ran at the least, {} may be away",
            self.may_miss
        )?;
        let [before, after] = &self.leaders;
        writeln!(f, "leader    {before} until it stopped, then {after}")?;
        let verdict = if self.is_success() {
            "all was kept"
        } else {
            "something was lost: see above"
        };
        writeln!(f, "\n{verdict}")
    }
}
