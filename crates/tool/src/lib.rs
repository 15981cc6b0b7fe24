//! The operator's command line as a library: each verb takes arguments and writes to a given output.

pub mod check;
pub mod cli;
pub mod client;
pub mod demo;
pub mod digest;
pub mod drain;
pub mod explain;
pub mod fleet;
pub mod hosts;
pub mod jobs;
pub mod key;
pub mod plan;
pub mod pools;
pub mod publish;
pub mod status;
pub mod timeline;
pub mod wave;
pub mod why;
