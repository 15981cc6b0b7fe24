//! Runners, which run the tasks, and the advice service.

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
        Fault,
        View, //
    },
};
use std::sync::Arc;

/// The runner's clock in milliseconds, if the answer shows it, and the result of the order.
pub type Answer<T> = (Option<u64>, Result<T, CallError>);

/// Failure of an order, and what has failed if no usable answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// What is known of the effect.
    pub failure: Failure,
    /// What has failed.
    pub fault: Option<Fault>,
}

impl CallError {
    /// Returns the error of an order of which an earlier copy may have been carried out.
    pub fn of_repeat(self) -> Self {
        Self {
            failure: self.failure.of_repeat(),
            ..self
        }
    }
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            fault: None,
        }
    }
}

/// Connections to runners and to the advice service.
pub trait Runners: 'static {
    /// Starts an attempt of a task.
    fn start(&self, order: &Start) -> impl Future<Output = Answer<()>>;

    /// Stops an attempt of a task.
    fn stop(&self, order: &Stop) -> impl Future<Output = Answer<()>>;

    /// Renews the leases at a runner, and returns the attempts that run or have ended there.
    fn poll(&self, order: &Poll) -> impl Future<Output = Answer<View>>;

    /// Sets the share of its full speed at which an attempt works.
    fn pace(&self, order: &Pace) -> impl Future<Output = Answer<()>>;

    /// Closes idle connections to one address, or to all runners.
    fn close(&self, address: Option<SocketAddr>);

    /// Asks the advice service which runners may run a step. Returns `None` if it does not answer.
    fn advise(&self, step: Task, runners: &[Arc<str>]) -> impl Future<Output = Option<Approval>>;
}
