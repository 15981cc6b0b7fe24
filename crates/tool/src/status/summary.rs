//! Statuses that several entries report.

use crate::client::{
    Error,
    Reply, //
};
use sassafrascrank_observe::status::wire::Status;
use serde::Serialize;

/// Entries that reported a status, and those that did not.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// Status of each entry that answered.
    pub entries: Vec<Entry>,
    /// Entries that did not answer.
    pub failed: Vec<Failure>,
}

/// Status of one entry.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Entry {
    /// Address of its admin endpoint.
    pub admin: String,
    /// The status that it reports.
    #[serde(flatten)]
    pub status: Status,
}

/// An entry that did not answer as asked.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Failure {
    /// Address of its admin endpoint.
    pub admin: String,
    /// Cause, with a remedy.
    pub error: String,
}

impl From<Vec<Reply>> for Summary {
    fn from(replies: Vec<Reply>) -> Self {
        let mut summary = Self {
            entries: Vec::new(),
            failed: Vec::new(),
        };
        for Reply { address, body } in replies {
            let admin = address.to_string();
            let status = body.and_then(|body| {
                let status = serde_json::from_slice(&body);
                status.map_err(|error| Error::Body(error.to_string()))
            });
            match status {
                Ok(status) => summary.entries.push(Entry { admin, status }),
                Err(error) => summary.failed.push(Failure {
                    admin,
                    error: error.to_string(),
                }),
            }
        }
        summary
    }
}
