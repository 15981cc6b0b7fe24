//! Conversion of stored answers between the types of the exchange and of the peer protocol.

use hyper::{
    HeaderMap, StatusCode,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use sassafrascrank_exchange::message::Answer;
use sassafrascrank_peer::message::StoredAnswer;

/// Converts an answer to the type that is sent to other entries.
pub fn to_stored(answer: &Answer) -> StoredAnswer {
    let headers = answer.headers.iter();
    let headers = headers.map(|(name, value)| {
        let value = value.as_bytes().to_vec();
        (name.as_str().to_owned(), value.into())
    });
    StoredAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: answer.body.clone(),
    }
}

/// Converts an answer from another entry to the type that is returned to callers; drops invalid headers.
pub fn from_stored(stored: StoredAnswer) -> Answer {
    let mut headers = HeaderMap::with_capacity(stored.headers.len());
    for (name, value) in &stored.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    Answer {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body: stored.body,
    }
}
