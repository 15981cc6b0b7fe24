//! Log lines for changes of state.

use crate::{
    event::Kind,
    timeline::Record, //
};
use spdlog::{
    Level,
    Logger, //
};

/// Writes a log line if the record is a change of state. Events of requests appear only in metrics and the time line.
pub(super) fn write(logger: &Logger, record: &Record) {
    if let Some(level) = level(record.kind) {
        spdlog::log!(logger: logger, level, "{record}");
    }
}

/// Returns the level of the log line of an event, or `None` if the event gets no line.
fn level(kind: Kind) -> Option<Level> {
    match kind {
        // An outage of the platform log fails every append, so only its start and end are logged.
        Kind::AppendFailed => None,
        Kind::LogLost | Kind::PeerLost | Kind::UpstreamEjected | Kind::MemberRetired => {
            Some(Level::Warn)
        }
        kind if kind.concerns_request() => None,
        _ => Some(Level::Info),
    }
}
