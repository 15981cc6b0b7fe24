//! Clock of a process.

mod clock;

pub use clock::{
    Clock,
    wall, //
};
