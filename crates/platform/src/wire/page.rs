//! Wire format of the log's responses.

use super::Error;
use crate::api;
use serde_json::value::RawValue;

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// Response to a read from an expired offset.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Expired {
    /// First retained offset.
    pub first: u64,
}

/// Response to a read.
#[derive(Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Page {
    /// First retained offset.
    pub first: u64,
    /// Offset of the newest record.
    pub end: u64,
    /// Consecutive records.
    pub records: Vec<Item>,
}

/// One record with its JSON text as it was appended, so that an undecodable record does not affect the others.
#[derive(Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Item {
    /// Offset of the record.
    pub offset: u64,
    /// The record.
    pub record: Box<RawValue>,
}

impl TryFrom<Page> for api::Page {
    type Error = Error;

    fn try_from(wire: Page) -> Result<Self, Error> {
        let offsets = wire.records.iter().map(|item| item.offset);
        let start = offsets.clone().next().unwrap_or(wire.first);
        for (expected, offset) in (start..).zip(offsets) {
            if offset != expected || offset > wire.end {
                let remedy = format!("number records one by one up to end {}", wire.end);
                return Err(Error::new("offset", offset, remedy));
            }
        }
        let records = wire.records.into_iter();
        Ok(Self {
            first: wire.first,
            end: wire.end,
            records: records
                .map(|item| api::Item {
                    offset: item.offset,
                    body: item.record.into(),
                })
                .collect(),
        })
    }
}
