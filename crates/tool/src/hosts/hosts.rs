//! The verb `hosts`.

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
use sassafrascrank_base::name::Name;
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Shows each host of the platform's list and of the configuration: pool, zone, rack, condition, and its step if it is
voluntarily out of service.

Usage: sassafrascrank hosts --platform ADDR [OPTIONS]

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  --pool NAME      only hosts that are assigned to this pool
  --json           print JSON
  -h, --help       print this help

Conditions: live; leaving, takes no new work; failed, listed as live but recorded as failed; unlisted, missing from the
platform's list

Exit codes: 0 done, 1 the fleet can't be read or has no such pool, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("hosts ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, or the fleet can't be read or has no such pool.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut platform = None;
    let mut pool: Option<String> = None;
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("platform") => platform = Some(value(parser, &USAGE)?),
            Arg::Long("pool") => pool = Some(value(parser, &USAGE)?),
            Arg::Long("json") => as_json = true,
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = || Report::new(USAGE).attach("--platform ADDR is missing");
    let platform = platform.ok_or_else(missing)?;
    let pool = pool.map(|pool| Name::new(&pool)).transpose();
    let pool = pool.change_context(USAGE)?;
    let view = fleet::read(platform)?;
    let mut pools = view.inventory.pools();
    if let Some(name) = &pool
        && !pools.any(|(_, pool)| pool.name == *name)
    {
        let (kind, name) = ("pool", name.clone());
        return Err(Report::new(Error::Missing { kind, name }));
    }
    let table = Table::new(&view, pool.as_ref());
    let text = match as_json {
        true => serde_json::to_string_pretty(&table).change_context(Error::Output)? + "\n",
        false => table.to_string(),
    };
    print(output, &text)
}
