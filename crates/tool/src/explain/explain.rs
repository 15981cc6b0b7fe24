//! The verb `explain`.

use super::{
    Explanation,
    Platform,
    Question, //
};
use crate::{
    cli::{
        Error,
        Exit,
        block_on,
        print,
        unexpected,
        value, //
    },
    jobs::State,
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
use sassafrascrank_adapter::{
    Dialect,
    Log, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::port::{
    Dialect as _,
    Log as _,
    OperatorRecord,
    Topic, //
};
use sassafrascrank_job::{
    Id,
    Job,
    Policy,
    Step, //
};
use sassafrascrank_schedule::{
    Config,
    config::Credential,
    runner::{
        Change,
        Listed, //
    },
};
use std::{
    collections::BTreeMap,
    fs,
    io::Write,
    path::PathBuf,
    sync::Arc,
    time::SystemTime, //
};

/// Help of the verb.
pub const HELP: &str = "\
Explains where a job or a submission would go now, and why, without sending it: the queue and the pool, whether the
credential is known, the account with its cap and what waits, and which runners have room. It reads the platform's log and
needs no entry. What only the leader knows is named, not shown.

Usage: sassafrascrank explain --log ADDR --host HOST --path PATH [OPTIONS]
       sassafrascrank explain --log ADDR --job ID [--json]

Options:
  --log ADDR       IP address and port of the platform's log
  --host HOST      host name of the submission
  --path PATH      path of the submission
  --key-file FILE  file with the caller's key, which is never printed
  --body FILE      file with the body of the submission
  --job ID         explain this job of the log, 16 hexadecimal digits
  --json           print JSON
  -h, --help       print this help

Exit codes: 0 done, 1 the log or a file can't be read or there is no such job, 2 the command line is wrong, 5 the body is
rejected
";

const USAGE: Error = Error::Usage("explain ");

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong, the log or a file can't be read, or the log has no such job.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut log: Option<SocketAddr> = None;
    let mut job: Option<String> = None;
    let (mut host, mut path): (Option<String>, Option<String>) = (None, None);
    let (mut key_file, mut body): (Option<PathBuf>, Option<PathBuf>) = (None, None);
    let mut as_json = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("log") => log = Some(value(parser, &USAGE)?),
            Arg::Long("job") => job = Some(value(parser, &USAGE)?),
            Arg::Long("host") => host = Some(value(parser, &USAGE)?),
            Arg::Long("path") => path = Some(value(parser, &USAGE)?),
            Arg::Long("key-file") => key_file = Some(value(parser, &USAGE)?),
            Arg::Long("body") => body = Some(value(parser, &USAGE)?),
            Arg::Long("json") => as_json = true,
            other => return Err(unexpected(USAGE, other)),
        }
    }
    let missing = || Report::new(USAGE).attach("--log ADDR is missing");
    let log = log.ok_or_else(missing)?;
    let question = match (job, host, path) {
        (Some(job), None, None) => {
            let id = Id::try_from(job.as_str()).change_context(USAGE)?;
            Question::Job(id)
        }
        (None, Some(host), Some(path)) => Question::Request {
            host,
            path,
            credential: key_file.map(read_credential).transpose()?,
            steps: body.map(read_steps).transpose()?.unwrap_or_default(),
        },
        _ => return Err(Report::new(USAGE).attach("give --host and --path, or --job")),
    };
    let state = block_on(State::read(log))??;
    let (config, runners) = block_on(read_platform(log))??;
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let platform = Platform {
        state: &state,
        config,
        runners,
        now: Time::MIN + now.unwrap_or_default(),
    };
    let explanation = Explanation::new(&platform, &question);
    let explanation = match (explanation, question) {
        (Some(explanation), _) => explanation,
        (None, Question::Job(id)) => return Err(Report::new(Error::NoJob(id))),
        (None, Question::Request { .. }) => return Err(Report::new(Error::Log)),
    };
    let text = match as_json {
        true => serde_json::to_string_pretty(&explanation).change_context(Error::Output)? + "\n",
        false => explanation.to_string(),
    };
    print(output, &text)
}

/// Reads a key. No error contains it.
fn read_credential(path: PathBuf) -> Result<Credential, Report<Error>> {
    let text = fs::read_to_string(&path).change_context_lazy(|| Error::File(path))?;
    Ok(Credential::new(text.trim()))
}

/// Reads the steps of a submission, and checks them as an entry does.
fn read_steps(path: PathBuf) -> Result<Vec<Step>, Report<Error>> {
    let body = fs::read(&path).change_context_lazy(|| Error::File(path.clone()))?;
    let rejected = || Error::Rejected(path.clone());
    let parts = Dialect.job(&body);
    let (specification, steps, repeat) =
        parts.map_err(|problem| Report::new(rejected()).attach(problem))?;
    let job = Job {
        id: Id(0),
        queue: "".into(),
        account: None,
        policy: Policy {
            pool: "".into(),
            priority: 0,
            attempts: 1,
            stretch: 0,
            target: Duration::ZERO,
        },
        specification: specification.into(),
        steps: steps.into(),
        repeat,
        submitted: Time::MIN,
    };
    let job = job.check().change_context_lazy(rejected)?;
    Ok(job.steps.to_vec())
}

/// Reads the configuration and the service list.
async fn read_platform(
    address: SocketAddr,
) -> Result<(Option<Arc<Config>>, Vec<Listed>), Report<Error>> {
    let mut log = Log::new(address);
    let page = log.newest(Topic::Operator).await;
    let page = page.change_context(Error::Log)?;
    // A record that can't be used changes nothing; the entries skip it too.
    let records = page
        .items
        .iter()
        .filter_map(|item| Log::operator_record(item).ok()?);
    let config = records.filter_map(|record| match record {
        OperatorRecord::Config(config) => Some(config),
        OperatorRecord::Wave { .. } => None,
    });
    let config = config.max_by_key(|config| config.version);
    let page = log.newest(Topic::Runners).await;
    let page = page.change_context(Error::Log)?;
    let mut runners: BTreeMap<Arc<str>, Listed> = BTreeMap::new();
    for change in page.items.iter().filter_map(|item| Log::runner(item).ok()) {
        match change {
            Change::Set(listed) => runners.insert(Arc::clone(&listed.id), listed),
            Change::Removed(id) => runners.remove(&id),
        };
    }
    Ok((config, runners.into_values().collect()))
}
