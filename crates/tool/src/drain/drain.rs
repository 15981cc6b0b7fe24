//! The verbs `drain` and `move`.

use super::decide;
use crate::{
    cli::{
        Error,
        Exit,
        print,
        unexpected, //
    },
    fleet::{
        self,
        Flags, //
    },
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

macro_rules! options {
    () => {
        "
The act is refused, with the figures of the budget, if the host's pool would be below its availability budget, or if
hosts of another zone of the pool are out of service.

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  --dry-run        publish nothing, print what would be published
  --at MS          with --dry-run: time of the record, in milliseconds since the Unix epoch [default: now]
  --writer NAME    name of the writer, shown to others [default: operator]
  --timeout S      longest time for publishing in seconds, 1 to 600 [default: 10]
  -h, --help       print this help

Exit codes:
  0  accepted, or printed by a dry run
  1  refused, or the fleet can't be read, or nothing was published
  2  the command line is wrong
  3  stale: another writer was faster and nothing was published
  4  unknown: the change may be in the log or still arrive there
"
    };
}

/// Help of the verb `drain`.
pub const DRAIN_HELP: &str = concat!(
    "\
Takes a host out of service for maintenance: publishes the record by which it begins to drain.

Usage: sassafrascrank drain HOST --platform ADDR [OPTIONS]
",
    options!()
);

/// Help of the verb `move`.
pub const MOVE_HELP: &str = concat!(
    "\
Moves a host to another pool: publishes the record by which it begins to drain. It joins the pool once it is drained.

Usage: sassafrascrank move HOST POOL --platform ADDR [OPTIONS]
",
    options!()
);

/// Runs the verb `drain`.
///
/// # Errors
///
/// Fails if the command line is wrong, the fleet can't be read, the action is refused or nothing was published.
pub fn run_drain<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let usage = Error::Usage("drain ");
    let Some((words, flags)) = parse(parser, 1, &usage)? else {
        return print(output, DRAIN_HELP);
    };
    let [host] = &words[..] else {
        return Err(Report::new(usage).attach("HOST is missing"));
    };
    publish_drain(host, None, &flags, &usage, output)
}

/// Runs the verb `move`.
///
/// # Errors
///
/// Fails if the command line is wrong, the fleet can't be read, the action is refused or nothing was published.
pub fn run_move<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let usage = Error::Usage("move ");
    let Some((words, flags)) = parse(parser, 2, &usage)? else {
        return print(output, MOVE_HELP);
    };
    let [host, pool] = &words[..] else {
        return Err(Report::new(usage).attach("HOST or POOL is missing"));
    };
    publish_drain(host, Some(pool), &flags, &usage, output)
}

/// Parses at most `limit` names and the options; returns `None` if help is asked for.
fn parse(
    parser: &mut Parser,
    limit: usize,
    usage: &Error,
) -> Result<Option<(Vec<Name>, Flags)>, Report<Error>> {
    let mut words = Vec::new();
    let mut flags = Flags::default();
    while let Some(argument) = parser.next().change_context_lazy(|| usage.clone())? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long(name) => {
                let name = name.to_owned();
                if !flags.read(&name, parser, usage)? {
                    return Err(unexpected(usage.clone(), Arg::Long(&name)));
                }
            }
            Arg::Value(word) if words.len() < limit => {
                let name = Name::new(&word.to_string_lossy());
                words.push(name.change_context_lazy(|| usage.clone())?);
            }
            other => return Err(unexpected(usage.clone(), other)),
        }
    }
    Ok(Some((words, flags)))
}

fn publish_drain<O: Write>(
    host: &Name,
    target: Option<&Name>,
    flags: &Flags,
    usage: &Error,
    output: &mut O,
) -> Result<Exit, Report<Error>> {
    let options = flags.check(true, usage)?;
    let view = fleet::read(options.platform)?;
    let inventory = &view.inventory;
    let missing = |kind, name: &Name| {
        let name = name.clone();
        Report::new(Error::Missing { kind, name })
    };
    let key = inventory.find_host(host);
    let found = key.and_then(|key| inventory.host(key));
    let found = found.ok_or_else(|| missing("host", host))?;
    if let Some(target) = target
        && !inventory.pools().any(|(_, pool)| pool.name == *target)
    {
        return Err(missing("pool", target));
    }
    let now = flags.at.unwrap_or_else(fleet::current_time);
    let proposal = decide(inventory, found, target, now).map_err(|reason| {
        let problem = reason.to_string();
        Report::new(Error::Refused).attach(problem)
    })?;
    let (exit, text) = fleet::publish(options, &[proposal])?;
    print(output, &text)?;
    Ok(exit)
}
