//! Digest of a credential, for a contract.

mod digest;

pub use digest::{
    HELP,
    encode,
    run, //
};
