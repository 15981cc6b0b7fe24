//! The verb `wave`.

use super::Status;
use crate::{
    cli::{
        Error,
        Exit,
        print,
        unexpected, //
    },
    fleet::{
        self,
        Flags,
        Options,
        View, //
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
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::{
    Proposal,
    Rules,
    wave, //
};
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Shows the maintenance wave of the current period: hosts that are done, running and waiting, when it ends, and the
pools that can't finish in time with the reason. pause, resume and skip change it by one record.

Usage: sassafrascrank wave --platform ADDR [OPTIONS]
       sassafrascrank wave pause --platform ADDR [OPTIONS]
       sassafrascrank wave resume --platform ADDR [OPTIONS]
       sassafrascrank wave skip HOST --platform ADDR [OPTIONS]

  pause   starts no more drains in any pool; hosts that are out of service still return
  resume  goes on after a pause or a stop; failures before that don't stop the wave again
  skip    leaves a host that is in service out of the wave

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  --dry-run        publish nothing, print what would be published
  --at MS          time to judge at, in milliseconds since the Unix epoch [default: now]; pause, resume and skip
                   accept it with --dry-run only
  --json           print JSON, without pause, resume and skip
  --writer NAME    name of the writer, shown to others [default: operator]
  --timeout S      longest time for publishing in seconds, 1 to 600 [default: 10]
  -h, --help       print this help

The platform's list does not hold work, so each drain is expected to take its limit of 30 min.

Exit codes:
  0  done or accepted
  1  refused, or the fleet can't be read, or nothing was published
  2  the command line is wrong
  3  stale: another writer was faster and nothing was published
  4  unknown: the change may be in the log or still arrive there
";

const USAGE: Error = Error::Usage("wave ");

enum Action {
    Show,
    Pause,
    Resume,
    Skip(Name),
}

struct Arguments {
    action: Action,
    at: Option<Time>,
    as_json: bool,
    options: Options,
}

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, the fleet can't be read, the action is refused or nothing was published.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let Some(arguments) = parse(parser)? else {
        return print(output, HELP);
    };
    let view = fleet::read(arguments.options.platform)?;
    let now = arguments.at.unwrap_or_else(fleet::current_time);
    let proposals = match &arguments.action {
        Action::Show => return show(&view, now, arguments.as_json, output),
        Action::Pause => Vec::from_iter(wave::pause(&view.inventory, now)),
        Action::Resume => wave::resume(&view.inventory, now),
        Action::Skip(host) => skip(&view, host, now)?,
    };
    if proposals.is_empty() {
        return Err(Report::new(Error::Refused).attach(describe_refusal(&arguments.action)));
    }
    let (exit, text) = fleet::publish(arguments.options, &proposals)?;
    print(output, &text)?;
    Ok(exit)
}

/// Parses the arguments; returns `None` if help is asked for.
fn parse(parser: &mut Parser) -> Result<Option<Arguments>, Report<Error>> {
    let mut words: Vec<String> = Vec::new();
    let mut flags = Flags::default();
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("json") => as_json = true,
            Arg::Long(name) => {
                let name = name.to_owned();
                if !flags.read(&name, parser, &USAGE)? {
                    return Err(unexpected(USAGE, Arg::Long(&name)));
                }
            }
            Arg::Value(word) if words.len() < 2 => words.push(word.to_string_lossy().into_owned()),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let action = parse_action(&words)?;
    let is_shown = matches!(action, Action::Show);
    if as_json && !is_shown {
        return Err(Report::new(USAGE).attach("--json goes without pause, resume and skip"));
    }
    let options = flags.check(!is_shown, &USAGE)?;
    let at = flags.at;
    Ok(Some(Arguments {
        action,
        at,
        as_json,
        options,
    }))
}

fn parse_action(words: &[String]) -> Result<Action, Report<Error>> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        [] => Ok(Action::Show),
        ["pause"] => Ok(Action::Pause),
        ["resume"] => Ok(Action::Resume),
        ["skip", host] => Name::new(host).change_context(USAGE).map(Action::Skip),
        _ => Err(Report::new(USAGE).attach("use pause, resume, skip HOST or none of them")),
    }
}

fn show<O: Write>(
    view: &View,
    now: Time,
    as_json: bool,
    output: &mut O,
) -> Result<Exit, Report<Error>> {
    let status = Status::new(&view.inventory, &Rules::default(), now);
    let text = match as_json {
        true => serde_json::to_string_pretty(&status).change_context(Error::Output)? + "\n",
        false => status.to_string(),
    };
    print(output, &text)
}

fn skip(view: &View, name: &Name, now: Time) -> Result<Vec<Proposal>, Report<Error>> {
    let Some(key) = view.inventory.find_host(name) else {
        let (kind, name) = ("host", name.clone());
        return Err(Report::new(Error::Missing { kind, name }));
    };
    let host = view.inventory.host(key);
    let pool = host.and_then(|host| view.inventory.pool(host.pool?));
    let number = Rules::default().wave(now);
    if let Some(pool) = pool
        && pool.reservation.wave.number < number
    {
        // The record that begins a wave clears the set of finished hosts, so a skip recorded before it would be lost.
        let problem = format!(
            "pool {} has not begun wave {number} yet; skip {name} once it has",
            pool.name
        );
        return Err(Report::new(Error::Refused).attach(problem));
    }
    Ok(Vec::from_iter(wave::skip(&view.inventory, key, now)))
}

fn describe_refusal(action: &Action) -> String {
    match action {
        Action::Show => String::new(),
        Action::Pause => "the wave is halted already, or there is no pool".to_owned(),
        Action::Resume => "the wave is not halted".to_owned(),
        Action::Skip(host) => {
            format!("{host} is out of service, done in the wave or in no pool; see why host {host}")
        }
    }
}
