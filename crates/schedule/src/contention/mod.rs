//! Which images slow each other down on one runner, learned from what runners report.
//!
//! Tasks on a runner share more than the capacity that it lists, such as memory bandwidth and caches. For each pair of images
//! a [`Table`] has what tasks of the one add to the slowdown of tasks of the other. Evidence fades within seconds.

mod change;
mod decay;
mod evidence;
mod image;
mod partner;
mod sample;
mod table;

pub use change::Change;
pub use image::{
    Key,
    Name, //
};
pub use partner::Partner;
pub use sample::{
    Beside,
    Sample, //
};
pub use table::{
    Summary,
    Table, //
};
