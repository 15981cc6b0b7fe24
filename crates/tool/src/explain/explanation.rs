//! The explanation.

use super::{
    Demand,
    Platform,
    Question,
    demand, //
};
use core::{
    cmp::Ordering,
    fmt::{
        self,
        Display,
        Formatter, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::front::{
    Access,
    Principal, //
};
use sassafrascrank_job::{
    Id,
    Resource,
    Step, //
};
use sassafrascrank_schedule::{
    Config,
    account::cap_admits,
    config::{
        self,
        Credential, //
    },
    runner::Listed,
};
use std::sync::Arc;

/// Largest number of runners that are named for a step.
const NAMED_RUNNERS: usize = 5;

/// The queue that applies.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Queue {
    name: String,
    pool: String,
    priority: u8,
    anonymous: bool,
    advised: bool,
}

/// The account that applies. Resources are thousandths of a core, megabytes, accelerators.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Account {
    name: String,
    /// Thousandths of a job a second; `None` if the configuration lacks the account.
    weight: Option<u32>,
    /// Largest amount that its tasks may use; 0 stands for no limit.
    cap: Option<[u64; 3]>,
    running: [u64; 3],
    waiting_tasks: u64,
}

/// Waiting tasks of the pool.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
struct Waiting {
    /// Of more urgent queues.
    more_urgent: u64,
    /// Of the same urgency, submitted before.
    earlier: u64,
    /// All others.
    behind: u64,
}

/// Runners for the tasks of a step.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Place {
    step: usize,
    tasks: u16,
    needs: [u64; 3],
    label: Option<String>,
    /// Runners of the pool that accept tasks.
    runners: usize,
    /// Of those, the ones with the label that are large enough.
    suitable: usize,
    /// Of those, the ones with room by the records of the jobs.
    with_room: usize,
    /// Some of these.
    names: Vec<String>,
}

/// Where a job or request would go now, and why.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Explanation {
    /// What would happen.
    verdict: String,
    configuration: Option<u64>,
    queue: Option<Queue>,
    /// Whether the credential is known. The credential itself is never shown.
    credential: &'static str,
    account: Option<Account>,
    waiting: Option<Waiting>,
    places: Vec<Place>,
    /// What decides the rest.
    rest: Vec<String>,
}

/// What is known of the question before the runners are looked at.
struct Subject {
    queue: config::Queue,
    credential: &'static str,
    account: Option<Arc<str>>,
    steps: Vec<(usize, Step)>,
    submitted: Time,
    /// The job, if the log has it.
    id: Option<Id>,
    /// What happens, if the runners do not matter.
    verdict: Option<String>,
}

impl Explanation {
    /// Explains where a job or request would go, or returns `None` for a job that the log lacks.
    pub fn new(platform: &Platform<'_>, question: &Question) -> Option<Self> {
        let config = platform.config.as_deref();
        let subject = match question {
            Question::Job(id) => job_subject(platform, *id)?,
            Question::Request {
                host,
                path,
                credential,
                steps,
            } => {
                let Some(config) = config else {
                    return Some(Self::refused(
                        "503: the log has no configuration that can be used; publish one",
                        None,
                    ));
                };
                let Some(queue) = config.route(host, path) else {
                    return Some(Self::refused(
                        "404: no queue has this host name and path; correct them, or add the queue",
                        Some(config.version),
                    ));
                };
                request_subject(platform, config, queue, path, credential.as_ref(), steps)
            }
        };
        Some(Self::of_subject(platform, config, subject))
    }

    fn refused(verdict: &str, configuration: Option<u64>) -> Self {
        Self {
            verdict: verdict.to_owned(),
            configuration,
            queue: None,
            credential: "not looked at",
            account: None,
            waiting: None,
            places: Vec::new(),
            rest: Vec::new(),
        }
    }

