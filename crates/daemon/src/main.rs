//! The entry process `sassafrascrankd`.

use error_stack::{
    Report,
    ResultExt, //
};
use sassafrascrank_adapter::SETTINGS_VARIABLE;
use sassafrascrank_control::Listeners;
use sassafrascrank_daemon::{
    Process,
    Settings,
    process::Options, //
};
use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::{
        ExitCode,
        abort,
        exit, //
    },
    sync::Arc,
};
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

const HELP: &str = "\
Entry process of sassafrascrank: admits, queues, routes and answers requests.

Usage: sassafrascrankd --settings FILE
       sassafrascrankd --jobs [FILE]

Options:
  --settings FILE  settings in JSON with comments, see examples/
  --jobs [FILE]    accept jobs on the users' platform, with its settings file; without FILE, the environment variable
                   SASSAFRASCRANK_NODE_FILE names it
  --check          check the settings and exit
  -h, --help       print this help
  -V, --version    print the version

Signals:
  SIGTERM, SIGINT  shut down gracefully; a second one ends the process at once
  SIGHUP           with --jobs, check the settings file again and log what it says; addresses change with a restart

Exit codes: 0 graceful end, 1 failure, 2 wrong command line or settings, 3 ended by a second signal
";

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;
/// Exit code after a second signal.
const EXIT_SECOND_SIGNAL: i32 = 3;

/// Step at which the process failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Error {
    #[error("the command line can't be used; see sassafrascrankd --help")]
    Usage,
    #[error("the settings in {0} can't be used")]
    Settings(PathBuf),
    #[error("the entry process can't start")]
    Start,
    #[error("the graceful shutdown was not complete")]
    Shutdown,
}

enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
    CheckJobs(PathBuf),
    RunJobs(PathBuf),
}

fn main() -> ExitCode {
    match parse_command().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("sassafrascrankd: {report:?}");
            match report.current_context() {
                Error::Usage | Error::Settings(_) => ExitCode::from(EXIT_USAGE),
                Error::Start | Error::Shutdown => ExitCode::FAILURE,
            }
        }
    }
}

fn parse_command() -> Result<Command, Report<Error>> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut settings = None;
    let mut jobs = None;
    let mut check = false;
    while let Some(argument) = parser.next().change_context(Error::Usage)? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("check") => check = true,
            Long("settings") => {
                settings = Some(PathBuf::from(parser.value().change_context(Error::Usage)?));
            }
            Long("jobs") => jobs = Some(parser.optional_value().map(PathBuf::from)),
            Value(file) if jobs == Some(None) => jobs = Some(Some(PathBuf::from(file))),
            other => return Err(Report::new(other.unexpected()).change_context(Error::Usage)),
        }
    }
    if let Some(file) = jobs {
        let unset = || {
            Report::new(Error::Usage).attach(
                "neither FILE nor the environment variable SASSAFRASCRANK_NODE_FILE is given",
            )
        };
        let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let file = file.or(named).ok_or_else(unset)?;
        return Ok(match check {
            true => Command::CheckJobs(file),
            false => Command::RunJobs(file),
        });
    }
    let missing = || Report::new(Error::Usage).attach("--settings FILE is missing");
    let settings = settings.ok_or_else(missing)?;
    Ok(match check {
        true => Command::Check(settings),
        false => Command::Run(settings),
    })
}

fn run(command: Command) -> Result<(), Report<Error>> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("sassafrascrankd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            load(path)?;
        }
        Command::Run(path) => serve(load(path)?)?,
        Command::CheckJobs(path) => {
            load_jobs(path)?;
        }
        Command::RunJobs(path) => serve_jobs(&path)?,
    }
    Ok(())
}

fn load(path: PathBuf) -> Result<Settings, Report<Error>> {
    Settings::load(&path).change_context(Error::Settings(path))
}

fn load_jobs(path: PathBuf) -> Result<sassafrascrank_adapter::Settings, Report<Error>> {
    sassafrascrank_adapter::Settings::load(&path).change_context(Error::Settings(path))
}

/// Accepts jobs until a signal asks for shutdown.
fn serve_jobs(path: &Path) -> Result<(), Report<Error>> {
    let settings = load_jobs(path.to_owned())?;
    abort_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.change_context(Error::Start)?;
    let (mut signals, mut reload) = {
        let _context = runtime.enter();
        let reload = signal(SignalKind::hangup()).change_context(Error::Start)?;
        (Signals::new().change_context(Error::Start)?, reload)
    };
    let logger = line_logger().change_context(Error::Start)?;
    let (callers, readiness) = (settings.callers, settings.readiness);
    let listeners = Listeners::open(
        callers,
        readiness,
        settings.metrics,
        settings.relayed,
        settings.executor,
    );
    let listeners = listeners.change_context(Error::Start)?;
    let process = settings.process();
    let platform = sassafrascrank_adapter::Platform::new(settings);
    let lines = Arc::clone(&logger);
    let process = sassafrascrank_control::Process::start(process, listeners, platform, logger);
    let process = process.change_context(Error::Start)?;
    runtime.block_on(async {
        loop {
            tokio::select! {
                () = signals.next() => return,
                _ = reload.recv() => log_reload(&lines, path),
            }
        }
    });
    process.shut_down().change_context(Error::Shutdown)
}

/// Checks the settings file and logs the result. Without a handler, SIGHUP would end the process.
fn log_reload(logger: &spdlog::Logger, path: &Path) {
    match load_jobs(path.to_owned()) {
        Ok(_) => spdlog::info!(logger: logger, "{{\"event\":\"reload\",\"result\":\"valid\"}}"),
        Err(report) => {
            let reason = serde_json::Value::from(format!("{report:?}"));
            spdlog::warn!(logger: logger, "{{\"event\":\"reload\",\"result\":\"rejected\",\"detail\":{reason}}}");
        }
    }
}

/// Returns a logger that writes each message to standard output as one line without a prefix.
fn line_logger() -> spdlog::Result<Arc<spdlog::Logger>> {
    let sink = spdlog::sink::StdStreamSink::builder()
        .stdout()
        .style_mode(spdlog::terminal_style::StyleMode::Never)
        .formatter(spdlog::formatter::PatternFormatter::new(
            spdlog::formatter::pattern!("{payload}{eol}"),
        ))
        .build()?;
    let logger = spdlog::Logger::builder().sink(Arc::new(sink)).build()?;
    Ok(Arc::new(logger))
}

fn serve(settings: Settings) -> Result<(), Report<Error>> {
    abort_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.change_context(Error::Start)?;
    let mut signals = {
        let _context = runtime.enter();
        Signals::new().change_context(Error::Start)?
    };
    let process = Process::start(settings, Options::default()).change_context(Error::Start)?;
    runtime.block_on(signals.next());
    let shutdown = std::thread::spawn(move || process.shut_down());
    runtime.block_on(async {
        let ended = async {
            while !shutdown.is_finished() {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = signals.next() => exit(EXIT_SECOND_SIGNAL),
        }
    });
    let result = shutdown.join().map_err(|_| Report::new(Error::Shutdown))?;
    result.change_context(Error::Shutdown)
}

/// Aborts the process when any thread panics, because it must not run with only some of its threads.
fn abort_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        abort();
    }));
}

/// Signals that ask for a shutdown.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
