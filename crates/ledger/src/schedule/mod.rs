//! Schedule of snapshots.

mod schedule;

pub use schedule::{
    Retention,
    Schedule, //
};
