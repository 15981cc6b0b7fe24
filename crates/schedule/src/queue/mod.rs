//! Queues, pools, and the order of waiting tasks.

mod pool;
mod queue;
mod rank;

pub use pool::Pool;
pub use queue::Queue;
pub use rank::{
    Rank,
    Tier, //
};

pub mod key {
    //! Keys of queues and pools.

    slotmap::new_key_type! {
        /// Identifies a queue within this process.
        pub struct Queue;

        /// Identifies a pool within this process.
        pub struct Pool;
    }
}
