//! Time limits and bounds of the roster.

use core::time::Duration;

/// Time between two exchanges with an entry of the own zone.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which an entry of the own zone is lost; for other zones, their report interval is added.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time without a report after which a member of the own zone is due to be retired from the view.
pub const RETIREMENT_LIMIT: Duration = Duration::from_secs(5);

/// Further time before a process retires the other members if it hears none of its zone.
///
/// If it is this process that is cut off, it reads its own retirement from the log first: the others append that after
/// 5 s, and the log is read every 1.2 s.
pub(super) const ISOLATION_WAIT: Duration = Duration::from_secs(3);
/// Time between two calls of [`Roster::tick`](super::Roster::tick) from which on this process counts as paused.
pub(super) const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Time for which a drain notice is repeated.
pub const DRAIN_NOTICE_SPAN: Duration = Duration::from_secs(10);
/// Longest wait before a new drain notice makes reports due. Each entry waits for a different time, so that an entry
/// that receives the notice from a peer meanwhile needs no extra reports.
pub(super) const DRAIN_NOTICE_WAIT: Duration = Duration::from_millis(500);
/// Time for which this process may be behind a peer before it asks for the peer's state. The missing records usually
/// arrive through the log sooner and with fewer bytes.
pub const LAG_LIMIT: Duration = Duration::from_secs(3);
/// Shortest time between two requests for state.
pub const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Most peers, twice the target; further members and seeds are ignored and counted.
pub const PEER_LIMIT: usize = 64;
/// Bytes a second that reading an unchanged log and host list takes; see `docs/CAPACITY.md`.
pub const PLATFORM_BYTES_PER_SECOND: u64 = 250;
/// Bytes a second, sent and received, that [`Plan`](super::Plan) divides. The rest of the 2,048 bytes a second of the
/// target is for the platform, introductions, drain notices, and confirmations by peers while the log is down.
pub const BYTES_PER_SECOND_BUDGET: u64 = 1_760 - PLATFORM_BYTES_PER_SECOND;
