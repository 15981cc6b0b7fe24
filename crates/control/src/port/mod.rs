//! Interface to the platform: traits that an adapter implements.

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
    CallError,
    Runners, //
};

/// Access to the platform. Each thread creates its own connections.
pub trait Platform: Clone + Send + 'static {
    /// Connection to the log.
    type Log: Log;
    /// Connections to runners and to the advice service.
    type Runners: Runners;
    /// Connections to the host service.
    type Fleet: Fleet;
    /// Encoding of callers' requests and answers.
    type Dialect: Dialect;

    /// Creates a connection to the log.
    fn log(&self) -> Self::Log;

    /// Creates the connections to runners and to the advice service.
    fn runners(&self) -> Self::Runners;

    /// Creates the connections to the host service.
    fn fleet(&self) -> Self::Fleet;

    /// Returns the encoding of callers' requests and answers.
    fn dialect(&self) -> Self::Dialect;
}
