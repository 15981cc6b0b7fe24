//! Interface through which the server's owner handles messages.

use crate::message::{
    Handover,
    KnownState,
    Report,
    State, //
};
use core::future::Future;

/// A well-formed message that the handler can't accept; the peer gets status 409.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal(
    /// Cause and remedy, sent to the peer as text.
    pub String,
);

/// Handles the messages of peers; the methods may be implemented by `async fn`.
///
/// The future of a method that takes longer than [`Limit::request`](super::Limit::request) is dropped.
pub trait Handler {
    /// Takes a report of a peer and returns the report that answers it.
    fn report(&self, report: Report) -> impl Future<Output = Result<Report, Refusal>>;

    /// Returns state that is newer than `after`; the server removes the parts that are not.
    fn state(&self, after: KnownState) -> impl Future<Output = Result<State, Refusal>>;

    /// Takes over the outcomes of keyed requests, either all or none.
    fn hand_over(&self, handover: Handover) -> impl Future<Output = Result<(), Refusal>>;
}
