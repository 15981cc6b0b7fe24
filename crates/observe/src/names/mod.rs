//! Names of the customers, pools, upstreams and entries that events refer to by key.

mod table;

pub use table::{
    Names,
    Table, //
};
