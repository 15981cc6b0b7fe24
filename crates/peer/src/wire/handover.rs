//! Serialised handover of the outcomes of keyed requests.

use super::{
    Error, HANDOVER_ITEM_LIMIT, HEADER_LIMIT, VERSION,
    blob::Blob,
    codec::check_version,
    error::{
        check_count,
        parse_name, //
    },
};
use crate::message::{
    self,
    StoredAnswer, //
};
use bytes::Bytes;
use sassafrascrank_base::prelude::Time;
use sassafrascrank_claim::{
    key::Id,
    member::Entry,
    table::{
        self,
        Fingerprint,
        RequestState, //
    },
};

/// Serialised form of [`message::Handover`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Version.
    v: u16,
    /// Host and incarnation of the process that hands over.
    from: (String, u64),
    /// Host and incarnation of the process that receives.
    to: (String, u64),
    departed: bool,
    /// Microseconds since the Unix epoch.
    floor: u64,
    items: Vec<Item>,
}

/// State of one keyed request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Item {
    /// Idempotency key, the 16 bytes of its UUIDv7.
    k: Blob,
    /// Fingerprint of the request, 16 bytes.
    p: Blob,
    /// Answer; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    a: Option<Answer>,
    /// Whether an answer was too large to keep.
    #[serde(default, skip_serializing_if = "is_false")]
    d: bool,
}

/// Stored answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Answer {
    /// Status.
    s: u16,
    /// Headers.
    h: Vec<(String, Blob)>,
    /// Body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    b: Option<Blob>,
}

impl From<&message::Handover> for Handover {
    fn from(handover: &message::Handover) -> Self {
        let entry = |entry: &Entry| (entry.host.to_string(), entry.incarnation);
        Self {
            v: VERSION,
            from: entry(&handover.from),
            to: entry(&handover.to),
            departed: handover.departed,
            floor: handover.floor.as_micros(),
            items: handover.items.iter().map(Item::from).collect(),
        }
    }
}

impl From<&table::Item<StoredAnswer>> for Item {
    fn from(item: &table::Item<StoredAnswer>) -> Self {
        let bytes = |bits: u128| Blob(Bytes::copy_from_slice(&bits.to_be_bytes()));
        Self {
            k: bytes(item.id.bits()),
            p: bytes(item.fingerprint.0),
            a: match &item.state {
                RequestState::Answered(answer) => Some(answer.into()),
                // The ticket of a running attempt means nothing to the receiver.
                RequestState::Running(_) | RequestState::Dropped | RequestState::Lost => None,
            },
            d: item.state == RequestState::Dropped,
        }
    }
}

impl From<&StoredAnswer> for Answer {
    fn from(answer: &StoredAnswer) -> Self {
        let headers = answer.headers.iter();
        Self {
            s: answer.status,
            h: headers
                .map(|(name, value)| (name.clone(), Blob(value.clone())))
                .collect(),
            b: answer.body.clone().map(Blob),
        }
    }
}

impl TryFrom<Handover> for message::Handover {
    type Error = Error;

    fn try_from(wire: Handover) -> Result<Self, Error> {
        check_version(wire.v)?;
        check_count("items", wire.items.len(), HANDOVER_ITEM_LIMIT)?;
        let items = wire.items.into_iter().map(TryInto::try_into);
        Ok(Self {
            from: check_entry("from", &wire.from)?,
            to: check_entry("to", &wire.to)?,
            departed: wire.departed,
            floor: Time::from_micros(wire.floor),
            items: items.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<Item> for table::Item<StoredAnswer> {
    type Error = Error;

    fn try_from(wire: Item) -> Result<Self, Error> {
        let state = match (wire.a, wire.d) {
            (Some(answer), false) => RequestState::Answered(answer.try_into()?),
            (None, true) => RequestState::Dropped,
            (None, false) => RequestState::Lost,
            (Some(_), true) => {
                let remedy = "send an answer or say that it was dropped, not both";
                return Err(Error::new("items.d", true, remedy));
            }
        };
        Ok(Self {
            id: Id::from_bits(check_bits("items.k", &wire.k)?),
            fingerprint: Fingerprint(check_bits("items.p", &wire.p)?),
            state,
        })
    }
}

impl TryFrom<Answer> for StoredAnswer {
    type Error = Error;

    fn try_from(wire: Answer) -> Result<Self, Error> {
        if !(100..=999).contains(&wire.s) {
            return Err(Error::new(
                "items.a.s",
                wire.s,
                "send a status of 100 to 999",
            ));
        }
        check_count("items.a.h", wire.h.len(), HEADER_LIMIT)?;
        let headers = wire.h.into_iter().map(check_header);
        Ok(Self {
            status: wire.s,
            headers: headers.collect::<Result<_, _>>()?,
            body: wire.b.map(|body| body.0),
        })
    }
}

fn check_header((name, value): (String, Blob)) -> Result<(String, Bytes), Error> {
    let parsed = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if parsed.is_err() || name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Err(Error::new(
            "items.a.h",
            name,
            "send a header name in lower case",
        ));
    }
    if hyper::header::HeaderValue::from_bytes(&value.0).is_err() {
        let remedy = format!("send a value of {name} without control characters");
        return Err(Error::new("items.a.h", value.0.escape_ascii(), remedy));
    }
    Ok((name, value.0))
}

fn check_entry(field: &str, (host, incarnation): &(String, u64)) -> Result<Entry, Error> {
    Ok(Entry {
        host: parse_name(field, host)?,
        incarnation: *incarnation,
    })
}

fn check_bits(field: &str, blob: &Blob) -> Result<u128, Error> {
    let bytes: Result<[u8; 16], _> = blob.0.as_ref().try_into();
    let bytes = bytes.map_err(|_| Error::new(field, blob.0.len(), "send 16 bytes"))?;
    Ok(u128::from_be_bytes(bytes))
}

const fn is_false(value: &bool) -> bool {
    !*value
}
