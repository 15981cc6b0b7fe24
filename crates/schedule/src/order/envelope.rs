//! An order or a report, with the lead that it belongs to.

use super::{
    Order,
    report::Report, //
};

/// An order or a report, with the lead that it belongs to.
///
/// The keys in orders and reports are keys of one engine. The engine of a later lead of the same entry has equal keys for
/// other runs, runners and hosts, so it must not handle reports on the orders of an earlier one. A report gets into an
/// envelope only as the reply to an order, and only an engine encloses orders that have replies.
#[derive(Clone, Debug)]
pub struct Envelope<T> {
    epoch: u64,
    content: T,
}

impl<T> Envelope<T> {
    /// Encloses an order of the engine of an epoch.
    pub(crate) const fn new(epoch: u64, content: T) -> Self {
        Self { epoch, content }
    }

    /// Returns the order or report.
    pub const fn content(&self) -> &T {
        &self.content
    }

    /// Returns the order or report if it belongs to the lead of `epoch`, else the envelope.
    pub(crate) fn open(self, epoch: u64) -> Result<T, Self> {
        match self.epoch == epoch {
            true => Ok(self.content),
            false => Err(self),
        }
    }
}

impl Envelope<Order> {
    /// Encloses the last order of a lead or a claim that was lost, to close the connections to all runners. There is no
    /// reply to it.
    pub const fn last(epoch: u64) -> Self {
        Self::new(epoch, Order::CloseConnections(None))
    }

    /// Encloses the report on this order.
    pub const fn reply(&self, report: Report) -> Envelope<Report> {
        Envelope::new(self.epoch, report)
    }
}
