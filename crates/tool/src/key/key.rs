//! The verb `key`.

use crate::cli::{
    Error,
    Exit,
    print,
    unexpected,
    value, //
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
use uuid::Uuid;

/// Help of the verb.
pub const HELP: &str = "\
Prints a fresh idempotency key, <availability zone>:<UUIDv7>. The key says when it was made, so send it soon, and
repeat the same key if the outcome of the request is unknown.

Usage: sassafrascrank key --zone ZONE

Options:
  --zone ZONE  availability zone of the entry that the request goes to
  -h, --help   print this help

Exit codes: 0 done, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("key ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut zone: Option<String> = None;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("zone") => zone = Some(value(parser, &USAGE)?),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let zone = zone.ok_or_else(|| Report::new(USAGE).attach("--zone ZONE is missing"))?;
    let zone = Name::new(&zone).change_context(USAGE)?;
    print(output, &format!("{zone}:{}\n", Uuid::now_v7()))
}
