//! One run: starts the services, plays the faults, observes, and reports.

use crate::{
    account::{
        Account,
        Accounts,
        Table, //
    },
    caller::Callers,
    crowd,
    fault::{
        Event,
        Fault,
        Size,
        Target, //
    },
    job::Jobs,
    judge::Judge,
    link::{
        Link,
        Mode, //
    },
    report,
    site::Site,
};
use sassafrascrank_standin::cluster::{
    Cluster,
    Fault as Log, //
};
use std::{
    cell::RefCell,
    fs,
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    runtime::Builder,
    task::{
        LocalSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};

/// Time from the end of the faults and the traffic until the state of all jobs is asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for the answers at the end, within which jobs that stand still are found.
const CONCLUSION: Duration = Duration::from_secs(5);
/// Time between two observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Time between the start of the entries and the first jobs.
const START: Duration = Duration::from_secs(4);
/// Time that a host is without a runner after a drain.
const REPLACEMENT: Duration = Duration::from_secs(1);
/// Number of times that a job is asked for at the end.
const LAST_READS: usize = 6;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the callers.
    pub seed: u64,
    /// One of this many jobs has tasks that run for longer than the longest lease of a runner.
    pub long_work_share: u32,
    /// Whether there are client accounts, and callers with foreign keys.
    pub accounts: bool,
    /// Numbers of entries and hosts, and the duration.
    pub size: Size,
    /// Folder for settings files and the report.
    pub folder: PathBuf,
    /// Faults.
    pub faults: Vec<Event>,
}

/// The proxies of an entry.
struct Proxies {
    log: Link,
    hosts: Link,
    runners: Vec<Link>,
}

impl Proxies {
    fn each(&self, target: Target) -> Vec<&Link> {
        match target {
            Target::Log => vec![&self.log],
            Target::Hosts => vec![&self.hosts],
            Target::Runner(host) => self.runners.get(host).into_iter().collect(),
            Target::All => [&self.log, &self.hosts]
                .into_iter()
                .chain(&self.runners)
                .collect(),
        }
    }
}

/// The services, the proxies and the accounts.
struct Stage {
    site: Site,
    cluster: Cluster,
    entries: Vec<Proxies>,
    accounts: Accounts,
}

/// Tells the script what to do with an entry.
fn order(order: &str, entry: usize) {
    println!("{order} {entry}");
}

/// Runs, and tells whether all rules held.
///
/// # Errors
///
/// Fails if an address is not free or a file can't be written.
pub fn run(options: &Options) -> io::Result<bool> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(options))
}

async fn play(options: &Options) -> io::Result<bool> {
    let site = Site::new(std::process::id(), options.size.entries);
    let accounts = Accounts::default();
    if options.accounts {
        *accounts.borrow_mut() = Table::new();
    }
    let plan = site.plan(&accounts.borrow().accounts);
    let cluster = Cluster::start_on(plan, &site.network())?;
    let mut entries = Vec::new();
    for entry in 0..site.entries {
        let proxies = start_proxies(&cluster, &site, entry, options).await?;
        entries.push(proxies);
    }
    let stage = Rc::new(Stage {
        site,
        cluster,
        entries,
        accounts: Rc::clone(&accounts),
    });
    for entry in 0..site.entries {
        order("start", entry);
    }
    sleep(START).await;
    let start = Instant::now();
    let offset = stage.cluster.snapshot().now;
    let jobs = Jobs::default();
    let callers = Callers::new(
        site,
        Rc::clone(&jobs),
        Rc::clone(&accounts),
        start - offset,
        options.long_work_share,
    );
    let duration = Duration::from_millis(options.size.millis);
    spawn_local(Rc::clone(&callers).run(options.seed, offset + duration));
    if options.accounts {
        spawn_local(Rc::clone(&callers).run_foreign(options.seed, offset + duration));
    }
    spawn_local(play_faults(
        Rc::clone(&stage),
        options.faults.clone(),
        start,
    ));
    let judge = Rc::new(RefCell::new(Judge::default()));
    let quiet = start + duration;
    let finished = quiet + FINISH;
    let observer = spawn_local(observe(
        Rc::clone(&stage),
        Rc::clone(&jobs),
        Rc::clone(&judge),
        (start, finished),
        options.faults.clone(),
    ));
    sleep_until(quiet).await;
    restore(&stage, site.entries);
    sleep_until(finished).await;
    println!("check");
    read_all(&callers, &jobs, site.entries);
    sleep(CONCLUSION).await;
    observer.abort();
    let snapshot = stage.cluster.snapshot();
    let jobs = jobs.borrow();
    let mut judge = judge.borrow_mut();
    let accounts = accounts.borrow();
    judge.conclude(&jobs, &snapshot, offset + duration + FINISH);
    judge.conclude_quota(&jobs, &accounts, &snapshot);
    judge.conclude_keys(&accounts, &options.faults, offset);
    let cases = judge.cases();
    let text = report::render(options, &jobs, &accounts, &snapshot, &cases, offset);
    fs::write(options.folder.join("report.txt"), &text)?;
    print!("{text}");
    Ok(cases.is_empty())
}