    fn of_subject(platform: &Platform<'_>, config: Option<&Config>, subject: Subject) -> Self {
        let demand = Demand::new(platform.state, platform.now);
        let queue = &subject.queue;
        let name = subject.account.as_deref();
        let configured = name.and_then(|name| config?.account(name));
        let running = name.and_then(|name| demand.running.get(name).copied());
        let running = running.unwrap_or_default();
        let account = subject.account.as_ref().map(|name| Account {
            name: name.to_string(),
            weight: configured.map(|account| account.weight),
            cap: configured.map(|account| amounts(account.cap)),
            running: amounts(running),
            waiting_tasks: demand.waiting.get(&**name).copied().unwrap_or_default(),
        });
        let mut waiting = Waiting::default();
        let pool = &queue.policy.pool;
        let others = demand.rows.iter();
        let others = others.filter(|row| row.pool == *pool && Some(row.id) != subject.id);
        for row in others {
            let counter = match row.priority.cmp(&queue.policy.priority) {
                Ordering::Less => &mut waiting.more_urgent,
                Ordering::Equal if row.submitted < subject.submitted => &mut waiting.earlier,
                _ => &mut waiting.behind,
            };
            *counter += row.tasks;
        }
        let steps = subject.steps.iter();
        let places: Vec<Place> = steps
            .map(|(number, step)| place(platform, &demand, pool, *number, step))
            .collect();
        let verdict = subject
            .verdict
            .or_else(|| cap_verdict(configured, running, &subject.steps))
            .or_else(|| leader_verdict(platform))
            .unwrap_or_else(|| room_verdict(&places, waiting, pool));
        Self {
            verdict,
            configuration: config.map(|config| config.version),
            credential: subject.credential,
            account,
            waiting: Some(waiting),
            places,
            rest: rest(platform, queue, &subject.steps),
            queue: Some(Queue {
                name: queue.name.to_string(),
                pool: pool.to_string(),
                priority: queue.policy.priority,
                anonymous: queue.anonymous,
                advised: queue.advised,
            }),
        }
    }
}

fn job_subject(platform: &Platform<'_>, id: Id) -> Option<Subject> {
    let replica = &platform.state.replica;
    let entry = replica.get(replica.find(id)?)?;
    let job = platform.state.jobs.get(&id)?;
    let queues = platform.config.as_ref().map(|config| &config.queues);
    let known = queues.and_then(|queues| queues.iter().find(|queue| queue.name == job.queue));
    let queue = config::Queue {
        name: Arc::clone(&job.queue),
        host: Box::default(),
        path: Box::default(),
        policy: job.policy.clone(),
        advised: known.is_some_and(|queue| queue.advised),
        anonymous: known.is_some_and(|queue| queue.anonymous),
    };
    let waits = |step: usize| demand::waiting_in(entry, job, step, platform.now) > 0;
    let steps = job.steps.iter().cloned().enumerate();
    let steps: Vec<(usize, Step)> = steps.filter(|(step, _)| waits(*step)).collect();
    let verdict = match entry.outcome() {
        Some(outcome) => Some(format!("nothing: the job has ended ({outcome:?})")),
        None if steps.is_empty() => Some(
            "nothing now: each of its tasks has a run, is done, or waits for earlier ones"
                .to_owned(),
        ),
        None => None,
    };
    Some(Subject {
        queue,
        credential: "checked when the job was accepted",
        account: job.account.clone(),
        steps,
        submitted: job.submitted,
        id: Some(id),
        verdict,
    })
}

