//! Samples of how tasks on a runner slow each other down, and the expected slowdown on a runner.

use super::{
    Engine,
    straggler::Speed, //
};
use crate::{
    contention::{
        Beside,
        Change,
        Key,
        Name,
        Partner,
        Sample,
        Summary, //
    },
    job::{
        Run,
        run::{
            self,
            Stage, //
        },
    },
    note::{
        Kind,
        Note, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Step;

/// Time that a reported latency covers. Samples of latencies are at least so far apart, since closer ones are not independent.
const REPORT_SPAN: Duration = Duration::from_millis(500);
/// Smallest part of that time for which a task beside a run has to work to count. Below, the noise of a report would be
/// multiplied by more than five.
const MIN_PRESENCE: f64 = 0.2;
/// Percentage that a long-running task reports once it works at full speed.
const FULL_PERCENT: u8 = 100;
/// Time between two samples of the speed of a run, which changes slowly. There are far more such runs than serving ones.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of a projected duration as a sample. The durations of the tasks of a step differ, and those of one run are much
/// the same, so several runs have to agree.
const SPEED_WEIGHT: f64 = 0.2;
/// Shortest duration, as a share of the usual one, that counts. Estimates are off by less.
const SPEED_MIN: f64 = 0.1;

impl Engine {
    /// Returns the size of the table of images that slow each other down.
    pub fn contention(&self) -> Summary {
        self.contention.summary()
    }

    /// Returns the pairs of images that interfere most, at most `limit`.
    pub fn strongest_contention(&self, limit: usize) -> Vec<Change> {
        self.contention.strongest(limit)
    }

    /// Sets the image of a run.
    pub(super) fn track_image(&mut self, key: run::Key, now: Time) {
        let task = self.runs[key].task;
        let Some(active) = self.jobs.get(task.job_key) else {
            return;
        };
        let spec = &active.job.steps[usize::from(task.step)];
        let name = name(spec, &self.queues[active.queue].name);
        self.runs[key].influence.image = self.contention.intern(name, now);
    }

    /// Returns the images that interfere with that of a step of a queue.
    pub(super) fn partners(&self, spec: &Step, queue: &str) -> Vec<Partner> {
        match self.contention.is_quiet() {
            true => Vec::new(),
            false => self.contention.partners(name(spec, queue)),
        }
    }

    /// Returns the expected slowdown if a task with these partners starts on a runner.
    pub(super) fn slowdown_beside(&self, partners: &[Partner], key: runner::Key) -> u32 {
        if partners.is_empty() {
            return 0;
        }
        let images = self.runners[key].images.iter();
        images.map(|&image| cost(partners, image)).sum()
    }

    /// Returns the expected slowdown by a run where it is.
    pub(super) fn slowdown_by(&self, partners: &[Partner], run: &Run) -> u32 {
        let images = self.runners[run.runner].images.iter();
        let others = images.map(|&(image, count)| {
            let own = run.influence.image == Some(image);
            (image, count - u16::from(own))
        });
        others.map(|image| cost(partners, image)).sum()
    }

    /// Finds out which images interfere, and notes what has changed.
    pub(super) fn update_contention(&mut self, now: Time) {
        for change in self.contention.update(now) {
            let reason = if change.found { "found" } else { "ended" };
            self.note(Note::new(Kind::Contention, reason, now).with_contention(change));
        }
    }

    /// Takes the latencies that a runner has just reported as samples.
    pub(super) fn observe_latencies(&mut self, key: runner::Key, now: Time) {
        let Some(runner) = self.runners.get(key).filter(|runner| runner.serving > 0) else {
            return;
        };
        let samples = runner.runs.iter().filter_map(|&run| {
            let slowdown = self.latency_share(run, now)?;
            Some((run, slowdown))
        });
        let samples: Vec<(run::Key, f64)> = samples.collect();
        self.observe(key, &samples, 1.0, REPORT_SPAN, now);
    }

    /// Takes the speeds of the runs of a runner as samples.
    pub(super) fn observe_speeds(&mut self, key: runner::Key, speeds: &[Speed], now: Time) {
        let samples = speeds.iter().filter_map(|speed| {
            let slowdown = speed.percent_of_usual()? as f64 / 100.0;
            let sound = slowdown >= SPEED_MIN && self.runs[speed.run].percent < FULL_PERCENT;
            sound.then_some((speed.run, slowdown))
        });
        let samples: Vec<(run::Key, f64)> = samples.collect();
        self.observe(key, &samples, SPEED_WEIGHT, SPEED_INTERVAL, now);
    }

    /// Returns the tail latency of a serving task as a share of its target, if its report covers a time at full speed.
    fn latency_share(&self, key: run::Key, now: Time) -> Option<f64> {
        let run = &self.runs[key];
        let due = run.traits.serving && now.since(run.influence.sampled_at) >= REPORT_SPAN;
        let full_speed = run.stage == Stage::Running && run.percent == FULL_PERCENT;
        if !due || !full_speed || run.load == 0 || presence(run, now) < 1.0 {
            return None;
        }
        let target = self.step_spec(run.task)?.target?.as_millis() as u64;
        (target > 0).then(|| run.load as f64 / target as f64)
    }

    /// Adds samples of runs on a runner. Those of each run are at least `interval` apart.
    fn observe(
        &mut self,
        key: runner::Key,
        samples: &[(run::Key, f64)],
        weight: f64,
        interval: Duration,
        now: Time,
    ) {
        let is_due = |run: run::Key| {
            let influence = &self.runs[run].influence;
            influence.image.is_some() && now.since(influence.sampled_at) >= interval
        };
        if !samples.iter().any(|&(run, _)| is_due(run)) {
            return;
        }
        let runner = &self.runners[key];
        // The latest report covers a time in which a task beside the others may have ended.
        let has_ended = now.since(runner.ended_at) < REPORT_SPAN;
        let present = runner.runs.iter().filter_map(|&run| {
            let known = &self.runs[run];
            let presence = presence(known, now);
            Some((run, known.influence.image?, presence)).filter(|_| presence >= MIN_PRESENCE)
        });
        let present: Vec<(run::Key, Key, f64)> = present.collect();
        for &(run, slowdown) in samples {
            let influence = &mut self.runs[run].influence;
            let Some(affected) = influence.image else {
                continue;
            };
            if now.since(influence.sampled_at) < interval {
                continue;
            }
            let beside = images_beside(&present, run);
            if beside.is_empty() && has_ended {
                continue;
            }
            influence.sampled_at = now;
            let sample = Sample {
                affected,
                slowdown,
                weight,
                beside: &beside,
            };
            self.contention.observe(&sample, now);
        }
    }
}

/// Returns the name under which the tasks of a step count.
fn name<'a>(spec: &'a Step, queue: &'a str) -> Name<'a> {
    let image = spec.image.as_deref().map(Name::Image);
    image
        .filter(|image| image.is_valid())
        .unwrap_or(Name::Queue(queue))
}

fn cost(partners: &[Partner], (image, count): (Key, u16)) -> u32 {
    let partner = partners.iter().find(|partner| partner.image == image);
    partner.map_or(0, |partner| partner.cost(count))
}

/// Returns the images of the runs other than `run`, each with the longest presence of its runs.
fn images_beside(present: &[(run::Key, Key, f64)], run: run::Key) -> Vec<Beside> {
    let mut beside: Vec<Beside> = Vec::new();
    for &(_, image, presence) in present.iter().filter(|(other, ..)| *other != run) {
        match beside.iter_mut().find(|known| known.image == image) {
            Some(known) => known.presence = known.presence.max(presence),
            None => beside.push(Beside { image, presence }),
        }
    }
    beside
}

/// Returns the part of the time of the latest report for which a run worked, as a share of full speed.
fn presence(run: &Run, now: Time) -> f64 {
    if !matches!(run.stage, Stage::Running | Stage::Stopping) {
        return 0.0;
    }
    let part = |since: Time| (now.since(since).as_secs_f64() / REPORT_SPAN.as_secs_f64()).min(1.0);
    let alive = run.started.map_or(1.0, part);
    let influence = &run.influence;
    let changed = part(influence.share_changed_at);
    let share =
        changed * f64::from(run.pace_percent) + (1.0 - changed) * f64::from(influence.former_share);
    alive * share / 100.0
}
