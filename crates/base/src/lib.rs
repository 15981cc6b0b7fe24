//! Basic types shared by all crates: time, epochs, names, arena keys, request outcomes and stable hashes.

pub mod epoch;
pub mod fault;
pub mod hash;
pub mod key;
pub mod name;
pub mod outcome;
pub mod time;

pub mod prelude {
    //! Common types, meant for a glob import.

    pub use crate::{
        key::{
            availability_zone,
            caller,
            class,
            customer,
            entry,
            host,
            pool,
            ticket,
            upstream, //
        },
        name::Name,
        outcome::{
            Outcome,
            Reason,
            Refusal, //
        },
        time::Time, //
    };
    pub use core::time::Duration;
}