fn request_subject(
    platform: &Platform<'_>,
    config: &Config,
    queue: &config::Queue,
    path: &str,
    credential: Option<&Credential>,
    steps: &[Step],
) -> Subject {
    let principal = Principal::determine(config, queue, credential);
    let word = match (&principal, credential) {
        (Principal::Anonymous, _) if queue.anonymous => "not needed: the queue is anonymous",
        (Principal::Anonymous, _) => "not needed: the configuration has no accounts",
        (Principal::Account(_), _) => "known",
        (Principal::Unknown, Some(_)) => "not in the configuration",
        (Principal::Unknown, None) => "none is given",
    };
    let name = match &principal {
        Principal::Account(name) => Some(Arc::clone(name)),
        Principal::Anonymous | Principal::Unknown => None,
    };
    let access = Access {
        queue: Arc::clone(&queue.name),
        account: name.clone(),
    };
    let rest = path.get(queue.path.len()..).unwrap_or_default();
    let verdict = match Id::try_from(rest) {
        _ if principal == Principal::Unknown => Some(
            "401: the queue needs a key that the configuration lists; give one, or add it to an account".to_owned(),
        ),
        Err(problem) if rest.contains('/') => Some(format!("404: {problem}")),
        Err(problem) => Some(format!("400: {problem}")),
        Ok(id) => repeat_verdict(platform, &access, id),
    };
    Subject {
        queue: queue.clone(),
        credential: word,
        account: name,
        steps: steps.iter().cloned().enumerate().collect(),
        submitted: platform.now,
        id: None,
        verdict,
    }
}

/// Returns the answer to a submission of a job that the log has.
fn repeat_verdict(platform: &Platform<'_>, access: &Access, id: Id) -> Option<String> {
    let replica = &platform.state.replica;
    let entry = replica.get(replica.find(id)?)?;
    let queue = entry.queue.as_ref()?;
    let text = match access.permits(queue, entry.account.as_deref()) {
        true => "200, without effect: the log has the job already; see --job",
        false => "409: a job of another account has this identity; choose another one",
    };
    Some(text.to_owned())
}

fn place(
    platform: &Platform<'_>,
    demand: &Demand,
    pool: &str,
    number: usize,
    step: &Step,
) -> Place {
    let need = step.reserved();
    let in_pool = platform
        .runners
        .iter()
        .filter(|runner| *runner.pool == *pool);
    let accepting: Vec<&Listed> = in_pool.filter(|runner| runner.draining.is_none()).collect();
    let suits = |runner: &&&Listed| {
        let mut labels = runner.labels.iter();
        let labelled = |label: &str| labels.any(|own| **own == *label);
        step.label.as_deref().is_none_or(labelled)
            && runner.capacity.fits(Resource::default(), need)
    };
    let suitable: Vec<&Listed> = accepting.iter().filter(suits).copied().collect();
    let used = |id: &str| demand.reserved.get(id).copied().unwrap_or_default();
    let with_room = suitable
        .iter()
        .filter(|runner| runner.capacity.fits(used(&runner.id), need));
    let with_room: Vec<String> = with_room.map(|runner| runner.id.to_string()).collect();
    Place {
        step: number,
        tasks: step.count,
        needs: amounts(need),
        label: step.label.as_deref().map(str::to_owned),
        runners: accepting.len(),
        suitable: suitable.len(),
        with_room: with_room.len(),
        names: with_room.into_iter().take(NAMED_RUNNERS).collect(),
    }
}

/// Returns what the cap of the account decides, if it does.
fn cap_verdict(
    configured: Option<&config::Account>,
    running: Resource,
    steps: &[(usize, Step)],
) -> Option<String> {
    let cap = configured?.cap;
    for (number, step) in steps {
        if !cap_admits(cap, Resource::default(), step.need) {
            return Some(format!(
                "waits for ever: a task of step {number} needs more than the cap of the account; raise the cap"
            ));
        }
    }
    steps
        .first()
        .filter(|(_, step)| !cap_admits(cap, running, step.need))
        .map(|_| {
            "waits until running tasks of the account have ended: its cap is reached".to_owned()
        })
}

/// Returns that nothing starts, if no entry leads.
fn leader_verdict(platform: &Platform<'_>) -> Option<String> {
    let leader = platform.state.replica.leader();
    let leads = leader.is_some_and(|leader| !leader.resigned);
    (!leads).then(|| {
        "waits until an entry leads: the last leader has resigned, or there was none".to_owned()
    })
}

