//! Records of the stream `config`.

mod image;
mod origin;
mod record;

pub use image::{
    Image,
    Revision,
    WriterState, //
};
pub use origin::Origin;
pub use record::{
    Change,
    Entry,
    Record,
    Snapshot, //
};
