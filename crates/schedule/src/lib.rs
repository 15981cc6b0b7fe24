//! Scheduling of tasks on runners and of maintenance on hosts, by the one leader.
//!
//! The crate decides only. The owner reports what it learns to the [`Engine`] with the present time, takes the
//! records that have to be appended, and carries out the orders.

pub mod config;
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
    //! Common types, imported as a whole by the crates that drive the engine.

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
