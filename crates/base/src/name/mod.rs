//! Names of customers, pools, hosts and availability zones.

mod name;

pub use name::{
    Error,
    Name, //
};
