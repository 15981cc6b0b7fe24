//! The verb `status`.

use super::summary::Summary;
use crate::{
    cli::{
        Error,
        Exit,
        addresses,
        block_on,
        print,
        unexpected, //
    },
    client::read_all, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Shows the state of entries as each of them sees it: configuration and membership offsets in force, the log, pools and
upstreams. An entry that does not answer is named, and the others are still shown.

Usage: sassafrascrank status --admin ADDR... [--json]

Options:
  --admin ADDR...  IP address and port of the admin endpoint of each entry
  --json           print JSON
  -h, --help       print this help

Exit codes: 0 every entry answered, 1 some entry did not answer, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("status ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut admin = Vec::new();
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("admin") => admin.extend(addresses(parser, &USAGE)?),
            Arg::Long("json") => as_json = true,
            other => return Err(unexpected(USAGE, other)),
        }
    }
    if admin.is_empty() {
        return Err(Report::new(USAGE).attach("--admin ADDR is missing"));
    }
    let replies = block_on(read_all(&admin, "/status"))?;
    let summary = Summary::from(replies);
    let text = match as_json {
        true => serde_json::to_string_pretty(&summary).change_context(Error::Output)? + "\n",
        false => summary.to_string(),
    };
    print(output, &text)?;
    Ok(match summary.failed.is_empty() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}
