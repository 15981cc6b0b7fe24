//! The verb `publish`.

use crate::{
    check::read_document,
    cli::{
        Error,
        Exit,
        block_on,
        print,
        unexpected,
        value, //
    },
};
use core::{
    net::SocketAddr,
    time::Duration, //
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
use sassafrascrank_platform::{
    http::{
        Client,
        Limits, //
    },
    publish::{
        Outcome,
        publish, //
    },
};
use std::{
    io::Write,
    path::PathBuf, //
};
use uuid::Uuid;

/// Help of the verb.
pub const HELP: &str = "\
Publishes the values of a configuration document: all of them come into force together, or none if another writer
has changed one of the subjects in the meantime.

Usage: sassafrascrank publish FILE --platform ADDR [OPTIONS]

Options:
  --platform ADDR  IP address and port of the platform's log
  --writer NAME    name of the writer, shown to others [default: operator]
  --timeout S      longest time in seconds, 1 to 600 [default: 10]
  -h, --help       print this help

Exit codes:
  0  accepted
  1  nothing was published
  2  the command line is wrong
  3  stale: another writer was faster and nothing was published
  4  unknown: the change may be in the log or still arrive there
  5  the document does not pass its check and nothing was published
";

const USAGE: Error = Error::Usage("publish ");

struct Arguments {
    path: PathBuf,
    platform: SocketAddr,
    writer: Name,
    limit: Duration,
}

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, the document is rejected or nothing was published.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let Some(arguments) = parse(parser)? else {
        return print(output, HELP);
    };
    let document = read_document(&arguments.path)?;
    let mut log = Client::new(arguments.platform, Limits::default());
    // The random part of the UUID, so that no two runs by the same writer share it.
    let incarnation = Uuid::now_v7().as_u64_pair().1;
    let published = publish(
        &mut log,
        &document,
        arguments.writer,
        incarnation,
        arguments.limit,
    );
    let outcome = block_on(published)?.change_context(Error::Publish)?;
    let (exit, text) = describe(&outcome);
    print(output, &text)?;
    Ok(exit)
}

/// Parses the arguments; returns `None` if help is asked for.
fn parse(parser: &mut Parser) -> Result<Option<Arguments>, Report<Error>> {
    let mut path = None;
    let mut platform = None;
    let mut writer = "operator".to_owned();
    let mut seconds = 10;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("platform") => platform = Some(value(parser, &USAGE)?),
            Arg::Long("writer") => writer = value(parser, &USAGE)?,
            Arg::Long("timeout") => seconds = value(parser, &USAGE)?,
            Arg::Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = |what: &'static str| move || Report::new(USAGE).attach(what);
    if !(1..=600).contains(&seconds) {
        return Err(Report::new(USAGE).attach(format!("--timeout {seconds}: use 1 to 600 seconds")));
    }
    Ok(Some(Arguments {
        path: path.ok_or_else(missing("FILE is missing"))?,
        platform: platform.ok_or_else(missing("--platform ADDR is missing"))?,
        writer: Name::new(&writer).change_context(USAGE)?,
        limit: Duration::from_secs(seconds),
    }))
}

/// Returns the exit code and the text for an outcome.
pub(crate) fn describe(outcome: &Outcome) -> (Exit, String) {
    match outcome {
        Outcome::Accepted { offset, subjects } => {
            let subjects: String = subjects
                .iter()
                .map(|subject| format!("  {subject}\n"))
                .collect();
            (
                Exit::Done,
                format!("accepted at offset {offset}:\n{subjects}"),
            )
        }
        Outcome::Stale {
            subject,
            by,
            current,
        } => {
            let writer = by.as_ref().map_or("another writer", Name::as_str);
            let text = format!(
                "stale: {writer} was faster and changed {subject} at offset {current}; nothing was published: \
                 compare the change with yours and publish again\n"
            );
            (Exit::Stale, text)
        }
        Outcome::Invalid(error) => (
            Exit::Rejected,
            format!("rejected: {error}; nothing is in force of it\n"),
        ),
        Outcome::Unknown { reason } => {
            let reason = reason.as_ref().map(|reason| format!(" ({reason})"));
            let text = format!(
                "unknown: the change may be in the log or still arrive there{}: \
                 wait until the platform answers and compare what is in force before publishing again\n",
                reason.unwrap_or_default()
            );
            (Exit::Unknown, text)
        }
    }
}
