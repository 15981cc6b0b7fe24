//! Decisions of the engine, with runners and hosts that carry out its orders in virtual time.

mod balance;
mod cancel;
mod evict;
mod fail;
mod harness;
mod host;
mod lease;
mod note;
mod pace;
mod place;
mod straggler;
