//! Identities of jobs and tasks.

mod id;
mod task;

pub use id::Id;
pub use task::{
    Position,
    Task, //
};