/// Returns what the room on the runners decides.
fn room_verdict(places: &[Place], waiting: Waiting, pool: &str) -> String {
    let before = waiting.more_urgent + waiting.earlier;
    let Some(first) = places.first() else {
        return format!("goes to pool {pool}; give the body of the job to see where its tasks fit");
    };
    if let Some(place) = places.iter().find(|place| place.suitable == 0) {
        return format!(
            "waits: no runner of pool {pool} is suitable for step {}; it needs a host with that label and size",
            place.step
        );
    }
    match (first.with_room, before) {
        (0, _) => format!("waits for room in pool {pool}, behind {before} tasks"),
        (_, 0) => format!(
            "starts at once at a runner of pool {pool}, such as {}",
            first.names.join(", ")
        ),
        _ => format!(
            "starts once {before} tasks before it have been placed; there is room now, such as at {}",
            first.names.join(", ")
        ),
    }
}

/// Returns what decides the rest, and is not in the log.
fn rest(platform: &Platform<'_>, queue: &config::Queue, steps: &[(usize, Step)]) -> Vec<String> {
    let mut rest = Vec::new();
    if let Some(leader) = platform.state.replica.leader() {
        rest.push(format!(
            "the leader {} knows which runners answer, are in quarantine or may be crashed by a task, and which images \
             slow each other down",
            leader.holder
        ));
    }
    if queue.advised {
        rest.push("the advice service has to approve the runner".to_owned());
    }
    let any = |matches: fn(&Step) -> bool| steps.iter().any(|(_, step)| matches(step));
    if any(|step| step.gang) {
        rest.push("a gang needs room for all its tasks at once".to_owned());
    }
    if any(|step| step.max_per_runner.is_some()) {
        rest.push("the largest number of tasks of a step on one runner".to_owned());
    }
    if any(|step| step.data_rack.is_some() || step.coupled) {
        rest.push("runners in the rack of the data, or in one rack, are preferred".to_owned());
    }
    rest.push(
        "jobs that can no longer be in time come after others of the same urgency".to_owned(),
    );
    rest
}

const fn amounts(resource: Resource) -> [u64; 3] {
    [resource.cpu, resource.memory, resource.gpu]
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.verdict)?;
        match self.configuration {
            Some(version) => writeln!(f, "configuration  version {version}")?,
            None => writeln!(f, "configuration  none")?,
        }
        if let Some(queue) = &self.queue {
            let access = if queue.anonymous { ", anonymous" } else { "" };
            writeln!(
                f,
                "queue          {}, priority {}{access}, pool {}",
                queue.name, queue.priority, queue.pool
            )?;
        }
        writeln!(f, "credential     {}", self.credential)?;
        if let Some(account) = &self.account {
            let [cpu, memory, gpu] = account.running;
            write!(f, "account        {}, ", account.name)?;
            match (account.weight, account.cap) {
                (Some(weight), Some([cpu, memory, gpu])) => writeln!(
                    f,
                    "weight {}.{:03} jobs a second, cap {cpu} thousandths of a core, {memory} MB, {gpu} accelerators (0: \
                     no limit)",
                    weight / 1_000,
                    weight % 1_000
                )?,
                _ => writeln!(f, "not in the configuration, so without a cap")?,
            }
            writeln!(
                f,
                "               runs {cpu} thousandths of a core, {memory} MB, {gpu} accelerators; {} tasks wait",
                account.waiting_tasks
            )?;
        }
        if let Some(waiting) = self.waiting {
            writeln!(
                f,
                "waiting        {} more urgent tasks, {} earlier ones of the same urgency, {} behind",
                waiting.more_urgent, waiting.earlier, waiting.behind
            )?;
        }
        for place in &self.places {
            let [cpu, memory, gpu] = place.needs;
            let label = place.label.as_ref().map(|label| format!(", label {label}"));
            writeln!(
                f,
                "step {:<9} {} tasks of {cpu} thousandths of a core, {memory} MB, {gpu} accelerators{}: {} runners, {} \
                 suitable, {} with room",
                place.step,
                place.tasks,
                label.unwrap_or_default(),
                place.runners,
                place.suitable,
                place.with_room
            )?;
        }
        for reason in &self.rest {
            writeln!(f, "then           {reason}")?;
        }
        Ok(())
    }
}
