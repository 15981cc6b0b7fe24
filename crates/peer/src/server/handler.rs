//! What the owner of the server does with the messages.

use crate::message::{
    Handover,
    KnownState,
    Report,
    State, //
};
use core::future::Future;

/// The message is well formed, but the handler can't accept it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal(
    /// Cause and remedy, sent to the peer as text.
    pub String,
);

/// Receives the messages of peers; `async fn` implements its methods.
///
/// A method that takes longer than [`Limit::request`](super::Limit::request) is dropped at an await point.
pub trait Handler {
    /// Takes a report and answers with one of this process.
    fn report(&self, report: Report) -> impl Future<Output = Result<Report, Refusal>>;

    /// Returns state that is newer than `after`; older parts are removed by the server.
    fn state(&self, after: KnownState) -> impl Future<Output = Result<State, Refusal>>;

    /// Takes over the outcomes of moved keys, as a whole or not at all.
    fn hand_over(&self, handover: Handover) -> impl Future<Output = Result<(), Refusal>>;
}
