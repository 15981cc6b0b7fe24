//! Jobs, their steps and tasks, the log records that store them, and the state that follows from these records.
//!
//! The crate does no I/O. Each process applies the records of the log in order to a [`Replica`]; processes that have
//! applied the same records hold the same state.
//!
//! An *entry* is a process that accepts callers' requests. One entry at a time is the leader, which schedules the jobs.

pub mod id;
pub mod model;
pub mod progress;
pub mod record;
pub mod replica;

pub use id::Id;
pub use model::{
    Job,
    Policy,
    Repeat,
    Resource,
    Step, //
};
pub use progress::Progress;
pub use record::Record;
pub use replica::Replica;

pub mod prelude {
    //! Common types, imported as a whole by the crates that handle jobs.

    pub use crate::{
        Id,
        Job,
        Policy,
        Progress,
        Record,
        Repeat,
        Replica,
        Resource,
        Step,
        id::{
            Position,
            Task, //
        },
        progress::Outcome as Ending, //
    };
}
