//! Status of the process.

use super::update::{
    Engine,
    Phase,
    Platform,
    Update, //
};
use crate::timeline::Process;
use sassafrascrank_base::prelude::*;

/// Status of the process, with the last value of each part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Identity of the process.
    pub process: Process,
    /// Name of its availability zone.
    pub zone: Name,
    /// When it started.
    pub started: Time,
    /// Phase of its lifecycle.
    pub phase: Phase,
    /// State of the dispatch engine: pools and upstreams.
    pub engine: Engine,
    /// State read from the platform: configuration, members and log.
    pub platform: Platform,
}

impl Status {
    /// Creates the status of a process that has just started.
    pub fn new(process: Process, zone: Name, started: Time) -> Self {
        Self {
            process,
            zone,
            started,
            phase: Phase::default(),
            engine: Engine::default(),
            platform: Platform::default(),
        }
    }

    /// Replaces a part. The phase no longer changes once it is `ShuttingDown`.
    pub fn apply(&mut self, update: Update) {
        match update {
            Update::Engine(engine) => self.engine = engine,
            Update::Platform(platform) => self.platform = platform,
            Update::Phase(_) if self.phase == Phase::ShuttingDown => {}
            Update::Phase(phase) => self.phase = phase,
        }
    }
}
