//! Selection of the verb, and helpers that the verbs share.

use super::{
    Error,
    Exit, //
};
use crate::{
    check,
    demo,
    digest,
    drain,
    explain,
    hosts,
    jobs,
    key,
    plan,
    pools,
    publish,
    status,
    timeline,
    wave,
    why, //
};
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};
use std::{
    ffi::OsString,
    io::{
        Read,
        Write, //
    },
    str::FromStr, //
};

/// Help of the tool.
pub const HELP: &str = "\
Operator's tool of sassafrascrank, the manager of fleet capacity and maintenance.

Usage: sassafrascrank VERB [OPTIONS]

Verbs:
  demo      run a small deployment in one process and flood it
  check     check a configuration document or a settings file
  plan      show what a configuration document would change
  publish   put a configuration document into force
  jobs      show jobs, their leader and waves, or explain a job or a host
  explain   explain where a job or a submission would go now, without sending it
  hosts     show the hosts of the fleet
  pools     show the pools with their availability and budgets
  why       explain the state of a host, a pool or the wave
  wave      show, pause or resume the maintenance wave, or skip a host in it
  move      move a host to another pool
  drain     take a host out of service for maintenance
  status    show the state of entries
  timeline  show what happened at entries, in causal order
  key       make an idempotency key
  digest    make the credential digest for a contract

Options:
  -h, --help     print this help, or that of a verb after the verb
  -V, --version  print the version

Exit codes:
  0  done
  1  failed
  2  the command line is wrong
  3  stale: another writer was faster and nothing was published
  4  unknown: the change may be in the log or still arrive there
  5  a file does not pass its check
";

/// Runs one command; `arguments` do not include the name of the program.
///
/// # Errors
///
/// Fails if the command line is wrong or the command can't do what was asked.
pub fn run<A, I, O>(arguments: A, input: &mut I, output: &mut O) -> Result<Exit, Report<Error>>
where
    A: IntoIterator<Item = OsString>,
    I: Read,
    O: Write,
{
    let mut parser = Parser::from_args(arguments);
    let usage = Error::Usage("");
    let verb = match parser.next().change_context(usage.clone())? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => return print(output, HELP),
        Some(Arg::Short('V') | Arg::Long("version")) => {
            return print(
                output,
                &format!("sassafrascrank {}\n", env!("CARGO_PKG_VERSION")),
            );
        }
        Some(Arg::Value(verb)) => verb.to_string_lossy().into_owned(),
        Some(other) => return Err(unexpected(usage, other)),
    };
    match verb.as_str() {
        "demo" => demo::run(&mut parser, output),
        "check" => check::run(&mut parser, output),
        "publish" => publish::run(&mut parser, output),
        "plan" => plan::run(&mut parser, output),
        "jobs" => jobs::run(&mut parser, output),
        "explain" => explain::run(&mut parser, output),
        "hosts" => hosts::run(&mut parser, output),
        "pools" => pools::run(&mut parser, output),
        "why" => why::run(&mut parser, output),
        "wave" => wave::run(&mut parser, output),
        "move" => drain::run_move(&mut parser, output),
        "drain" => drain::run_drain(&mut parser, output),
        "status" => status::run(&mut parser, output),
        "timeline" => timeline::run(&mut parser, output),
        "key" => key::run(&mut parser, output),
        "digest" => digest::run(&mut parser, input, output),
        _ => {
            let problem = format!("there is no verb {verb:?}");
            Err(Report::new(usage).attach(problem))
        }
    }
}

/// Writes a text to the output and flushes it.
pub(crate) fn print<O: Write>(output: &mut O, text: &str) -> Result<Exit, Report<Error>> {
    let written = output.write_all(text.as_bytes());
    written
        .and_then(|()| output.flush())
        .change_context(Error::Output)?;
    Ok(Exit::Done)
}

/// Returns the usage error for an argument that the verb does not accept.
pub(crate) fn unexpected(usage: Error, argument: Arg<'_>) -> Report<Error> {
    Report::new(argument.unexpected()).change_context(usage)
}

/// Parses the value of an option.
pub(crate) fn value<T>(parser: &mut Parser, usage: &Error) -> Result<T, Report<Error>>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let value = parser.value().change_context_lazy(|| usage.clone())?;
    value.parse().change_context_lazy(|| usage.clone())
}

/// Parses all addresses that follow an option.
pub(crate) fn addresses(
    parser: &mut Parser,
    usage: &Error,
) -> Result<Vec<SocketAddr>, Report<Error>> {
    let values = parser.values().change_context_lazy(|| usage.clone())?;
    let addresses = values.map(|value| value.parse().change_context_lazy(|| usage.clone()));
    addresses.collect()
}

/// Runs a future to its end on a single-threaded runtime of the current thread.
pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output, Report<Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}