/// Asks for the state of each job that is owed.
fn read_all(callers: &Rc<Callers>, jobs: &Jobs, entries: usize) {
    let ids: Vec<String> = jobs.borrow().keys().cloned().collect();
    for (index, id) in ids.into_iter().enumerate() {
        if jobs.borrow()[&id].is_owed() {
            let callers = Rc::clone(callers);
            spawn_local(async move {
                // Spread over a second, so that the answers don't wait for each other.
                sleep(Duration::from_millis(index as u64 % 1_000)).await;
                for attempt in 0..LAST_READS {
                    let entry = (index + attempt) % entries;
                    let read = timeout(CONCLUSION, callers.read(entry, &id)).await;
                    if matches!(read, Ok(Some(_))) {
                        break;
                    }
                    sleep(Duration::from_millis(200)).await;
                }
            });
        }
    }
}

async fn start_proxies(
    cluster: &Cluster,
    site: &Site,
    entry: usize,
    options: &Options,
) -> io::Result<Proxies> {
    let any = SocketAddr::new(site.proxy(entry), 0);
    let mut runners = Vec::new();
    for address in cluster.runner_addresses() {
        let shown = SocketAddr::new(site.proxy(entry), address.port());
        runners.push(Link::start(shown, *address).await?.0);
    }
    // Any free port could be that of a runner, so these proxies come last.
    let (log, log_address) = Link::start(any, cluster.view_addresses()[entry]).await?;
    let (hosts, host_address) = Link::start(any, cluster.address()).await?;
    let settings = site.settings(entry, log_address.port(), host_address.port());
    fs::write(options.folder.join(format!("entry-{entry}.conf")), settings)?;
    Ok(Proxies {
        log,
        hosts,
        runners,
    })
}

async fn play_faults(stage: Rc<Stage>, faults: Vec<Event>, start: Instant) {
    for event in faults {
        sleep_until(start + event.begin).await;
        begin(&stage, event.fault, event.end - event.begin);
        let stage = Rc::clone(&stage);
        spawn_local(async move {
            sleep_until(start + event.end).await;
            end(&stage, event.fault).await;
        });
    }
}

fn name(host: usize) -> String {
    format!("m-{host}")
}

fn set(stage: &Stage, entry: usize, target: Target, mode: Mode) {
    for link in stage.entries[entry].each(target) {
        link.set(mode);
    }
}

fn set_log(stage: &Stage, entry: Option<usize>, fault: Log) {
    for view in 0..stage.entries.len() {
        if entry.is_none_or(|entry| entry == view) {
            stage.cluster.set_fault(view, fault);
        }
    }
}

/// Sets the proxies before a runner, as a process that has ended or is back does.
fn set_runner(stage: &Stage, host: usize, mode: Mode) {
    for entry in 0..stage.entries.len() {
        set(stage, entry, Target::Runner(host), mode);
    }
}

