//! Filter for queries of a time line.

use super::Record;
use crate::event::request;
use sassafrascrank_base::prelude::Name;

/// Largest number of records in a reply if the query sets no limit.
pub const LIMIT_DEFAULT: usize = 500;
/// Upper bound of the limit that a query can set. At about 300 bytes a record, 64 replies at once take 38 MB of the
/// 256 MB that a daemon may use.
pub const LIMIT_MAX: usize = 2_000;

/// Conditions on records, all of which have to hold. A condition that is not set always holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Filter {
    /// The request concerned.
    pub request: Option<request::Id>,
    /// Host of the process, of the upstream or of the other entry.
    pub host: Option<Name>,
    /// The pool concerned.
    pub pool: Option<Name>,
    /// The customer concerned.
    pub customer: Option<Name>,
    /// Offset of the configuration in force.
    pub configuration: Option<u64>,
    /// Selects records with a higher sequence, up to `limit` from the oldest on. If not set, the newest `limit` records
    /// are selected.
    pub since: Option<u64>,
    /// Largest number of records to return, up to `LIMIT_MAX`.
    pub limit: usize,
}

impl Default for Filter {
    fn default() -> Self {
        Self {
            request: None,
            host: None,
            pool: None,
            customer: None,
            configuration: None,
            since: None,
            limit: LIMIT_DEFAULT,
        }
    }
}

impl Filter {
    /// Tells whether all conditions hold for the record.
    pub fn matches(&self, record: &Record) -> bool {
        fn holds<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
            wanted.is_none() || wanted == found
        }
        holds(self.request.as_ref(), record.request.as_ref())
            && holds(self.pool.as_ref(), record.pool.as_ref())
            && holds(self.customer.as_ref(), record.customer.as_ref())
            && holds(self.configuration.as_ref(), Some(&record.configuration))
            && self.since.is_none_or(|since| record.sequence > since)
            && self.host.as_ref().is_none_or(|host| concerns(record, host))
    }
}

/// Tells whether the record refers to the host as its process, upstream or other entry.
fn concerns(record: &Record, host: &Name) -> bool {
    record.process.host == *host
        || record.upstream.as_ref() == Some(host)
        || record.member.as_ref() == Some(host)
}
