//! A step of a job.

use core::ops::{
    AddAssign,
    SubAssign, //
};
use sassafrascrank_base::prelude::*;

/// Amount of each resource of a host.
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
    /// Tells whether `need` fits into what is left of `self` after `used`.
    pub fn fits(self, used: Self, need: Self) -> bool {
        used.cpu + need.cpu <= self.cpu
            && used.memory + need.memory <= self.memory
            && used.gpu + need.gpu <= self.gpu
    }

    /// Returns the largest share of `self` that `used` takes in any resource.
    pub fn share(self, used: Self) -> f64 {
        let share = |used: u64, whole: u64| match whole {
            0 => 0.0,
            whole => used as f64 / whole as f64,
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

/// Equal tasks that may start as soon as the steps before them are done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// What each task takes of a host.
    pub need: Resource,
    /// The caller's estimate of a task's duration, often far off.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub after: Box<[u16]>,
    /// The tasks write checkpoints from which a later attempt resumes.
    pub checkpoints: bool,
    /// The tasks work only while all of them run.
    pub gang: bool,
    /// The tasks are slower if they don't share a rack.
    pub coupled: bool,
    /// Label that the runner must have.
    pub label: Option<Box<str>>,
    /// Rack that holds the data.
    pub data_rack: Option<Box<str>>,
    /// Most tasks of one occurrence of the step on one runner.
    pub max_per_runner: Option<u16>,
    /// A second attempt may run beside the first one.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// Bound on the tail of the response times of a serving task.
    pub target: Option<Duration>,
    /// The tasks use processor time that others leave, which is not counted.
    pub uses_spare_cpu: bool,
    /// Tasks that may be away at the same time because of the system's own actions.
    pub max_unavailable: Option<u16>,
}

impl Step {
    /// Returns what a task takes of a runner's capacity.
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
