//! The verb `plan`.

use super::Preview;
use crate::{
    check::read_document,
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
use std::{
    io::Write,
    path::PathBuf, //
};

/// Help of the verb.
pub const HELP: &str = "\
Shows what a configuration document would change if it were published now, without publishing it: the subjects that
differ from what is in force, whether they agree with the other values, the hosts that would change their pool, and
the pools that would be below their availability budget.

Usage: sassafrascrank plan FILE --platform ADDR

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  -h, --help       print this help

Exit codes:
  0  the document would be accepted, and no pool would be below its budget because of it
  1  the document or the fleet can't be read
  2  the command line is wrong
  5  the document would be rejected, or take a pool below its budget
";

const USAGE: Error = Error::Usage("plan ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, the document is rejected on its own, or the fleet can't be read.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut path = None;
    let mut platform = None;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("platform") => platform = Some(value(parser, &USAGE)?),
            Arg::Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = |what: &'static str| move || Report::new(USAGE).attach(what);
    let path = path.ok_or_else(missing("FILE is missing"))?;
    let platform = platform.ok_or_else(missing("--platform ADDR is missing"))?;
    let document = read_document(&path)?;
    let mut view = fleet::read(platform)?;
    let preview = Preview::new(&mut view, &document);
    print(output, &preview.to_string())?;
    Ok(match preview.is_safe() {
        true => Exit::Done,
        false => Exit::Rejected,
    })
}
