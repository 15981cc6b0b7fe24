//! The leader, the jobs of each queue, and the waves.

use super::State;
use core::fmt::{
    self,
    Display,
    Formatter, //
};
use sassafrascrank_job::{
    Id,
    progress::Outcome,
    replica, //
};
use std::collections::BTreeMap;

/// Jobs of one queue by state.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
struct Counts {
    queued: u64,
    running: u64,
    done: u64,
    failed: u64,
    cancelled: u64,
}

/// The leader according to its latest record.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Leader {
    holder: String,
    epoch: u64,
    /// Capacity that it manages, in thousandths of a core.
    capacity: u32,
    resigned: bool,
}

/// Progress of a maintenance wave.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Wave {
    number: u64,
    /// Hosts whose maintenance has begun.
    begun: usize,
    done: bool,
}

/// The leader, the jobs of each queue, and the waves.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Overview {
    leader: Option<Leader>,
    queues: BTreeMap<String, Counts>,
    waves: Vec<Wave>,
    /// Records that can't be read.
    skipped: u64,
}

impl From<&State> for Overview {
    fn from(state: &State) -> Self {
        let replica = &state.replica;
        let mut queues: BTreeMap<String, Counts> = BTreeMap::new();
        for (_, entry) in replica.jobs() {
            if let Some(queue) = &entry.queue {
                let counts = queues.entry(queue.to_string()).or_default();
                *counts.counter(replica.state(entry.id)) += 1;
            }
        }
        let leader = replica.leader().map(|leader| Leader {
            holder: leader.holder.to_string(),
            epoch: leader.epoch,
            capacity: leader.capacity,
            resigned: leader.resigned,
        });
        let waves = replica.waves().values().map(|wave| Wave {
            number: wave.number,
            begun: wave.begun.len(),
            done: wave.done,
        });
        Self {
            leader,
            queues,
            waves: waves.collect(),
            skipped: state.skipped,
        }
    }
}

impl Counts {
    /// Returns the counter of a state.
    fn counter(&mut self, state: Option<replica::State>) -> &mut u64 {
        match state {
            None | Some(replica::State::Queued) => &mut self.queued,
            Some(replica::State::Running) => &mut self.running,
            Some(replica::State::Ended(Outcome::Done)) => &mut self.done,
            Some(replica::State::Ended(Outcome::Failed)) => &mut self.failed,
            Some(replica::State::Ended(Outcome::Cancelled)) => &mut self.cancelled,
        }
    }
}

/// Returns the name of a job's state, as the output shows it.
pub(super) fn describe_state(state: &State, id: Id) -> &'static str {
    match state.replica.state(id) {
        None => "unknown",
        Some(replica::State::Queued) => "queued",
        Some(replica::State::Running) => "running",
        Some(replica::State::Ended(Outcome::Done)) => "done",
        Some(replica::State::Ended(Outcome::Failed)) => "failed",
        Some(replica::State::Ended(Outcome::Cancelled)) => "cancelled",
    }
}

impl Display for Overview {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.leader {
            None => writeln!(f, "no leader: no entry has claimed yet")?,
            Some(leader) => {
                let Leader {
                    holder,
                    epoch,
                    capacity,
                    resigned,
                } = leader;
                let part = if *resigned { "resigned" } else { "leads" };
                writeln!(
                    f,
                    "{holder} {part}, epoch {epoch}, {capacity} thousandths of a core"
                )?;
            }
        }
        let head = ["queue", "queued", "running", "done", "failed", "cancelled"];
        let [queue, queued, running, done, failed, cancelled] = head;
        writeln!(
            f,
            "\n{queue:<24} {queued:>9} {running:>9} {done:>9} {failed:>9} {cancelled:>9}"
        )?;
        for (name, counts) in &self.queues {
            let Counts {
                queued,
                running,
                done,
                failed,
                cancelled,
            } = counts;
            writeln!(
                f,
                "{name:<24} {queued:>9} {running:>9} {done:>9} {failed:>9} {cancelled:>9}"
            )?;
        }
        for wave in &self.waves {
            let state = if wave.done { "done" } else { "running" };
            writeln!(
                f,
                "\nwave {}: {state}, {} hosts have begun",
                wave.number, wave.begun
            )?;
        }
        if self.skipped > 0 {
            writeln!(
                f,
                "\n{} records can't be read: upgrade this tool",
                self.skipped
            )?;
        }
        Ok(())
    }
}
