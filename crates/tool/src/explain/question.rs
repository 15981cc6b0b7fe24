//! What is asked, and what the platform's log holds.

use crate::jobs::State;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Step, //
};
use sassafrascrank_schedule::{
    Config,
    config::Credential,
    runner::Listed, //
};
use std::sync::Arc;

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Question {
    /// A submission that was not sent.
    Request {
        /// Host name in the request.
        host: String,
        /// Path of the request.
        path: String,
        /// Credential of the caller.
        credential: Option<Credential>,
        /// Steps of the job; empty if they are not given.
        steps: Vec<Step>,
    },
    /// A job in the log.
    Job(Id),
}

/// What the platform's log holds.
#[derive(Clone, Debug)]
pub struct Platform<'a> {
    /// The jobs.
    pub state: &'a State,
    /// The configuration in force, if the log has one that can be used.
    pub config: Option<Arc<Config>>,
    /// The service list.
    pub runners: Vec<Listed>,
    /// Time of day.
    pub now: Time,
}
