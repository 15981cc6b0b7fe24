//! Runners: leases, fences, runs, ends and crashes.

use crate::{
    http::{Answer, Request, Server, answer},
    json::Json,
    platform::{Advice, Store},
    site::own_address,
};
use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STOP_TIME: Duration = Duration::from_millis(300);

/// What a runner is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory: u64,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
}

#[derive(Clone)]
struct Run {
    task: String,
    attempt: u64,
    began: Instant,
    ends: Instant,
    stops: Option<Instant>,
    /// Number of members of its gang; 0 if it is in none.
    members: usize,
}

impl Run {
    fn gang(&self) -> (String, u64) {
        (
            self.task
                .rsplit_once('.')
                .map_or("", |(step, _)| step)
                .to_owned(),
            self.attempt,
        )
    }
}

#[derive(Clone)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    saved: String,
}

/// One life of a runner.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last: u64,
    past: HashMap<String, u64>,
}

/// Members of one attempt of a gang.
#[derive(Default)]
struct Gang {
    present: usize,
    /// When all members were there.
    full: Option<Instant>,
    /// A member ended without being done.
    broken: bool,
}

/// Time after which a member of a gang ends that waits for the others.
const GANG_TIME: Duration = Duration::from_millis(3_000);

/// What happened to a run, for the record and for the checks.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub runner: String,
    pub task: String,
    pub attempt: u64,
    /// `start`, how the run ended, or `died` with its runner.
    pub what: &'static str,
}

pub struct Journal {
    pub began: Instant,
    pub events: Mutex<Vec<Event>>,
    /// Starts that were rejected, by the reason.
    pub rejected: Mutex<HashMap<&'static str, u64>>,
    /// Gangs by their step and attempt.
    gangs: Mutex<HashMap<(String, u64), Gang>>,
}

impl Journal {
    pub fn new() -> Journal {
        Journal {
            began: Instant::now(),
            events: Mutex::default(),
            rejected: Mutex::default(),
            gangs: Mutex::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn note(&self, runner: &str, task: &str, attempt: u64, what: &'static str) {
        let event = Event {
            at: self.now(),
            runner: runner.to_owned(),
            task: task.to_owned(),
            attempt,
            what,
        };
        self.events.lock().unwrap().push(event);
    }
}

struct State {
    kind: Kind,
    /// Number of the present life, and whether calls of it get no answer since it has ended silently.
    number: AtomicU64,
    dark: AtomicBool,
    /// Number of further starts that are left unanswered until the next life, which carries them out.
    hold: AtomicU64,
    /// Whether a start is held.
    held: AtomicBool,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    journal: Arc<Journal>,
    advice: Option<Arc<Advice>>,
}

pub struct Runner {
    state: Arc<State>,
    store: Arc<Store>,
    address: SocketAddr,
    server: Mutex<Option<Server>>,
}

fn clock(life: &Life) -> u64 {
    1_000 + life.began.elapsed().as_millis() as u64
}

/// Takes one from a number, unless it is 0.
fn take_one(number: &AtomicU64) -> bool {
    number
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |number| {
            number.checked_sub(1)
        })
        .is_ok()
}

/// The work of a task follows from its specification: `work=MS`.
fn work(spec: &str) -> Duration {
    let millis = spec
        .split_whitespace()
        .find_map(|word| word.strip_prefix("work="));
    Duration::from_millis(millis.and_then(|text| text.parse().ok()).unwrap_or(1_000))
}

/// The checkpoint of a run: a name of up to 96 characters for what the task has stored.
fn saved(task: &str, run: &Run, checkpoints: bool) -> String {
    // checkpointS is 2.
    let parts = run.began.elapsed().as_secs() / 2;
    if !checkpoints || parts == 0 {
        return String::new();
    }
    let value = task.bytes().fold(parts, |hash: u64, byte| {
        hash.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte)
    });
    format!(
        "checkpoints/roofing/{task}/run-{:04}/part-{parts:06}-{value:016x}{:016x}",
        run.attempt, !value
    )
}

impl State {
    fn advance(&self, life: &mut Life) {
        let now = Instant::now();
        let lease_end = life.began + Duration::from_millis(life.lease_ms.saturating_sub(1_000));
        let mut kept = Vec::new();
        let mut gangs = self.journal.gangs.lock().unwrap();
        for run in std::mem::take(&mut life.runs) {
            let gang = (run.members > 0).then(|| gangs.entry(run.gang()).or_default());
            let work = run.ends - run.began;
            let how = match run.stops {
                Some(stops) if stops <= now => "stopped",
                _ if lease_end <= now => "lapsed",
                _ if let Some(gang) = &gang => match gang.full {
                    _ if gang.broken => "broken",
                    Some(full) if full + work <= now => "done",
                    None if run.began + GANG_TIME <= now => "alone",
                    _ => {
                        kept.push(run);
                        continue;
                    }
                },
                _ if run.ends <= now => "done",
                _ => {
                    kept.push(run);
                    continue;
                }
            };
            if let Some(gang) = gang.filter(|_| how != "done") {
                gang.broken = true;
            }
            let saved = match how {
                "stopped" | "broken" => saved(&run.task, &run, self.kind.checkpoints),
                _ => String::new(),
            };
            life.last += 1;
            let highest = life.past.entry(run.task.clone()).or_default();
            *highest = (*highest).max(run.attempt);
            self.journal
                .note(&self.kind.id, &run.task, run.attempt, how);
            life.ends.push(End {
                number: life.last,
                task: run.task,
                attempt: run.attempt,
                how,
                saved,
            });
        }
        life.runs = kept;
    }

