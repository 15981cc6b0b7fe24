//! Answers of the control thread to callers.

use crate::port::{
    Problem,
    Reply, //
};
use sassafrascrank_base::prelude::*;

/// An answer to a caller's request, and how long it holds.
///
/// On an overloaded host an answer can wait for seconds in the control thread, in the ring, and in the front thread.
/// Therefore the front thread determines whether it still holds when the caller gets it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    reply: Reply,
    /// The caller may be told the reply up to this time.
    until: Time,
}

impl Answer {
    /// Creates an answer that may be given up to the time `until`; [`Time::MAX`] means that there is no limit.
    pub fn new(reply: Reply, until: Time) -> Self {
        Self { reply, until }
    }

    /// Returns what the caller is told if it gets the answer at `now`.
    pub fn at(self, now: Time) -> Reply {
        if now <= self.until {
            return self.reply;
        }
        let reason =
            "the answer was out of date before it could be sent: try again, or at another entry"
                .to_owned();
        Reply::Problem(Problem::Unavailable, reason)
    }
}
