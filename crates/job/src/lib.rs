//! Jobs, their steps and tasks, the records that make them durable, and the fold of these records.
//!
//! The crate decides only. A process folds records into a [`Replica`]; every process that has folded the same records
//! holds the same book.

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