    fn extend(&self, life: &mut Life, until: u64) {
        let longest = clock(life) + HOLD_MAX_MS;
        life.lease_ms = life.lease_ms.max(until.min(longest));
    }

    fn handle(&self, request: Request) -> Answer {
        let Some(body) = Json::read(&request.body) else {
            return answer(400, "{}");
        };
        if request
            .header("x-sassafrascrank-expect-instance")
            .is_some_and(|id| id != self.kind.id)
        {
            return answer(421, "{}");
        }
        let number = |name| body.get(name).number();
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return answer(503, "{}");
        };
        self.advance(life);
        let plain = |life: &Life| {
            answer(
                200,
                format!("{{\"clockMs\":{},\"born\":{}}}", clock(life), life.born),
            )
        };
        let reject = |life: &Life, reason: &'static str| {
            *self
                .journal
                .rejected
                .lock()
                .unwrap()
                .entry(reason)
                .or_default() += 1;
            answer(
                409,
                format!(
                    "{{\"clockMs\":{},\"born\":{},\"reason\":\"{reason}\"}}",
                    clock(life),
                    life.born
                ),
            )
        };
        let fence = number("fence").unwrap_or(0);
        if fence < life.fence {
            return reject(life, "fence");
        }
        life.fence = fence;
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let attempt = number("attempt").unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                let until = number("untilMs").unwrap_or(0);
                if life
                    .runs
                    .iter()
                    .any(|run| run.task == task && run.attempt == attempt)
                {
                    return plain(life);
                }
                if life
                    .past
                    .get(&task)
                    .is_some_and(|&highest| attempt <= highest)
                {
                    self.extend(life, until);
                    return reject(life, "old");
                }
                if until <= clock(life) {
                    return reject(life, "late");
                }
                let spec = body.get("spec").text().unwrap_or_default();
                if let Some(advice) = self.advice.as_ref().filter(|_| spec.contains("advised")) {
                    // A ticket is valid for the tasks of its step, during this life of the runner, for its time.
                    let ticket = advice.find(body.get("ticket").text().unwrap_or_default());
                    let phase = task.rsplit_once('.').map_or("", |(phase, _)| phase);
                    let valid = ticket.is_some_and(|ticket| {
                        let here = ticket.phase == phase && ticket.worker == self.kind.id;
                        here && ticket.given >= life.began && Instant::now() < ticket.ends
                    });
                    if !valid {
                        return reject(life, "ticket");
                    }
                }
                self.extend(life, until);
                let now = Instant::now();
                self.journal.note(&self.kind.id, &task, attempt, "start");
                let work = work(spec);
                let members = spec
                    .split_whitespace()
                    .find_map(|word| word.strip_prefix("gang="));
                let members = members.and_then(|text| text.parse().ok()).unwrap_or(0);
                let run = Run {
                    task,
                    attempt,
                    began: now,
                    ends: now + work,
                    stops: None,
                    members,
                };
                if members > 0 {
                    let mut gangs = self.journal.gangs.lock().unwrap();
                    let gang = gangs.entry(run.gang()).or_default();
                    gang.present += 1;
                    if gang.present == members {
                        gang.full = Some(now);
                    }
                }
                life.runs.push(run);
                plain(life)
            }
            "/run-stop" => {
                match life
                    .runs
                    .iter_mut()
                    .find(|run| run.task == task && run.attempt == attempt)
                {
                    Some(run) => {
                        run.stops.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    None => {
                        let highest = life.past.entry(task).or_default();
                        *highest = (*highest).max(attempt);
                    }
                }
                plain(life)
            }
            "/pace" => plain(life),
            "/hold" => {
                if let Some(until) = number("untilMs") {
                    self.extend(life, until);
                }
                let acknowledged = number("ackCursor").unwrap_or(0);
                life.ends.retain(|end| end.number > acknowledged);
                let limit = Instant::now()
                    + Duration::from_millis(number("waitMs").unwrap_or(0).min(2_000));
                loop {
                    let Some(life) = guard.as_mut() else {
                        return answer(503, "{}");
                    };
                    self.advance(life);
                    let now = Instant::now();
                    if !life.ends.is_empty() || now >= limit {
                        return view(&self.kind, life);
                    }
                    let pause = (limit - now).min(Duration::from_millis(10));
                    guard = self.changed.wait_timeout(guard, pause).unwrap().0;
                }
            }
            _ => answer(400, "{}"),
        }
    }
}

