//! `Copy` keys into arenas, one module for each kind of object.

pub mod availability_zone;
pub mod caller;
pub mod class;
pub mod customer;
pub mod entry;
pub mod host;
pub mod pool;
pub mod ticket;
pub mod upstream;
