//! What the threads ask of the platform, as traits that an adapter implements.

mod dialect;
mod fleet;
mod log;
mod runners;

pub use dialect::{
    Call,
    Dialect,
    Problem,
    Reply,
    Verb, //
};
pub use fleet::Fleet;
pub use log::{
    AppendError,
    Item,
    Log,
    OperatorRecord,
    Page,
    Producer,
    ReadError,
    Topic, //
};
pub use runners::{
    Answer,
    Runners, //
};

/// Everything that the platform gives, as factories for the threads that use it.
pub trait Platform: Clone + Send + 'static {
    /// Connection to the log.
    type Log: Log;
    /// Connections to runners and to the advice service.
    type Runners: Runners;
    /// Connections to the host service.
    type Fleet: Fleet;
    /// Form of callers' requests.
    type Dialect: Dialect;

    /// Makes a connection to the log.
    fn log(&self) -> Self::Log;

    /// Makes the connections to runners.
    fn runners(&self) -> Self::Runners;

    /// Makes the connections to the host service.
    fn fleet(&self) -> Self::Fleet;

    /// Returns the form of callers' requests.
    fn dialect(&self) -> Self::Dialect;
}
