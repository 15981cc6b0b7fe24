//! Re-exports the crates that decide about admission, queueing, routing, retries and the fleet, for programs that embed
//! them.

pub use sassafrascrank_base as base;
pub use sassafrascrank_claim as claim;
pub use sassafrascrank_contract as contract;
pub use sassafrascrank_dispatch as dispatch;
pub use sassafrascrank_fleet as fleet;
pub use sassafrascrank_ledger as ledger;
pub use sassafrascrank_queue as queue;
pub use sassafrascrank_retry as retry;
pub use sassafrascrank_route as route;
