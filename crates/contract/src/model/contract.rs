//! Contract of a customer, which contains all limits that apply to the customer.

use sassafrascrank_base::prelude::*;

/// Size of a SHA-256 digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Limits and shares that apply to the requests of one customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contract {
    /// SHA-256 digest of the customer's credential.
    pub digest: [u8; DIGEST_BYTES],
    /// Rate limit of the customer's requests, including retries.
    pub rate: Rate,
    /// Most slots that the customer may use at once over all pools; `None` if only the shares limit them.
    pub concurrency: Option<u32>,
    /// Contracted share of each pool in percent. The customer may not use other pools.
    pub shares: Vec<(Name, u32)>,
    /// Urgency classes, the most urgent first; at least one.
    pub classes: Vec<Class>,
    /// Most retries by the entry process, in percent of the customer's requests.
    pub retry_percent: u32,
    /// Whether requests may be sent to another availability zone if the local one has no free slot.
    pub spill: bool,
}

/// Token bucket parameters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rate {
    /// Average rate in requests per second.
    pub per_second: u32,
    /// Requests that may arrive at once after an idle period.
    pub burst: u32,
}

/// An urgency class of a contract.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Name by which requests choose the class.
    pub name: Name,
    /// Share of the customer's slots in percent that this class keeps while other classes are overloaded.
    pub share: u32,
    /// Longest time that a request may wait in the queue.
    pub queue_timeout: Duration,
    /// Most requests in the queue of one entry process.
    pub queue_limit: u32,
}

impl Contract {
    /// Returns the contracted share of `pool` in percent, or `None` if the contract does not cover it.
    pub fn share(&self, pool: &Name) -> Option<u32> {
        let found = self.shares.iter().find(|(name, _)| name == pool);
        found.map(|&(_, share)| share)
    }

    /// Returns the index of the class called `name`.
    pub fn class(&self, name: &str) -> Option<class::Index> {
        let position = self
            .classes
            .iter()
            .position(|class| class.name.as_str() == name)?;
        u8::try_from(position).ok().map(class::Index)
    }
}
