//! Messages between the front thread and the control thread.

use super::{
    Access,
    Answer, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Job, //
};
use sassafrascrank_schedule::Config;
use std::sync::Arc;

/// Request of a caller.
#[derive(Debug)]
pub enum Query {
    /// Submits a job.
    Submit(Arc<Job>),
    /// Asks for the state of a job.
    State(Id),
    /// Cancels a job.
    Cancel(Id),
    /// Asks for the number of pending jobs in a queue.
    Pending(Arc<str>),
}

/// Request of a caller, and who waits for the answer.
#[derive(Debug)]
pub struct Request {
    /// Identifies the waiting caller within the front thread.
    pub caller: u64,
    /// For whom the caller acts.
    pub access: Access,
    /// The request.
    pub query: Query,
}

/// Message to the front thread.
#[derive(Debug)]
pub enum Notice {
    /// The answer for a caller.
    Reply {
        /// Identifies the waiting caller.
        caller: u64,
        /// The answer.
        answer: Answer,
    },
    /// A new configuration is in force.
    Config(Arc<Config>),
    /// The configuration in force was the newest one at this time.
    Confirmed(Time),
    /// The entry accepts requests from now on, or does not.
    Ready(bool),
    /// The candidates that answer callers' questions about jobs, in the order of preference; none if this entry does.
    Route(Vec<SocketAddr>),
    /// The process ends: each connection closes after its present request.
    Close,
}
