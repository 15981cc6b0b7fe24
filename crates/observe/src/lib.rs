//! Observability of an entry process: events, time line, metrics, status and the admin endpoint.
//!
//! Every thread records [`event::Event`]s in a bounded ring. The observe thread ([`thread::start`]) reads the rings,
//! resolves keys to names, updates metrics, logs changes of state and serves the admin endpoint.

pub mod admin;
pub mod event;
pub mod metrics;
pub mod names;
pub mod observer;
pub mod status;
pub mod thread;
pub mod timeline;
