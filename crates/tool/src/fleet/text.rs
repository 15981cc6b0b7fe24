//! Steps and states of a wave as text.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Cause,
    Progress,
    Step, //
};
use std::time::SystemTime;

pub(crate) fn describe_step(step: Step) -> &'static str {
    match step {
        Step::Draining => "draining",
        Step::Out => "out",
        Step::Returning => "returning",
    }
}

pub(crate) fn describe_progress(progress: Progress) -> &'static str {
    match progress {
        Progress::Running => "running",
        Progress::Paused => "paused",
        Progress::Stopped(Cause::Failures) => "stopped by failures of returned hosts",
        Progress::Stopped(Cause::Rack) => "stopped by the loss of a rack",
    }
}

/// Replaces an absent value by a dash, so that each row of a table has all columns.
pub(crate) fn or_dash(text: Option<&String>) -> &str {
    text.map_or("-", String::as_str)
}

/// Formats a duration in days, hours and minutes, rounded up to whole minutes.
pub(crate) fn describe_duration(time: Duration) -> String {
    let minutes = time.as_secs().div_ceil(60);
    let (days, hours, minutes) = (minutes / 1_440, minutes / 60 % 24, minutes % 60);
    match (days, hours) {
        (0, 0) => format!("{minutes} min"),
        (0, hours) => format!("{hours} h {minutes} min"),
        (days, hours) => format!("{days} d {hours} h {minutes} min"),
    }
}

/// Returns the current time.
pub(crate) fn current_time() -> Time {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 reads as the epoch.
    Time::MIN + since.unwrap_or_default()
}
