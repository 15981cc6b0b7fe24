//! The drive thread, which carries out orders to runners and hosts.

mod drive;

pub use drive::{
    Drive,
    run, //
};
