//! Wire format of records, pages and host lists, and its conversion into validated types.

pub mod config;
pub mod host;
pub mod member;
mod origin;
pub mod page;
mod text;

pub use origin::Origin;
pub use text::{
    Error,
    decode, //
};
