//! The course of the demo.

use super::{
    deployment::{
        Deployment,
        call, //
    },
    report::{
        Kept,
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

/// Entries of the deployment.
const ENTRIES: usize = 3;
/// Time between two submissions.
const PAUSE: Duration = Duration::from_millis(50);
/// Jobs that are submitted.
const JOBS: u64 = 160;
/// After this part of the jobs, in percent, the wave begins and the leader stops.
const WAVE_AT: u64 = 20;
const STOP_AT: u64 = 50;
/// Hosts that may be in maintenance at once.
const CAP: usize = 3;
/// Seconds within which the wave has to be done.
const WAVE_SECONDS: u64 = 30;
/// Lasting tasks, and those that may be away at once.
const LASTING: usize = 4;
const MAY_MISS: usize = 1;
/// Identity of the lasting job; others count from 1.
const LASTING_ID: u64 = 1 << 32;
/// Pause between two questions for a state.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// Longest time for the end of everything.
const LIMIT: Duration = Duration::from_secs(60);

/// What the callers share.
#[derive(Default)]
struct Callers {
    entries: RefCell<Vec<SocketAddr>>,
    kept: RefCell<Kept>,
    spans: RefCell<Vec<Duration>>,
}

impl Callers {
    /// Returns an entry for a try of a caller.
    fn entry(&self, seed: u64) -> Option<SocketAddr> {
        let entries = self.entries.borrow();
        let place = seed as usize % entries.len().max(1);
        entries.get(place).copied()
    }

    /// Submits a job until it is accepted, and waits for its end if it has one.
    async fn follow(self: Rc<Self>, queue: &'static str, id: u64, body: String, ends: bool) {
        let begun = Instant::now();
        let path = format!("/{queue}/{id:016x}");
        let mut tries = id;
        loop {
            tries += 1;
            let Some(entry) = self.entry(tries) else {
                return;
            };
            match call(entry, Method::POST, &path, body.clone()).await {
                Some((StatusCode::OK, _)) => break,
                Some((StatusCode::SERVICE_UNAVAILABLE, _)) => self.kept.borrow_mut().refused += 1,
                // Without an answer the same id is sent again; it remains one job.
                _ => {}
            }
            sleep(ASK_PAUSE).await;
        }
        if !ends {
            return;
        }
        self.kept.borrow_mut().accepted += 1;
        loop {
            tries += 1;
            let Some(entry) = self.entry(tries) else {
                return;
            };
            let answer = call(entry, Method::GET, &path, String::new()).await;
            if answer.is_some_and(|(_, body)| body.contains("done")) {
                break;
            }
            sleep(ASK_PAUSE).await;
        }
        self.kept.borrow_mut().done += 1;
        self.spans.borrow_mut().push(begun.elapsed());
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
        .follow("orders", LASTING_ID, lasting(), false)
        .await;
    let hosts = deployment.cluster.hosts();
    let least = Rc::new(RefCell::new(LASTING));
    let watch = spawn_local(watch(deployment.cluster.clone(), Rc::clone(&least)));
    let mut leaders = [String::new(), String::new()];
    let mut tasks = JoinSet::new();
    for id in 1..=JOBS {
        let (queue, body) = match id % 2 {
            0 => ("orders", job(120, &[2])),
            _ => ("quotes", job(80, &[4, 2])),
        };
        tasks.spawn_local(Rc::clone(&callers).follow(queue, id, body, true));
        if id == JOBS * WAVE_AT / 100 {
            deployment
                .cluster
                .publish_wave(1, &hosts, WAVE_SECONDS, CAP);
        }
        if id == JOBS * STOP_AT / 100 {
            leaders[0] = leader(log).await?;
            // The balancer sends no new connections to an entry that is about to stop.
            callers.entries.borrow_mut().clear();
            let others = deployment.callers_without(&leaders[0]);
            callers.entries.replace(others);
            deployment.stop(&leaders[0]).await?;
        }
        sleep(PAUSE).await;
    }
    let ended = async {
        while tasks.join_next().await.is_some() {}
        while deployment.cluster.wave_state(1).as_deref() != Some("done") {
            sleep(ASK_PAUSE).await;
        }
    };
    timeout(LIMIT, ended).await.change_context(Error::Demo)?;
    watch.abort();
    leaders[1] = leader(log).await?;
    let (begun, most) = deployment.cluster.maintained(1);
    let mut kept = *callers.kept.borrow();
    kept.count_runs(&deployment.cluster.history());
    let spans = callers.spans.take();
    let least = *least.borrow();
    Ok(Summary {
        kept,
        latency_ms: percentiles(spans),
        wave: [hosts.len(), begun, most],
        cap: CAP,
        lasting: [LASTING, least],
        may_miss: MAY_MISS,
        leaders,
    })
}

/// Notes the least number of lasting tasks that run, once all of them have begun.
async fn watch(cluster: sassafrascrank_standin::cluster::Cluster, least: Rc<RefCell<usize>>) {
    let prefix = format!("{LASTING_ID:016x}");
    let mut begun = false;
    loop {
        let running = cluster.running(&prefix);
        begun |= running >= LASTING;
        if begun {
            let known = *least.borrow();
            least.replace(known.min(running));
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn leader(log: SocketAddr) -> Result<String, Report<Error>> {
    let state = State::read(log).await?;
    let leader = state.replica.leader();
    Ok(leader.map_or_else(String::new, |leader| leader.holder.to_string()))
}

/// Returns the body of a job with one step for each number of tasks, each after the one before.
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

/// Returns the body of the lasting job.
fn lasting() -> String {
    format!(
        "{{\"spec\":\"lasting\",\"phases\":[{{\"count\":{LASTING},\"cpu\":500,\"memMb\":100,\"estimateMs\":100,\
         \"maxPerServer\":1,\"longRunning\":true,\"mayMiss\":{MAY_MISS}}}]}}"
    )
}
