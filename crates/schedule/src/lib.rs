//! Schedules tasks on runners and maintenance of hosts. Only the elected leader runs it.
//!
//! The crate makes decisions and does no I/O. Its caller reports events and the present time to the [`Engine`], appends
//! the records that the engine returns to the log, and carries out its orders.

pub mod account;
pub mod config;
pub mod contention;
pub mod engine;
pub mod fleet;
pub mod job;
pub mod lease;
pub mod note;
pub mod order;
pub mod queue;
pub mod runner;

pub use config::{
    Config,
    Rules, //
};
pub use engine::Engine;
pub use note::Note;
pub use order::Order;

pub mod prelude {
    //! Common types for crates that drive the engine.

    pub use crate::{
        Config, Engine, Note, Order, Rules,
        fleet::host,
        job::run,
        order::report,
        runner::{
            self,
            Listed, //
        },
    };
}
