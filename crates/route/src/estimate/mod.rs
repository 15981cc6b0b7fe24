//! Durations estimated from samples.

mod estimate;

pub(crate) use estimate::Estimate;
