//! The verb `pools`.

use super::Table;
use crate::{
    cli::{
        Error,
        Exit,
        print,
        unexpected,
        value, //
    },
    fleet, //
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
Shows each pool: its hosts, those that are available, voluntarily out and failed, the budget (least hosts that must be
available), the room left, and what the wave does there.

Usage: sassafrascrank pools --platform ADDR [--json]

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  --json           print JSON
  -h, --help       print this help

Hosts that are leaving or missing from the platform's list count as failed unless they are voluntarily out.

Exit codes: 0 done, 1 the fleet can't be read, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("pools ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong or the fleet can't be read.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut platform = None;
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("platform") => platform = Some(value(parser, &USAGE)?),
            Arg::Long("json") => as_json = true,
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = || Report::new(USAGE).attach("--platform ADDR is missing");
    let view = fleet::read(platform.ok_or_else(missing)?)?;
    let table = Table::from(&view.inventory);
    let text = match as_json {
        true => serde_json::to_string_pretty(&table).change_context(Error::Output)? + "\n",
        false => table.to_string(),
    };
    print(output, &text)
}
