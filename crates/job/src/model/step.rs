//! Steps of a job and the resources that their tasks need.

use core::ops::{
    AddAssign,
    SubAssign, //
};
use sassafrascrank_base::prelude::*;

/// Amount of each resource that a host has or a task needs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Resource {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resource {
    /// Tells whether `need` fits into the part of `self` that `used` leaves free.
    pub fn fits(self, used: Self, need: Self) -> bool {
        used.cpu + need.cpu <= self.cpu
            && used.memory + need.memory <= self.memory
            && used.gpu + need.gpu <= self.gpu
    }

    /// Returns the share of `self` that `used` takes, for the resource with the largest share.
    pub fn share(self, used: Self) -> f64 {
        let share = |used: u64, total: u64| match total {
            0 => 0.0,
            total => used as f64 / total as f64,
        };
        share(used.cpu, self.cpu)
            .max(share(used.memory, self.memory))
            .max(share(used.gpu, self.gpu))
    }
}

impl AddAssign for Resource {
    fn add_assign(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }
}

impl SubAssign for Resource {
    fn sub_assign(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}

/// Identical tasks that may start as soon as all tasks of the preceding steps are done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub need: Resource,
    /// The caller's estimate of a task's duration, which may be far off.
    pub estimate: Duration,
    /// Positions of the earlier steps whose tasks must all be done first.
    pub after: Box<[u16]>,
    /// The tasks write checkpoints, from which a later attempt resumes.
    pub checkpoints: bool,
    /// The tasks make progress only while all of them run.
    pub gang: bool,
    /// The tasks are slower if they don't run in the same rack.
    pub coupled: bool,
    /// Label that the runner must have.
    pub label: Option<Box<str>>,
    /// Rack that holds the data of the tasks; other racks are allowed.
    pub data_rack: Option<Box<str>>,
    /// Largest number of tasks of the step, within one occurrence, on one runner.
    pub max_per_runner: Option<u16>,
    /// A second attempt of a slow task may run beside the first one.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the program that the tasks run; tasks with the same image behave alike.
    pub image: Option<Box<str>>,
    /// Largest allowed tail latency of a task that serves requests.
    pub target: Option<Duration>,
    /// The tasks use only processor time that other tasks leave idle, so none is reserved for them.
    pub uses_spare_cpu: bool,
    /// Number of tasks that the scheduler may take out of service at the same time.
    pub max_unavailable: Option<u16>,
}

impl Step {
    /// Returns about how many bytes of memory the step takes.
    pub fn bytes(&self) -> usize {
        let texts = [&self.label, &self.data_rack, &self.image].into_iter();
        let texts = texts.flatten().map(|text| text.len()).sum::<usize>();
        size_of::<Self>() + size_of_val::<[u16]>(&self.after) + texts
    }

    /// Returns the resources that are reserved for a task on its runner.
    pub fn reserved(&self) -> Resource {
        Resource {
            cpu: if self.uses_spare_cpu {
                0
            } else {
                self.need.cpu
            },
            ..self.need
        }
    }
}
