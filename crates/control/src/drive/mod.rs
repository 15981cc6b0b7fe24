//! The thread that carries out orders to runners and hosts.

mod drive;

pub use drive::{
    Drive,
    run, //
};
