//! Requests passed to a queue, and the grants that it returns.

use sassafrascrank_base::prelude::*;

/// Limits of one urgency class of one customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class {
    /// Share of the customer's slots in percent.
    pub share: u32,
    /// Maximum time in the queue.
    pub timeout: Duration,
    /// Maximum number of requests in the queue.
    pub limit: u32,
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifies the request.
    pub ticket: ticket::Key,
    /// Customer that sent it.
    pub customer: customer::Key,
    /// Urgency class.
    pub class: class::Index,
    /// Time at which its caller stops waiting.
    pub deadline: Time,
    /// Expected time in a slot.
    pub cost: Duration,
}

/// A request that got a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Identifies the request.
    pub ticket: ticket::Key,
    /// Customer that sent it.
    pub customer: customer::Key,
    /// Urgency class.
    pub class: class::Index,
    /// Expected time in a slot, charged when the request got the slot.
    pub cost: Duration,
}
