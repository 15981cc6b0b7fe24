//! Configuration by operators, and timing rules of the engine.

pub mod account;
mod config;
mod rules;

pub use account::{
    Account,
    Accounts,
    Credential, //
};
pub use config::{
    Config,
    Pool,
    Queue, //
};
pub use rules::Rules;
