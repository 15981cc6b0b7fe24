//! Encoding of callers' requests and answers as HTTP messages.

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
use sassafrascrank_schedule::config::Credential;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Asks for the state of a job, or for the number of pending jobs in a queue.
    Read,
    /// Submits a job.
    Submit,
    /// Cancels a job.
    Cancel,
}

impl Verb {
    /// Returns the name that logs use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Submit => "submit",
            Self::Cancel => "cancel",
        }
    }
}

/// Decoded head of a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of the request.
    pub verb: Verb,
    /// Host name in the request.
    pub host: String,
    /// Path in the request.
    pub path: String,
    /// Credential of the caller, if the request has one.
    pub credential: Option<Credential>,
    /// Time for which the caller waits for the answer; `None` if the request does not say.
    pub timeout: Option<Duration>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The request is malformed.
    Malformed,
    /// No account has the caller's credential, and the queue needs one.
    Unauthenticated,
    /// No queue has this host name and path.
    NoQueue,
    /// A job of another account has this identity; nothing was done.
    IdTaken,
    /// No job has this identity.
    NoJob,
    /// The entry has no configuration yet.
    Unconfigured,
    /// The configuration is too old to decide on the caller's credential, and no candidate could be asked; nothing was
    /// done.
    Unconfirmed,
    /// Nothing was done: the log refused the record or can't be reached, or this entry has not read the jobs recently
    /// enough.
    Unavailable,
    /// Nothing was done: the log has not answered the last read of this entry.
    LogLost,
    /// The entry holds as many requests as it can; nothing was done.
    Overloaded,
    /// The entry does not know whether the request takes effect.
    Unknown,
}

/// Answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The log holds the submission or the cancellation.
    Done,
    /// State of a job.
    State(State),
    /// Number of pending jobs in a queue.
    Pending(u64),
    /// Nothing was done: the account of the caller submits more than it is guaranteed, and its jobs wait. The caller may try
    /// again after the time; the text names the reason and the remedy.
    Throttled(Duration, String),
    /// The request failed; the text names the reason and the remedy.
    Problem(Problem, String),
}

/// Time after which a caller should repeat a request that was refused.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The same while the log does not answer. Callers repeat a request a few times only, and an outage of the log or of its
/// network lasts for seconds, so that shorter waits would use up all attempts within it.
const RETRY_AFTER_LOG_LOST: Duration = Duration::from_secs(2);

impl Reply {
    /// Returns the time after which the caller should repeat the request, if it was refused for a time.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Throttled(after, _) => Some(*after),
            Self::Problem(Problem::LogLost, _) => Some(RETRY_AFTER_LOG_LOST),
            Self::Problem(
                Problem::Unconfigured
                | Problem::Unconfirmed
                | Problem::Unavailable
                | Problem::Overloaded,
                _,
            ) => Some(RETRY_AFTER),
            _ => None,
        }
    }
}

/// Encoding of callers' requests and answers as HTTP messages.
pub trait Dialect: Clone + 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Names what is not allowed and the remedy.
    fn call(&self, head: &request::Parts) -> Result<Call, String>;

    /// Decodes the body of a submission into the specification, the steps, and the schedule of occurrences.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed and the remedy.
    fn job(&self, body: &[u8]) -> Result<(String, Vec<Step>, Option<Repeat>), String>;

    /// Decodes the identity of a job from the part of the path after the queue's own path.
    ///
    /// # Errors
    ///
    /// Names what is not allowed and the remedy.
    fn id(&self, rest: &str) -> Result<Id, String>;

    /// Encodes an answer.
    fn answer(&self, reply: &Reply) -> Response<Full<Bytes>>;
}
