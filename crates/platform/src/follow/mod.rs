//! Reading the stream `config` into a ledger state.

mod follow;

pub use follow::{
    AppliedRecord,
    PAGE_LIMIT,
    Progress,
    apply_page, //
    catch_up,
};
