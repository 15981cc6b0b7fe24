//! At-most-once execution of requests that carry an idempotency key.
//!
//! An entry is a process that accepts requests from callers and dispatches them to upstreams. The entries of an
//! availability zone append their joins and leaves to the stream `member` of the log, and all of them compute the owner
//! of a key from that membership by rendezvous hashing. A lease bounds the creation times of the keys that an owner may
//! run, so that two entries with different views never run the same key. A table keeps the state and the answer of each
//! request for a retention time.

pub mod key;
pub mod lease;
pub mod member;
pub mod table;
