//! Tables of names that other threads send, and the merged table that resolves keys.

use sassafrascrank_base::prelude::*;
use slotmap::SecondaryMap;

/// Names of new keys, sent to the observe thread before the keys are used in events. Names sent earlier remain valid.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Names of customers.
    pub customers: Vec<(customer::Key, Name)>,
    /// Names of pools.
    pub pools: Vec<(pool::Key, Name)>,
    /// Host names of upstreams.
    pub upstreams: Vec<(upstream::Key, Name)>,
    /// Host names of other entries.
    pub members: Vec<(entry::Key, Name)>,
}

/// All names known to the observe thread.
///
/// A name replaces that of an earlier key in the same slot of the arena, so the size is bounded by that of the arenas.
#[derive(Debug, Default)]
pub struct Names {
    customers: SecondaryMap<customer::Key, Name>,
    pools: SecondaryMap<pool::Key, Name>,
    upstreams: SecondaryMap<upstream::Key, Name>,
    members: SecondaryMap<entry::Key, Name>,
}

impl Names {
    /// Adds the names of `table`.
    pub fn add(&mut self, table: Table) {
        self.customers.extend(table.customers);
        self.pools.extend(table.pools);
        self.upstreams.extend(table.upstreams);
        self.members.extend(table.members);
    }

    /// Returns the name of a customer.
    pub fn customer(&self, key: customer::Key) -> Option<&Name> {
        self.customers.get(key)
    }

    /// Returns the name of a pool.
    pub fn pool(&self, key: pool::Key) -> Option<&Name> {
        self.pools.get(key)
    }

    /// Returns the host name of an upstream.
    pub fn upstream(&self, key: upstream::Key) -> Option<&Name> {
        self.upstreams.get(key)
    }

    /// Returns the host name of another entry.
    pub fn member(&self, key: entry::Key) -> Option<&Name> {
        self.members.get(key)
    }
}
