//! Application of the stream `config` to a ledger state.

mod follow;

pub use follow::{
    AppliedRecord,
    MAX_PAGE_RECORDS,
    Progress,
    apply_page, //
    catch_up,
};
