//! Requests held by the queue.

use super::Request;
use sassafrascrank_base::prelude::*;

slotmap::new_key_type! {
    /// Identifies a held request within its queue.
    pub(crate) struct Key;
}

/// A held request in the linked list of its class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    /// The request.
    pub(crate) request: Request,
    /// Latest time at which it may start.
    pub(crate) expiry: Time,
    /// Sum of the expected costs of all requests that entered the class before it, in microseconds; it wraps around.
    pub(crate) work_entered_before: u64,
    /// Previous request of its class.
    pub(crate) previous: Option<Key>,
    /// Next request of its class.
    pub(crate) next: Option<Key>,
    /// Reason for which it was removed from its class, if `expire` has yet to report it.
    pub(crate) shed: Option<Reason>,
}

/// Charge for a granted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Customer that was charged.
    pub(crate) customer: customer::Key,
    /// Urgency class that was charged.
    pub(crate) class: class::Index,
    /// Whether the slot lies outside of the home availability zone.
    pub(crate) spill: bool,
    /// Cost that the caller expected, in microseconds.
    pub(crate) expected: u64,
    /// Cost that was charged, in microseconds.
    pub(crate) charged: u64,
    /// Epoch of the customer's flow at the time of the charge.
    pub(crate) account_epoch: u64,
    /// Epoch of the class's flow at the time of the charge.
    pub(crate) lane_epoch: u64,
}