fn begin(stage: &Stage, fault: Fault, lasts: Duration) {
    match fault {
        Fault::Kill(entry) => order("kill", entry),
        Fault::Terminate(entry) => order("terminate", entry),
        Fault::Freeze(entry) => order("stop", entry),
        Fault::Crash(host, _) => {
            stage.cluster.crash(&name(host));
            set_runner(stage, host, Mode::Refuse);
        }
        Fault::Dark(host, held) => {
            // The proxies hold first, so that no entry sees the connections of the runner end.
            set_runner(stage, host, Mode::Hold(held));
            stage.cluster.silence(&name(host));
        }
        Fault::Cut(host, held) => set_runner(stage, host, Mode::Hold(held)),
        Fault::Drain(host) => stage.cluster.drain(&name(host), lasts),
        Fault::Link(entry, target, mode) => set(stage, entry, target, mode),
        Fault::Close(entry, target, close) => {
            for link in stage.entries[entry].each(target) {
                link.close(close);
            }
        }
        Fault::Log(entry, fault) => set_log(stage, entry, fault),
        Fault::Key(account) => change(stage, account, |account, _| account.add_key()),
        Fault::Cap(account) => change(stage, account, |account, now| account.lower_cap(true, now)),
        Fault::Crowd(entry, clients) => {
            crowd::start(stage.site.callers(entry), clients, Instant::now() + lasts);
        }
    }
}

async fn end(stage: &Stage, fault: Fault) {
    match fault {
        Fault::Kill(entry) | Fault::Terminate(entry) => order("start", entry),
        Fault::Freeze(entry) => order("continue", entry),
        Fault::Crash(host, same_id) => {
            set_runner(stage, host, Mode::Pass);
            stage.cluster.restart(&name(host), same_id);
        }
        Fault::Dark(host, _) => {
            // The runner starts first, so that what the proxies hold reaches the new incarnation.
            stage.cluster.restart(&name(host), true);
            set_runner(stage, host, Mode::Pass);
        }
        Fault::Cut(host, _) => set_runner(stage, host, Mode::Pass),
        Fault::Drain(host) => {
            sleep(REPLACEMENT).await;
            stage.cluster.restart(&name(host), false);
        }
        Fault::Link(entry, target, _) => set(stage, entry, target, Mode::Pass),
        Fault::Close(..) => {}
        Fault::Log(entry, _) => set_log(stage, entry, Log::None),
        Fault::Key(account) => change(stage, account, Account::withdraw_key),
        Fault::Cap(account) => change(stage, account, |account, now| account.lower_cap(false, now)),
        Fault::Crowd(..) => {}
    }
}

/// Changes an account and publishes the list of accounts.
fn change(stage: &Stage, account: usize, change: impl FnOnce(&mut Account, Duration)) {
    let mut table = stage.accounts.borrow_mut();
    if let Some(account) = table.accounts.get_mut(account) {
        change(account, stage.cluster.snapshot().now);
    }
    let accounts = table.accounts.iter().map(Into::into);
    stage.cluster.publish_accounts(accounts.collect());
}

/// Ends the faults of the log, the proxies and frozen entries. Other faults end with their events.
fn restore(stage: &Stage, entries: usize) {
    set_log(stage, None, Log::None);
    for entry in 0..entries {
        set(stage, entry, Target::All, Mode::Pass);
        order("continue", entry);
    }
}

async fn observe(
    stage: Rc<Stage>,
    jobs: Jobs,
    judge: Rc<RefCell<Judge>>,
    (start, finished): (Instant, Instant),
    faults: Vec<Event>,
) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        let now = Instant::now();
        let begun = faults.iter().take_while(|event| start + event.begin <= now);
        // A host that was drained is back only after its replacement.
        let last = begun.map(|event| start + event.end + REPLACEMENT).max();
        let calm = now.saturating_duration_since(last.unwrap_or(start).max(start));
        let snapshot = stage.cluster.snapshot();
        judge.borrow_mut().observe(
            &jobs.borrow(),
            &stage.accounts.borrow(),
            &snapshot,
            calm,
            now >= finished,
        );
    }
}
