//! The verb `jobs`.

use super::{
    Host,
    Job,
    Overview,
    State, //
};
use crate::cli::{
    Error,
    Exit,
    block_on,
    print,
    unexpected,
    value, //
};
use core::{
    fmt::Display,
    net::SocketAddr, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use sassafrascrank_job::Id;
use serde::Serialize;
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Shows what the platform's log holds of jobs: who leads, the jobs of each queue by state, and the maintenance waves; or
explains one job or one host. It needs no entry, so it also works while none runs.

Usage: sassafrascrank jobs --log ADDR [OPTIONS]

Options:
  --log ADDR   IP address and port of the platform's log
  --job ID     explain this job, 16 hexadecimal digits
  --host NAME  explain this host
  --json       print JSON
  -h, --help   print this help

Exit codes: 0 done, 1 the log can't be read or has no such job, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("jobs ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, or the log can't be read or has no such job.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut log: Option<SocketAddr> = None;
    let mut job: Option<String> = None;
    let mut host: Option<String> = None;
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("log") => log = Some(value(parser, &USAGE)?),
            Arg::Long("job") => job = Some(value(parser, &USAGE)?),
            Arg::Long("host") => host = Some(value(parser, &USAGE)?),
            Arg::Long("json") => as_json = true,
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = || Report::new(USAGE).attach("--log ADDR is missing");
    let log = log.ok_or_else(missing)?;
    let id = job.map(|job| Id::try_from(job.as_str())).transpose();
    let id = id.change_context(USAGE)?;
    if id.is_some() && host.is_some() {
        return Err(Report::new(USAGE).attach("--job and --host: give one of them"));
    }
    let state = block_on(State::read(log))??;
    let text = match (id, host) {
        (Some(id), _) => {
            let job = Job::find(&state, id).ok_or_else(|| Report::new(Error::NoJob(id)))?;
            render(&job, as_json)?
        }
        (None, Some(host)) => render(&Host::new(&state, &host), as_json)?,
        (None, None) => render(&Overview::from(&state), as_json)?,
    };
    print(output, &text)
}

fn render<T: Display + Serialize>(value: &T, as_json: bool) -> Result<String, Report<Error>> {
    match as_json {
        true => Ok(serde_json::to_string_pretty(value).change_context(Error::Output)? + "\n"),
        false => Ok(value.to_string()),
    }
}
