//! Publication of a decision about the fleet.

use crate::{
    cli::{
        Error,
        Exit,
        block_on, //
    },
    publish::describe, //
};
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    model::Value,
    wire, //
};
use sassafrascrank_fleet::Proposal;
use sassafrascrank_ledger::Entry;
use sassafrascrank_platform::{
    http::{
        Client,
        Limits, //
    },
    publish::publish_entries, //
};
use uuid::Uuid;

/// How a decision is published.
pub(crate) struct Options {
    /// Address of the platform's log.
    pub(crate) platform: SocketAddr,
    /// Name of the writer.
    pub(crate) writer: Name,
    /// Longest time until the platform has answered.
    pub(crate) limit: Duration,
    /// Whether the change is only printed and not published.
    pub(crate) is_dry: bool,
}

/// Publishes proposals as one change, each on the offset that it was decided at, or only describes them in a dry run.
pub(crate) fn publish(
    options: Options,
    proposals: &[Proposal],
) -> Result<(Exit, String), Report<Error>> {
    let entries: Vec<Entry> = proposals.iter().map(make_entry).collect();
    if options.is_dry {
        return Ok((Exit::Done, preview(&entries)?));
    }
    let mut log = Client::new(options.platform, Limits::default());
    // The random part of the UUID, so that no two runs by the same writer share it.
    let incarnation = Uuid::now_v7().as_u64_pair().1;
    let published = publish_entries(
        &mut log,
        entries,
        options.writer,
        incarnation,
        options.limit,
    );
    let outcome = block_on(published)?.change_context(Error::Publish)?;
    Ok(describe(&outcome))
}

/// Returns the ledger entry of a proposal. The `join` of a proposal is ignored: an operator's actions take hosts out of
/// service and never add one to a pool.
fn make_entry(proposal: &Proposal) -> Entry {
    Entry {
        subject: proposal.subject.clone(),
        basis: proposal.basis,
        value: Value::Reservation(proposal.value.clone()),
    }
}

fn preview(entries: &[Entry]) -> Result<String, Report<Error>> {
    let mut text = "would publish:\n".to_owned();
    for entry in entries {
        let value = wire::Value::from(&entry.value);
        let value = serde_json::to_string(&value).change_context(Error::Output)?;
        let (subject, basis) = (&entry.subject, entry.basis);
        text += &format!("  {subject} on the basis of offset {basis}:\n    {value}\n");
    }
    Ok(text)
}
