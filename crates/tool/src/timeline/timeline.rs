//! The verb `timeline`.

use super::line;
use crate::{
    cli::{
        Error,
        Exit,
        addresses,
        block_on,
        print,
        unexpected,
        value, //
    },
    client::{
        self,
        Reply,
        read_all, //
    },
};
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use sassafrascrank_base::name::Name;
use sassafrascrank_observe::{
    event::request,
    timeline::{
        LIMIT_MAX,
        Record,
        merge,
        wire, //
    },
};
use std::io::Write;

/// Help of the verb.
pub const HELP: &str = "\
Shows what happened at entries as one time line in causal order: a request arrives after it was forwarded, and a
configuration is in force after it was published, even if clocks differ. All conditions given must hold. An entry
that does not answer is named on the last lines, and the others are still shown.

Usage: sassafrascrank timeline --admin ADDR... [OPTIONS]

Options:
  --admin ADDR...    IP address and port of the admin endpoint of each entry
  --request ID       one request, as the time line names it
  --host HOST        host of the entry, of the upstream or of the other entry
  --pool POOL        one pool
  --customer NAME    one customer
  --configuration N  records made under the configuration with this offset
  --limit N          the newest N records, 1 to 2000 [default: 500]
  --json             print one JSON object for each record
  -h, --help         print this help

Exit codes: 0 every entry answered, 1 some entry did not answer, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("timeline ");

#[derive(Default)]
struct Arguments {
    admin: Vec<SocketAddr>,
    /// Query parameters; the values are checked names and numbers, so they need no escapes.
    filters: Vec<(&'static str, String)>,
    limit: Option<usize>,
    as_json: bool,
}

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let Some(arguments) = parse(parser)? else {
        return print(output, HELP);
    };
    let limit = arguments.limit.unwrap_or(500);
    let mut path = format!("/timeline?limit={limit}");
    for (name, value) in &arguments.filters {
        path += &format!("&{name}={value}");
    }
    let replies = block_on(read_all(&arguments.admin, &path))?;
    let (records, failed) = collect(replies);
    let merged = merge(records);
    // Each entry sends its newest `limit` records. Records older than the newest `limit` of all are dropped, since
    // other entries may have left out records of the same time.
    let newest = &merged[merged.len().saturating_sub(limit)..];
    let mut text = match arguments.as_json {
        true => encode(newest)?,
        false => line::render(newest),
    };
    for (address, error) in &failed {
        let line = format!("{address}: no time line: {error}");
        text += &match arguments.as_json {
            true => serde_json::json!({ "admin": address, "error": error }).to_string(),
            false => line,
        };
        text.push('\n');
    }
    print(output, &text)?;
    Ok(match failed.is_empty() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}

/// Parses the arguments; returns `None` if help is asked for.
fn parse(parser: &mut Parser) -> Result<Option<Arguments>, Report<Error>> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("admin") => arguments.admin.extend(addresses(parser, &USAGE)?),
            Arg::Long("json") => arguments.as_json = true,
            Arg::Long("limit") => arguments.limit = Some(value(parser, &USAGE)?),
            Arg::Long("request") => {
                let id: request::Id = value(parser, &USAGE)?;
                arguments.filters.push(("request", id.to_string()));
            }
            Arg::Long("configuration") => {
                let offset: u64 = value(parser, &USAGE)?;
                arguments
                    .filters
                    .push(("configuration", offset.to_string()));
            }
            Arg::Long("host") => arguments.filters.push(("host", parse_name(parser)?)),
            Arg::Long("pool") => arguments.filters.push(("pool", parse_name(parser)?)),
            Arg::Long("customer") => arguments.filters.push(("customer", parse_name(parser)?)),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    if arguments.admin.is_empty() {
        return Err(Report::new(USAGE).attach("--admin ADDR is missing"));
    }
    if arguments
        .limit
        .is_some_and(|limit| !(1..=LIMIT_MAX).contains(&limit))
    {
        return Err(Report::new(USAGE).attach(format!("--limit: use 1 to {LIMIT_MAX}")));
    }
    Ok(Some(arguments))
}

fn parse_name(parser: &mut Parser) -> Result<String, Report<Error>> {
    let text: String = value(parser, &USAGE)?;
    let name = Name::new(&text).change_context(USAGE)?;
    Ok(name.to_string())
}

/// Address of an entry that sent no usable answer, and the cause.
type Failure = (SocketAddr, String);

/// Decodes the records of all replies, and collects the failures.
fn collect(replies: Vec<Reply>) -> (Vec<Record>, Vec<Failure>) {
    let mut records = Vec::new();
    let mut failed = Vec::new();
    for reply in replies {
        match reply.body.and_then(|body| decode(&body)) {
            Ok(decoded) => records.extend(decoded),
            Err(error) => failed.push((reply.address, error.to_string())),
        }
    }
    (records, failed)
}

fn decode(body: &[u8]) -> Result<Vec<Record>, client::Error> {
    let lines = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    let record = |line| {
        let wire: wire::Record = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        Record::try_from(wire).map_err(|error| error.to_string())
    };
    lines
        .map(record)
        .collect::<Result<_, _>>()
        .map_err(client::Error::Body)
}

fn encode(records: &[Record]) -> Result<String, Report<Error>> {
    let mut text = String::new();
    for record in records {
        let line = serde_json::to_string(&wire::Record::from(record));
        text += &line.change_context(Error::Output)?;
        text.push('\n');
    }
    Ok(text)
}
