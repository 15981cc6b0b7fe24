//! Version and bounds of the messages.

/// Version of the messages.
///
/// It increases only with a change that older processes must not ignore. A new field with a default needs no new
/// version, since processes ignore the fields that they don't know.
pub const VERSION: u16 = 1;
/// Largest report or answer to a report in bytes.
pub const REPORT_LIMIT: usize = 16 << 10;
/// Largest state in bytes; a state at the target size takes a fraction of it.
pub const STATE_LIMIT: usize = 8 << 20;
/// Largest handover in bytes, the capacity of the table of keyed requests.
pub const HANDOVER_LIMIT: usize = 64 << 20;
/// Most pools in one report; the target is 199.
pub const DEMAND_LIMIT: usize = 256;
/// Most drain notices in one report.
pub const DRAIN_NOTICE_LIMIT: usize = 128;
/// Most subjects or writers in one state.
pub const SUBJECT_LIMIT: usize = 65_536;
/// Most availability zones in one membership view.
pub const ZONE_LIMIT: usize = 64;
/// Most members of one availability zone.
pub const ZONE_MEMBER_LIMIT: usize = 256;
/// Most keyed requests in one handover, the bound of the table of keyed requests.
pub const HANDOVER_ITEM_LIMIT: usize = 131_072;
/// Most headers of one stored answer.
pub const HEADER_LIMIT: usize = 128;
