//! Records of operators: configurations and requests for maintenance.

use super::{
    Control,
    control::Wave, //
};
use crate::{
    front::Notice,
    port::OperatorRecord, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::sync::Arc;

impl Control {
    /// Handles a configuration or a request for maintenance.
    pub(super) fn handle_operator_record(&mut self, record: OperatorRecord, now: Time) {
        match record {
            OperatorRecord::Config(config) => {
                let known = self.config.as_ref().map_or(0, |config| config.version);
                if config.version <= known {
                    return;
                }
                let event = Event::new("config", now)
                    .with("version", Value::Count(config.version))
                    .with("queues", Value::Count(config.queues.len() as u64));
                self.out.events.push(event);
                if self.config.is_none() {
                    // All entries read the first configuration at the same time. Without the delays of the election,
                    // all of them would claim at once.
                    self.election.restart_wait(now);
                }
                if let Some(engine) = &mut self.engine {
                    engine.configure(&config);
                }
                self.gate.configure(config.accounts.as_ref());
                self.report_caps(&config, now);
                self.out.notices.push(Notice::Config(Arc::clone(&config)));
                self.config = Some(config);
            }
            OperatorRecord::Wave {
                number,
                hosts,
                duration,
                cap,
            } => {
                let known = self.waves.get(&number);
                let wave = Wave {
                    hosts,
                    duration,
                    cap,
                    since: known.map_or(now, |known| known.since),
                };
                if let Some(engine) = &mut self.engine {
                    let progress = self.replica.waves().get(&number);
                    engine.add_wave(number, wave.hosts.clone(), duration, cap, progress, now);
                }
                self.waves.insert(number, wave);
            }
        }
    }

    /// Records that all records that operators had written by `started` have been read.
    pub(super) fn confirm_config(&mut self, started: Time) {
        self.config_confirmed = started;
        self.out.notices.push(Notice::Confirmed(started));
    }
}
