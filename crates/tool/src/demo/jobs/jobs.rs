//! Sequence of the demo of jobs.

use super::{
    deployment::{
        Deployment,
        call, //
    },
    report::{
        Counts,
        Summary,
        percentiles, //
    },
};
use crate::{
    cli::Error,
    jobs::State, //
};
use core::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use hyper::{
    Method,
    StatusCode, //
};
use std::rc::Rc;
use tokio::{
    task::{
        JoinSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Number of entries.
const ENTRIES: usize = 3;
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);
/// Jobs that are submitted, besides the long-running one.
const JOBS: u64 = 160;
/// Percentage of the jobs after which the wave begins.
const WAVE_START_PERCENT: u64 = 20;
/// Percentage of the jobs after which the leader stops.
const LEADER_STOP_PERCENT: u64 = 50;
/// Most hosts that may be in maintenance at once.
const MAINTENANCE_CAP: usize = 3;
/// Seconds within which the wave has to be done.
const WAVE_SECONDS: u64 = 30;
/// Tasks of the long-running job.
const LONG_RUNNING: usize = 4;
/// Tasks of the long-running job that may be stopped at once.
const MAY_MISS: usize = 1;
/// Id of the long-running job; the ids of the others count from 1.
const LONG_RUNNING_ID: u64 = 1 << 32;
/// Pause between two requests for the state of a job, and before a submission is repeated.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time from the last submission to the end of all jobs and of the wave.
const END_LIMIT: Duration = Duration::from_secs(60);

/// State that all callers share.
#[derive(Default)]
struct Callers {
    entries: RefCell<Vec<SocketAddr>>,
    counts: RefCell<Counts>,
    latencies: RefCell<Vec<Duration>>,
}

impl Callers {
    /// Returns the entry for an attempt of a caller; attempts take turns among the entries.
    fn entry(&self, attempt: u64) -> Option<SocketAddr> {
        let entries = self.entries.borrow();
        let index = attempt as usize % entries.len().max(1);
        entries.get(index).copied()
    }

    /// Submits a job until it is accepted; if `ends`, also waits until it is done.
    async fn follow(self: Rc<Self>, queue: &'static str, id: u64, body: String, ends: bool) {
        let begun = Instant::now();
        let path = format!("/{queue}/{id:016x}");
        let mut attempts = id;
        loop {
            attempts += 1;
            let Some(entry) = self.entry(attempts) else {
                return;
            };
            match call(entry, Method::POST, &path, body.clone()).await {
                Some((StatusCode::OK, _)) => break,
                Some((StatusCode::SERVICE_UNAVAILABLE, _)) => self.counts.borrow_mut().refused += 1,
                // Without an answer the job may have been accepted. The same id is sent again and remains one job.
                _ => {}
            }
            sleep(POLL_INTERVAL).await;
        }
        if !ends {
            return;
        }
        self.counts.borrow_mut().accepted += 1;
        loop {
            attempts += 1;
            let Some(entry) = self.entry(attempts) else {
                return;
            };
            let answer = call(entry, Method::GET, &path, String::new()).await;
            if answer.is_some_and(|(_, body)| body.contains("done")) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.counts.borrow_mut().done += 1;
        self.latencies.borrow_mut().push(begun.elapsed());
    }
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if the deployment does not start or the jobs don't end.
pub async fn run() -> Result<Summary, Report<Error>> {
    let mut deployment = Deployment::start(ENTRIES)?;
    let log = deployment.cluster.address();
    let callers = Rc::new(Callers::default());
    callers.entries.replace(deployment.callers());
    Rc::clone(&callers)
        .follow("orders", LONG_RUNNING_ID, long_running_job(), false)
        .await;
    let hosts = deployment.cluster.hosts();
    let fewest = Rc::new(RefCell::new(LONG_RUNNING));
    let watch = spawn_local(record_fewest_running(
        deployment.cluster.clone(),
        Rc::clone(&fewest),
    ));
    let mut leaders = [String::new(), String::new()];
    let mut tasks = JoinSet::new();
    for id in 1..=JOBS {
        let (queue, body) = match id % 2 {
            0 => ("orders", job(120, &[2])),
            _ => ("quotes", job(80, &[4, 2])),
        };
        tasks.spawn_local(Rc::clone(&callers).follow(queue, id, body, true));
        if id == JOBS * WAVE_START_PERCENT / 100 {
            deployment
                .cluster
                .publish_wave(1, &hosts, WAVE_SECONDS, MAINTENANCE_CAP);
        }
        if id == JOBS * LEADER_STOP_PERCENT / 100 {
            leaders[0] = leader(log).await?;
            // Like a load balancer, sends no new requests to an entry that is about to stop.
            callers.entries.borrow_mut().clear();
            let others = deployment.callers_without(&leaders[0]);
            callers.entries.replace(others);
            deployment.stop(&leaders[0]).await?;
        }
        sleep(SUBMIT_INTERVAL).await;
    }
    let ended = async {
        while tasks.join_next().await.is_some() {}
        while deployment.cluster.wave_state(1).as_deref() != Some("done") {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(END_LIMIT, ended)
        .await
        .change_context(Error::Demo)?;
    watch.abort();
    leaders[1] = leader(log).await?;
    let (begun, most) = deployment.cluster.maintained(1);
    let mut counts = *callers.counts.borrow();
    counts.count_runs(&deployment.cluster.history());
    let latencies = callers.latencies.take();
    let fewest = *fewest.borrow();
    Ok(Summary {
        kept: counts,
        latency_ms: percentiles(latencies),
        wave: [hosts.len(), begun, most],
        cap: MAINTENANCE_CAP,
        lasting: [LONG_RUNNING, fewest],
        may_miss: MAY_MISS,
        leaders,
    })
}

/// Records the fewest running tasks of the long-running job, from the time when all of them have begun.
async fn record_fewest_running(
    cluster: sassafrascrank_standin::cluster::Cluster,
    fewest: Rc<RefCell<usize>>,
) {
    let prefix = format!("{LONG_RUNNING_ID:016x}");
    let mut begun = false;
    loop {
        let running = cluster.running(&prefix);
        begun |= running >= LONG_RUNNING;
        if begun {
            let known = *fewest.borrow();
            fewest.replace(known.min(running));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn leader(log: SocketAddr) -> Result<String, Report<Error>> {
    let state = State::read(log).await?;
    let leader = state.replica.leader();
    Ok(leader.map_or_else(String::new, |leader| leader.holder.to_string()))
}

/// Returns the body of a job with one step for each number of tasks; each step depends on the one before.
fn job(work_ms: u64, steps: &[u16]) -> String {
    let step = |(index, count): (usize, &u16)| {
        let after = match index {
            0 => String::new(),
            index => format!(",\"dependsOn\":[{}]", index - 1),
        };
        format!("{{\"count\":{count},\"cpu\":1000,\"memMb\":100,\"estimateMs\":{work_ms}{after}}}")
    };
    let steps: Vec<String> = steps.iter().enumerate().map(step).collect();
    format!(
        "{{\"spec\":\"work={work_ms}\",\"phases\":[{}]}}",
        steps.join(",")
    )
}

/// Returns the body of the long-running job.
fn long_running_job() -> String {
    format!(
        "{{\"spec\":\"lasting\",\"phases\":[{{\"count\":{LONG_RUNNING},\"cpu\":500,\"memMb\":100,\"estimateMs\":100,\
         \"maxPerServer\":1,\"longRunning\":true,\"mayMiss\":{MAY_MISS}}}]}}"
    )
}
