//! The queue, its requests, and the shares of customers and classes.

mod account;
mod admission;
mod customers;
mod entry;
mod flow;
mod item;
mod lane;
mod queue;
mod selection;

pub use item::{
    Class,
    Grant,
    Request, //
};
pub use queue::Queue;
