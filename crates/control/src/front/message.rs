//! Messages between the thread and the one that decides.

use crate::port::Reply;
use sassafrascrank_job::{
    Id,
    Job, //
};
use sassafrascrank_schedule::Config;
use std::sync::Arc;

/// What a caller wants.
#[derive(Debug)]
pub enum Query {
    /// A job is submitted.
    Submit(Arc<Job>),
    /// The state of a job.
    State(Id),
    /// A job is cancelled.
    Cancel(Id),
    /// Number of a queue's jobs that have not begun.
    Pending(Arc<str>),
}

/// What a caller wants, and who waits for the answer.
#[derive(Debug)]
pub struct Request {
    /// Names the caller within the thread.
    pub caller: u64,
    /// What the caller wants.
    pub query: Query,
}

/// What the thread is told.
#[derive(Debug)]
pub enum Notice {
    /// The answer for a caller.
    Reply {
        /// Names the caller.
        caller: u64,
        /// The answer.
        reply: Reply,
    },
    /// A configuration is in force.
    Config(Arc<Config>),
    /// Whether the entry takes requests.
    Ready(bool),
    /// The process ends: connections close after their present request.
    Close,
}