fn view(kind: &Kind, life: &Life) -> Answer {
    let running = life.runs.iter().map(|run| {
        let whole = (run.ends - run.began).as_millis().max(1);
        let percent = (run.began.elapsed().as_millis() * 100 / whole).min(99);
        format!(
            "[\"{}\",{},\"{}\",{percent},1000]",
            run.task,
            run.attempt,
            saved(&run.task, run, kind.checkpoints)
        )
    });
    let running: Vec<String> = running.collect();
    let finished = life.ends.iter().take(500);
    let finished: Vec<String> = finished
        .map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"{}\"]",
                end.number, end.task, end.attempt, end.how, end.saved
            )
        })
        .collect();
    answer(
        200,
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            clock(life),
            life.born,
            running.join(","),
            finished.join(",")
        ),
    )
}

fn new_life() -> Life {
    Life {
        born: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64),
        began: Instant::now(),
        fence: 0,
        lease_ms: 0,
        runs: Vec::new(),
        ends: Vec::new(),
        last: 0,
        past: HashMap::new(),
    }
}

impl Runner {
    pub fn start(
        kind: Kind,
        store: Arc<Store>,
        journal: Arc<Journal>,
        advice: Option<Arc<Advice>>,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind((own_address(3), 0)).expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = Arc::new(State {
            kind,
            number: AtomicU64::new(0),
            dark: AtomicBool::new(false),
            hold: AtomicU64::new(0),
            held: AtomicBool::new(false),
            life: Mutex::new(Some(new_life())),
            changed: Condvar::new(),
            journal,
            advice,
        });
        let runner = Arc::new(Runner {
            state,
            store,
            address,
            server: Mutex::new(None),
        });
        runner.serve(listener);
        let beating = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        // Ends are noted when they happen, also while nobody asks.
        let state = Arc::clone(&runner.state);
        thread::spawn(move || {
            loop {
                if let Some(life) = state.life.lock().unwrap().as_mut() {
                    state.advance(life);
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        runner
    }

    fn serve(&self, listener: TcpListener) {
        let state = Arc::clone(&self.state);
        let number = state.number.load(Ordering::SeqCst);
        let handle = move |request: Request| {
            let present = || state.number.load(Ordering::SeqCst) == number;
            // One start is left unanswered, and waits for the next life, which carries it out.
            let held = request.path == "/run-start" && present() && take_one(&state.hold);
            if held {
                state.held.store(true, Ordering::SeqCst);
            }
            while present() && (held || state.dark.load(Ordering::SeqCst)) {
                thread::sleep(Duration::from_millis(2));
            }
            match held || present() {
                true => state.handle(request),
                false => answer(503, "{}"),
            }
        };
        let server = Server::start(listener, Arc::new(handle));
        *self.server.lock().unwrap() = Some(server);
    }

    fn register(&self) {
        let guard = self.state.life.lock().unwrap();
        let Some(life) = guard.as_ref() else { return };
        let kind = &self.state.kind;
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{},\"born\":{},\"clockMs\":{},\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"machine\":\"{}\"}}",
            kind.service,
            self.address,
            kind.zone,
            clock(life) / 100,
            life.born,
            clock(life),
            kind.cpu,
            kind.memory,
            kind.rack,
            kind.machine
        );
        drop(guard);
        self.store.put("keyed.servers", &kind.id, &entry);
    }

    /// Leaves the next start unanswered. The next life of the runner carries it out.
    pub fn hold_start(&self) {
        self.state.hold.store(1, Ordering::SeqCst);
    }

    /// Tells whether a start is held.
    pub fn holds_start(&self) -> bool {
        self.state.held.load(Ordering::SeqCst)
    }

    /// Ends the runner without a word, so that calls wait: what runs there is lost.
    pub fn go_dark(&self) {
        self.state.dark.store(true, Ordering::SeqCst);
        self.end_life();
    }

    /// Ends the runner without a word: what runs there is lost, and its port has no listener.
    pub fn crash(&self) {
        self.end_life();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
    }

    fn end_life(&self) {
        if let Some(life) = self.state.life.lock().unwrap().take() {
            for run in &life.runs {
                self.state
                    .journal
                    .note(&self.state.kind.id, &run.task, run.attempt, "died");
                if run.members > 0 {
                    self.state
                        .journal
                        .gangs
                        .lock()
                        .unwrap()
                        .entry(run.gang())
                        .or_default()
                        .broken = true;
                }
            }
        }
    }

    /// Starts the runner again under its id and at its address.
    pub fn restart(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        *self.state.life.lock().unwrap() = Some(new_life());
        self.state.number.fetch_add(1, Ordering::SeqCst);
        self.state.dark.store(false, Ordering::SeqCst);
        // A process takes a while until it listens. What has waited comes first.
        thread::sleep(Duration::from_millis(20));
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.serve(listener);
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.register();
    }
}
