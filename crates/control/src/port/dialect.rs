//! Form of callers' requests and answers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    http::request, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id,
    Repeat,
    Step,
    replica::State, //
};

/// What a caller wants of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verb {
    /// The state of a job or the length of a queue.
    Read,
    /// A job is submitted.
    Submit,
    /// A job is cancelled.
    Cancel,
}

impl Verb {
    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Submit => "submit",
            Self::Cancel => "cancel",
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the caller wants.
    pub verb: Verb,
    /// Host name that the caller used.
    pub host: String,
    /// Path that the caller used.
    pub path: String,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
}

/// Why a request was not done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The request is malformed.
    Malformed,
    /// No queue has this host name and path.
    NoQueue,
    /// No job has this identity.
    NoJob,
    /// The entry has no configuration yet.
    Unconfigured,
    /// The log refused the record, so nothing was done.
    Unavailable,
    /// The entry holds as many requests as it can; nothing was done.
    Overloaded,
    /// The entry does not know whether the request was done.
    Unknown,
}

/// Answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The job is stored, or its cancel is.
    Done,
    /// State of a job.
    State(State),
    /// Number of a queue's jobs that have not begun.
    Pending(u64),
    /// The request was not done.
    Problem(Problem, String),
}

/// Form of callers' requests and answers.
pub trait Dialect: Clone + 'static {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Names what is not allowed and the remedy.
    fn call(&self, head: &request::Parts) -> Result<Call, String>;

    /// Reads the body of a submission: the specification, the steps, and the occurrences.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed and the remedy.
    fn job(&self, body: &[u8]) -> Result<(String, Vec<Step>, Option<Repeat>), String>;

    /// Reads the identity of a job at the end of a path.
    ///
    /// # Errors
    ///
    /// Names what is not allowed and the remedy.
    fn id(&self, rest: &str) -> Result<Id, String>;

    /// Writes an answer.
    fn answer(&self, reply: &Reply) -> Response<Full<Bytes>>;
}
