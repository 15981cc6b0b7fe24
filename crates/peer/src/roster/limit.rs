//! Time limits and bounds of the roster.

use core::time::Duration;

/// Time between two exchanges with an entry of the own zone.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which an entry of the own zone is lost; for other zones their report interval is added.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Silence after which a member of the own zone is due for a retirement.
pub const RETIREMENT_LIMIT: Duration = Duration::from_secs(5);

/// Further silence after which a process that hears no member of its zone retires the others.
///
/// If it is the one that is cut off, it reads its own retirement before: the others append it after 5 s, and the log is
/// read every 1.2 s.
pub(super) const ISOLATION_WAIT: Duration = Duration::from_secs(3);
/// Time between two calls of [`Roster::tick`](super::Roster::tick) that counts as a pause of this process.
pub(super) const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// How long a drain sign is repeated.
pub const DRAIN_NOTICE_SPAN: Duration = Duration::from_secs(10);
/// Longest wait of a new drain sign before it makes a report due; entries wait for different times, so that one that
/// hears the sign from a peer meanwhile need not send it again.
pub(super) const DRAIN_NOTICE_WAIT: Duration = Duration::from_millis(500);
/// How long this process may be behind a peer before it asks for the peer's state: the log usually brings the missing
/// records sooner and for fewer bytes.
pub const LAG_LIMIT: Duration = Duration::from_secs(3);
/// Time between two requests for state.
pub const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Most peers, twice the target; further members and seeds are ignored and counted.
pub const PEER_LIMIT: usize = 64;
/// Bytes a second that reading an unchanged log and host list takes; `docs/CAPACITY.md` has the measured figure.
pub const PLATFORM_BYTES_PER_SECOND: u64 = 250;
/// Bytes a second, sent and received, that the schedule plans for. The rest of the 2,048 bytes a second of the target
/// is left for the platform, introductions, drain signs, and confirmations while the log is down.
pub const BYTES_PER_SECOND_BUDGET: u64 = 1_760 - PLATFORM_BYTES_PER_SECOND;
