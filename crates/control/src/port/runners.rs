//! Orders to runners.

use core::{
    future::Future,
    net::SocketAddr, //
};
use sassafrascrank_job::id::Task;
use sassafrascrank_schedule::order::{
    Pace, Poll, Start, Stop,
    report::{
        Approval,
        Failure,
        View, //
    },
};
use std::sync::Arc;

/// The runner's clock in milliseconds, if it was shown, and what came of the order.
pub type Answer<T> = (Option<u64>, Result<T, Failure>);

/// Orders to runners, and questions to the advice service.
pub trait Runners: 'static {
    /// Starts an attempt.
    fn start(&self, order: &Start) -> impl Future<Output = Answer<()>>;

    /// Stops an attempt.
    fn stop(&self, order: &Stop) -> impl Future<Output = Answer<()>>;

    /// Lists what runs and what has ended.
    fn look(&self, order: &Poll) -> impl Future<Output = Answer<View>>;

    /// Sets the share at which a task works.
    fn pace(&self, order: &Pace) -> impl Future<Output = Answer<()>>;

    /// Closes idle connections to an address, or to all.
    fn close(&self, address: Option<SocketAddr>);

    /// Asks which runners may run a step; `None` if there is no answer.
    fn advise(&self, step: Task, runners: &[Arc<str>]) -> impl Future<Output = Option<Approval>>;
}
