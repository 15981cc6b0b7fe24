//! An entry process and its membership in a zone.

use core::net::SocketAddr;
use sassafrascrank_base::{
    hash::{
        self,
        mix, //
    },
    prelude::Name, //
};

/// Identity of one run of an entry process.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Entry {
    /// Host on which the process runs.
    pub host: Name,
    /// Number that is higher after each start on that host, from 1.
    pub incarnation: u64,
}

/// An entry that has joined and has not departed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The process.
    pub entry: Entry,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Highest sequence number of the folded records that this member wrote.
    pub sequence: u64,
}

impl Entry {
    /// Returns the rendezvous score of this entry for the hash of a key.
    ///
    /// The member with the highest score owns the key.
    pub fn score(&self, hash: u64) -> u64 {
        mix(hash ^ mix(hash::text(self.host.as_str()) ^ mix(self.incarnation)))
    }
}
