//! The verb `demo`.

use super::{
    deployment::{
        Deployment,
        credential, //
    },
    jobs,
    load::Load,
    plan::{
        CUSTOMERS,
        ENTRIES,
        Plan,
        Ports,
        SECONDS, //
    },
    report,
    sample::Phase, //
};
use crate::cli::{
    Error,
    Exit,
    block_on,
    print,
    unexpected,
    value, //
};
use core::time::Duration;
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use sassafrascrank_daemon::{
    Process,
    process, //
};
use spdlog::{
    Level,
    LevelFilter, //
};
use std::{
    io::Write,
    rc::Rc, //
};
use tokio::{
    sync::oneshot,
    time::sleep, //
};

/// Help of the verb.
pub const HELP: &str = "\
Runs a small deployment in this process, on loopback addresses only: a stand-in for the platform, 4 stand-ins for
runners with 8 slots each, and 2 entries. Four houses send quotes; then alba floods the pool with ten times the
ledger work that it can run; then one entry shuts down under load.

Usage: sassafrascrank demo [OPTIONS]
       sassafrascrank demo --jobs [--json]

Options:
  --jobs       instead, run 3 entries that accept jobs on a stand-in of the users' platform with 12 hosts: all hosts are
               maintained and the leader stops while jobs run; then show what was kept
  --seconds N  seconds of load after a warm-up of 2.5 s, 5 to 60 [default: 8]
  --seed N     seed of the times between requests [default: 1]
  --json       print JSON
  --serve N    send no load; serve at the addresses of examples/trenzas for N seconds, 1 to 3600, and end
  -h, --help   print this help

Exit codes: 0 done, 1 failed or a request was cut, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("demo ");
const JOBS_INTRODUCTION: &str = "\
3 entries and 12 hosts on loopback addresses. 160 jobs come in 8 s; a job of 4 lasting tasks runs beside them. After 32
jobs all hosts are due for maintenance, 3 at once; after 80 jobs the entry that leads stops.

";
/// Range of seconds of serving without load.
const SERVE_SECONDS: core::ops::RangeInclusive<u64> = 1..=3_600;
/// Longest time until all entries serve quotes, which they do once the published contracts are in force: the limit of
/// the invariant `config` of the design page.
const START_LIMIT: Duration = Duration::from_secs(8);

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong or the deployment does not run.
pub fn run<O: Write>(parser: &mut Parser, output: &mut O) -> Result<Exit, Report<Error>> {
    let mut plan = Plan::default();
    let mut as_json = false;
    let mut serving = None;
    let mut with_jobs = false;
    while let Some(argument) = parser.next().change_context(USAGE)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return print(output, HELP),
            Arg::Long("seconds") => plan.seconds = value(parser, &USAGE)?,
            Arg::Long("seed") => plan.seed = value(parser, &USAGE)?,
            Arg::Long("json") => as_json = true,
            Arg::Long("jobs") => with_jobs = true,
            Arg::Long("serve") => serving = Some(value(parser, &USAGE)?),
            other => return Err(unexpected(USAGE, other)),
        }
    }
    if !SECONDS.contains(&plan.seconds) {
        let problem = format!("--seconds {}: use 5 to 60", plan.seconds);
        return Err(Report::new(USAGE).attach(problem));
    }
    // Log lines of the entries would be mixed with the results.
    let errors = LevelFilter::MoreSevereEqual(Level::Error);
    spdlog::default_logger().set_level_filter(errors);
    if with_jobs {
        return run_jobs(as_json, output);
    }
    if let Some(seconds) = serving {
        return serve(plan.seed, seconds, output);
    }
    if !as_json {
        print(output, &introduction(&plan))?;
    }
    let report = block_on(measure(plan))??;
    let text = match as_json {
        true => serde_json::to_string_pretty(&report).change_context(Error::Demo)? + "\n",
        false => report.to_string(),
    };
    print(output, &text)?;
    Ok(match report.shutdown.cut {
        0 => Exit::Done,
        _ => Exit::Failed,
    })
}

/// Runs the demo of jobs, for `--jobs`.
fn run_jobs<O: Write>(as_json: bool, output: &mut O) -> Result<Exit, Report<Error>> {
    if !as_json {
        print(output, JOBS_INTRODUCTION)?;
    }
    let summary = block_on(jobs::run())??;
    let text = match as_json {
        true => serde_json::to_string_pretty(&summary).change_context(Error::Demo)? + "\n",
        false => summary.to_string(),
    };
    print(output, &text)?;
    Ok(if summary.is_success() {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn introduction(plan: &Plan) -> String {
    format!(
        "2 entries and 4 runners with 8 slots, on loopback addresses; 2.5 s of warm-up and {} s of load.\n\
         Each house has a quarter of the pool comun and sends 200 quotes a second (20 ms each).\n\
         In the flood, alba also sends 3200 ledger jobs a second (100 ms each), ten times the capacity.\n\n",
        plan.seconds
    )
}

/// Serves callers and operators for `seconds`, without any load.
fn serve<O: Write>(seed: u64, seconds: u64, output: &mut O) -> Result<Exit, Report<Error>> {
    if !SERVE_SECONDS.contains(&seconds) {
        return Err(Report::new(USAGE).attach(format!("--serve {seconds}: use 1 to 3600")));
    }
    block_on(async {
        let deployment = Deployment::start(seed, Ports::Fixed).await?;
        let mut text = format!("platform {}\n", Ports::Fixed.platform());
        for index in 0..ENTRIES {
            let [callers, peers, admin] = Ports::Fixed.entry(index);
            text += &format!(
                "entry-{} callers {callers} peers {peers} admin {admin}\n",
                index + 1
            );
        }
        for (index, customer) in CUSTOMERS.iter().enumerate() {
            text += &format!("customer {customer} credential {}\n", credential(index));
        }
        print(output, &text)?;
        sleep(Duration::from_secs(seconds)).await;
        deployment.shut_down()
    })??;
    Ok(Exit::Done)
}

async fn measure(plan: Plan) -> Result<report::Report, Report<Error>> {
    let mut deployment = Deployment::start(plan.seed, Ports::Free).await?;
    let entries: Vec<_> = deployment.entries.iter().map(Process::callers).collect();
    let load = Load::new(plan, &entries, START_LIMIT).await;
    let late = || Report::new(Error::Demo).attach("the entries did not serve within 8 s");
    let load = Rc::new(load.ok_or_else(late)?);
    let running = tokio::task::spawn_local(load.clone().run());
    load.wait_for(Phase::Shutdown).await;
    let ended = shut_down(deployment.entries.remove(0)).await;
    let loaded = running.await;
    loaded.change_context(Error::Demo)?;
    deployment.shut_down()?;
    ended.change_context(Error::Demo)?;
    let (samples, skipped) = load.results();
    Ok(report::Report::new(&plan, &samples, skipped))
}

/// Shuts an entry down on a separate thread, since the shutdown blocks.
async fn shut_down(process: Process) -> Result<(), process::Error> {
    let (sender, receiver) = oneshot::channel();
    std::thread::spawn(move || sender.send(process.shut_down()));
    let lost = process::Error::Panicked("shutdown");
    receiver.await.unwrap_or(Err(lost))
}
