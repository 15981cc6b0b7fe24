//! Body types of requests and responses.

use super::{
    relay::Relay,
    upload::Upload, //
};
use bytes::Bytes;
use http_body_util::{
    Either,
    Full, //
};

/// Body of a request to an upstream: held in memory for a retry, or streamed from the caller.
pub type RequestBody = Either<Full<Bytes>, Upload>;

/// Body of a response to a caller: held in memory, or streamed from the upstream.
pub type ResponseBody = Either<Full<Bytes>, Relay>;
