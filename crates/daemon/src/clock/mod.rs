//! The clock of the process; all other code reads the time from here.

mod clock;

pub use clock::now;
