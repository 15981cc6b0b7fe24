//! Stored answers in the form of the exchange and of the messages between entries.

use hyper::{
    HeaderMap, StatusCode,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use sassafrascrank_exchange::message::Answer;
use sassafrascrank_peer::message::StoredAnswer;

/// Returns the form that is sent to another entry.
pub fn stored(answer: &Answer) -> StoredAnswer {
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

/// Returns the form that is given to callers; a header that HTTP does not allow is left out.
pub fn kept(stored: StoredAnswer) -> Answer {
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
