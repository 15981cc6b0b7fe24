//! Restarts of simulated runners.

use super::Harness;
use sassafrascrank_base::prelude::*;
use sassafrascrank_standin::cluster::Worker;

impl Harness {
    /// Restarts a runner under its name, and lets the engine read the service list.
    pub(crate) fn restart_runner(&mut self, id: &str) {
        self.restart_unlisted(id);
        self.list_runners();
    }

    /// Restarts a runner under its name. The engine does not read the service list.
    pub(crate) fn restart_unlisted(&mut self, id: &str) {
        let incarnation = self.later_incarnation(id, Duration::ZERO);
        let worker = self.worker(id, incarnation);
        let runner = self.runners.get_mut(id).expect("the runner exists");
        runner.worker.terminate(self.now);
        runner.listed.incarnation = incarnation;
        runner.worker = worker;
    }

    /// Returns the number of an incarnation of a runner that begins `after` from now.
    pub(super) fn later_incarnation(&self, id: &str, after: Duration) -> u64 {
        let begins = (self.time() + after).as_millis();
        begins.max(self.runners[id].listed.incarnation + 1)
    }

    /// Returns a new incarnation of a runner.
    pub(super) fn worker(&self, id: &str, incarnation: u64) -> Worker {
        let mut worker = Worker::new(id, incarnation, 64, 1_000, self.now);
        worker.lease_limit = self.rules.lease_limit;
        worker
    }
}
