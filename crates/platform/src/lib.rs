//! The platform's log and host list: traits, HTTP client, wire types, appends with retries, and publication of
//! configuration changes.

pub mod api;
pub mod append;
pub mod follow;
pub mod http;
pub mod publish;
pub mod wire;

pub use api::{
    Condition,
    Directory,
    Error,
    Host,
    Item,
    Log,
    Page,
    Stream, //
};
pub use append::{
    Appender,
    Event, //
};
pub use follow::{
    AppliedRecord, //
    Progress,
};
