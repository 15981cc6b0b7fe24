//! The verb `check`.

use super::location;
use crate::cli::{
    Error,
    Exit,
    print,
    unexpected, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use sassafrascrank_contract::{
    document::Document,
    model::Subject, //
};
use sassafrascrank_daemon::Settings;
use std::{
    fs,
    io::Write,
    path::{
        Path,
        PathBuf, //
    },
};

/// Help of the verb.
pub const HELP: &str = "\
Checks a configuration document or, with --settings, a settings file of an entry process. Names the line, field,
value and remedy of the first error.

Usage: sassafrascrank check [--settings] FILE

Options:
  --settings  FILE is a settings file of sassafrascrankd
  -h, --help  print this help

Exit codes: 0 accepted, 1 the file can't be read, 2 the command line is wrong, 5 rejected
";

const USAGE: Error = Error::Usage("check ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong or the file is rejected.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut is_settings = false;
    let mut path = None;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("settings") => is_settings = true,
            Arg::Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let path = path.ok_or_else(|| Report::new(USAGE).attach("FILE is missing"))?;
    let accepted = match is_settings {
        true => check_settings(&path)?,
        false => check_document(&path)?,
    };
    print(
        output,
        &format!("{}: accepted, {accepted}\n", path.display()),
    )
}

fn check_settings(path: &Path) -> Result<String, Report<Error>> {
    let text = read(path)?;
    let settings = Settings::parse(&text).map_err(|error| {
        let location = location::in_settings(&text, &error);
        reject(path, error, location)
    })?;
    let (host, zone) = (settings.host, settings.availability_zone);
    Ok(format!(
        "settings of host {host} in availability zone {zone}"
    ))
}

fn check_document(path: &Path) -> Result<String, Report<Error>> {
    let document = read_document(path)?;
    let count =
        |wanted: fn(&Subject) -> bool| document.values.keys().filter(|key| wanted(key)).count();
    let customers = count(|subject| matches!(subject, Subject::Customer(_)));
    let pools = count(|subject| matches!(subject, Subject::Pool(_)));
    let hosts = count(|subject| matches!(subject, Subject::Host(_)));
    Ok(format!(
        "{customers} customers, {pools} pools, {hosts} hosts"
    ))
}

/// Reads and checks a configuration document.
pub(crate) fn read_document(path: &Path) -> Result<Document, Report<Error>> {
    let text = read(path)?;
    Document::parse(&text).map_err(|error| {
        let location = location::in_document(&text, &error);
        reject(path, error, location)
    })
}

fn read(path: &Path) -> Result<String, Report<Error>> {
    fs::read_to_string(path).change_context_lazy(|| Error::File(path.to_owned()))
}

fn reject<E>(path: &Path, error: E, location: String) -> Report<Error>
where
    E: core::error::Error + Send + Sync + 'static,
{
    Report::new(error)
        .attach(location)
        .change_context(Error::Rejected(path.to_owned()))
}
