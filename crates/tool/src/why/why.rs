//! The verb `why`.

use super::{
    Answer,
    Wave, //
};
use crate::{
    cli::{
        Error,
        Exit,
        print,
        unexpected,
        value, //
    },
    fleet::{
        self,
        View, //
    },
};
use core::{
    fmt,
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
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::{
    Rules,
    explain, //
};
use serde::Serialize;
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Explains the state of a host, a pool or the wave with the records and figures that decided.

Usage: sassafrascrank why host NAME --platform ADDR [--json]
       sassafrascrank why pool NAME --platform ADDR [--json]
       sassafrascrank why wave --platform ADDR [--at MS] [--json]

Options:
  --platform ADDR  IP address and port of the platform's log and host list
  --at MS          time to judge the wave at, in milliseconds since the Unix epoch [default: now]
  --json           print JSON
  -h, --help       print this help

The platform's list holds neither health nor work: failures are those recorded, and each drain is expected to take
its limit of 30 min.

Exit codes: 0 done, 1 the fleet can't be read or has no such host or pool, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("why ");

enum Question {
    Host(Name),
    Pool(Name),
    Wave,
}

struct Arguments {
    question: Question,
    platform: SocketAddr,
    at: Option<Time>,
    as_json: bool,
}

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, or the fleet can't be read or has no such host or pool.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let Some(arguments) = parse(parser)? else {
        return print(output, HELP);
    };
    let view = fleet::read(arguments.platform)?;
    let text = match &arguments.question {
        Question::Host(name) => explain_host(&view, name, arguments.as_json)?,
        Question::Pool(name) => explain_pool(&view, name, arguments.as_json)?,
        Question::Wave => {
            let now = arguments.at.unwrap_or_else(fleet::current_time);
            let summary = explain::explain_wave(&view.inventory, &Rules::default(), now);
            show(&summary, &Wave::from(&summary), arguments.as_json)?
        }
    };
    print(output, &text)
}

/// Parses the arguments; returns `None` if help is asked for.
fn parse(parser: &mut Parser) -> Result<Option<Arguments>, Report<Error>> {
    let mut words: Vec<String> = Vec::new();
    let mut platform = None;
    let mut at = None;
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("platform") => platform = Some(value(parser, &USAGE)?),
            Arg::Long("at") => at = Some(Time::from_millis(value(parser, &USAGE)?)),
            Arg::Long("json") => as_json = true,
            Arg::Value(word) if words.len() < 2 => words.push(word.to_string_lossy().into_owned()),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let question = parse_question(&words)?;
    if at.is_some() && !matches!(question, Question::Wave) {
        return Err(Report::new(USAGE).attach("--at MS goes with wave only"));
    }
    let missing = || Report::new(USAGE).attach("--platform ADDR is missing");
    Ok(Some(Arguments {
        question,
        platform: platform.ok_or_else(missing)?,
        at,
        as_json,
    }))
}

fn parse_question(words: &[String]) -> Result<Question, Report<Error>> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let name = |name| Name::new(name).change_context(USAGE);
    match words[..] {
        ["host", host] => name(host).map(Question::Host),
        ["pool", pool] => name(pool).map(Question::Pool),
        ["wave"] => Ok(Question::Wave),
        _ => Err(Report::new(USAGE).attach("ask for host NAME, pool NAME or wave")),
    }
}

fn explain_host(view: &View, name: &Name, as_json: bool) -> Result<String, Report<Error>> {
    let missing = || {
        let (kind, name) = ("host", name.clone());
        Report::new(Error::Missing { kind, name })
    };
    let key = view.inventory.find_host(name).ok_or_else(missing)?;
    match explain::explain_host(&view.inventory, key) {
        Some(explanation) => show(&explanation, &Answer::from(&explanation), as_json),
        None => Err(missing().attach("the platform lists the host, but no pool has it")),
    }
}

fn explain_pool(view: &View, name: &Name, as_json: bool) -> Result<String, Report<Error>> {
    // A removed pool keeps its key, so the lookup goes over the pools that exist.
    let mut pools = view.inventory.pools();
    let found = pools.find(|(_, pool)| pool.name == *name);
    let explanation = found.and_then(|(key, _)| explain::explain_pool(&view.inventory, key));
    let Some(explanation) = explanation else {
        let (kind, name) = ("pool", name.clone());
        return Err(Report::new(Error::Missing { kind, name }));
    };
    show(&explanation, &Answer::from(&explanation), as_json)
}

fn show<T, J>(text: &T, json: &J, as_json: bool) -> Result<String, Report<Error>>
where
    T: fmt::Display,
    J: Serialize,
{
    if !as_json {
        return Ok(format!("{text}\n"));
    }
    let json = serde_json::to_string_pretty(json).change_context(Error::Output)?;
    Ok(json + "\n")
}
