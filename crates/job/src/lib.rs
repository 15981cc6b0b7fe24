//! Jobs, their steps and tasks, the records that make them durable, and the fold of these records.
//!
//! The crate decides only. A process folds records into a [`Book`]; every process that has folded the same records
//! holds the same book.

pub mod book;
pub mod id;
pub mod model;
pub mod progress;
pub mod record;

pub use book::Book;
pub use id::Id;
pub use model::{
    Job,
    Repeat,
    Resource,
    Step,
    Terms, //
};
pub use progress::Progress;
pub use record::Record;

pub mod prelude {
    //! Common types, imported as a whole by the crates that handle jobs.

    pub use crate::{
        Book,
        Id,
        Job,
        Progress,
        Record,
        Repeat,
        Resource,
        Step,
        Terms,
        id::{
            Position,
            Task, //
        },
        progress::Outcome as Ending, //
    };
}
