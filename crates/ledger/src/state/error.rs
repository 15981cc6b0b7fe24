//! Reasons for which a record is invalid.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Subject;

/// Reason for which a record is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The record does not parse, or a value in it is out of range.
    #[error("the record can't be read: {0}")]
    Unreadable(String),
    /// The number of entries is out of range.
    #[error("field entries: {count} entries: give 1 to {limit} entries in one change")]
    Entries {
        /// Entries in the change.
        count: usize,
        /// Most entries allowed.
        limit: usize,
    },
    /// A subject occurs twice.
    #[error("field entries: subject {0} occurs twice: give each subject one value")]
    Duplicate(Subject),
    /// The type of the value does not match the kind of the subject.
    #[error(
        "subject {0} holds a value of another kind: give it a value of its own kind or remove it"
    )]
    Kind(Subject),
    /// A contract or assignment names a pool that is not configured.
    #[error(
        "subject {subject}: pool {pool} is unknown: create the pool in the same or an earlier change"
    )]
    PoolUnknown {
        /// Contract or assignment.
        subject: Subject,
        /// The missing pool.
        pool: Name,
    },
    /// A removed pool is still named by another value.
    #[error(
        "pool {pool} is still used by {user}: change or remove {user} in the same or an earlier change"
    )]
    PoolUsed {
        /// The removed pool.
        pool: Name,
        /// One of its users.
        user: Subject,
    },
    /// The shares of a pool in all contracts add up to more than 100%.
    #[error(
        "pool {pool}: the shares of all customers add up to {total}%: lower them to 100% at most"
    )]
    Share {
        /// The pool.
        pool: Name,
        /// Sum of the shares in percent.
        total: u64,
    },
    /// Two customers have the same credential.
    #[error(
        "subject {subject}: field credential_sha256 equals that of {other}: give each customer a credential of its own"
    )]
    Credential {
        /// The changed contract.
        subject: Subject,
        /// The other contract.
        other: Subject,
    },
    /// A host that is reserved in a pool is not assigned to that pool.
    #[error(
        "reservation/{pool}: host {host} is reserved but not assigned to {pool}: release the host in the same or an earlier change"
    )]
    Reserved {
        /// The host.
        host: Name,
        /// Pool with the reservation.
        pool: Name,
    },
    /// There are too many values of one kind.
    #[error("{kind}: {count} values: the limit is {limit}; remove unused ones")]
    Full {
        /// Plural name of the kind.
        kind: &'static str,
        /// Values after the change.
        count: usize,
        /// Most values allowed.
        limit: usize,
    },
    /// The offsets of a snapshot or peer state contradict each other.
    #[error(
        "field {field}: offset {offset} is later than field through of the state, {through}: discard this state and ask another peer"
    )]
    Offset {
        /// Field with the offset.
        field: &'static str,
        /// The offset.
        offset: u64,
        /// Offset that the state claims to include.
        through: u64,
    },
}
