//! HTTP endpoint for operators.

mod problem;
pub mod query;
mod route;
mod server;

pub use server::{
    CONNECTION_LIMIT,
    serve, //
};
