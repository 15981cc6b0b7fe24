//! The platform's log, the runners and the host list, after the users' page `PROTOCOL.md`, and the entries under test.

use crate::{
    http::{Answer, Call, Server, request},
    json::Json,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs::File,
    io::Write,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Figures of the settings in `DEPLOY.md`.
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const APPEND_TIME: Duration = Duration::from_millis(2);
const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a run takes to stop; the page allows up to 900 ms.
const STOP_TIME: Duration = Duration::from_millis(100);
/// How late an order without an answer is carried out; the site file's range is 2 to 12 s.
const LATE: Duration = Duration::from_secs(3);
/// Time after which a lasting task is at work.
const WARM_UP: Duration = Duration::from_millis(500);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Writes what happens to the record of the case.
pub struct Recorder {
    file: Mutex<File>,
    start: Instant,
}

impl Recorder {
    pub fn new(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { file, start: Instant::now() }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(Instant::now()), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// The log.

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    results: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Log {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Held while a partition processes an append.
    turns: Mutex<HashMap<String, Arc<Mutex<()>>>>,
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

fn split_key(record: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
    let (&length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(length))?;
    Some((key.to_vec(), value.to_vec()))
}

impl Log {
    /// Stores one record as a writer other than the system does.
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push(vec![(key.as_bytes().to_vec(), value.to_vec())]);
        drop(topics);
        self.changed.notify_all();
    }

    fn append(&self, call: &Call, recorder: &Recorder) -> Answer {
        let name = call.query.get("topic").cloned().unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return Answer::json(403, "{}");
        }
        let Some(rows) = split_records(&call.body) else {
            return Answer::json(400, "{}");
        };
        if let Some(large) = rows.iter().find(|row| row.len() > RECORD_BYTES) {
            let size = large.len();
            recorder.note(format!("log: refuses a record of {size} bytes, recordBytes is {RECORD_BYTES}"));
            return Answer::json(400, r#"{"reason":"recordBytes"}"#);
        }
        if call.body.len() > REQUEST_BYTES {
            return Answer::json(400, r#"{"reason":"requestBytes"}"#);
        }
        let Some(rows) = rows.iter().map(|row| split_key(row)).collect::<Option<Vec<_>>>() else {
            return Answer::json(400, "{}");
        };
        let turn = Arc::clone(self.turns.lock().unwrap().entry(name.clone()).or_default());
        let turn = turn.lock().unwrap();
        thread::sleep(APPEND_TIME);
        let number = |field: &str| call.query.get(field).and_then(|text| text.parse::<u64>().ok());
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let sequence = number("seq").unwrap_or(0);
        let producer = call.query.get("producer").cloned();
        if let Some(producer) = &producer {
            let epoch = number("epoch").unwrap_or(0);
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return Answer::json(409, r#"{"reason":"fenced"}"#);
            }
            if epoch > known.epoch {
                *known = Producer { epoch, next: sequence, results: VecDeque::new() };
            }
            if let Some((_, offset, end)) = known.results.iter().find(|row| row.0 == sequence) {
                return Answer::json(200, format!(r#"{{"offset":{offset},"end":{end}}}"#));
            }
            if sequence != known.next {
                return Answer::json(409, format!(r#"{{"reason":"seq","expected":{}}}"#, known.next));
            }
        }
        let offset = topic.records.len() as u64;
        if number("at").is_some_and(|at| at != offset) {
            return Answer::json(412, format!(r#"{{"end":{offset}}}"#));
        }
        topic.push(rows);
        let end = topic.records.len() as u64;
        if let Some(known) = producer.and_then(|name| topic.producers.get_mut(&name)) {
            known.next += 1;
            known.results.push_back((sequence, offset, end));
            if known.results.len() > 5 {
                known.results.pop_front();
            }
        }
        drop(topics);
        drop(turn);
        self.changed.notify_all();
        Answer::json(200, format!(r#"{{"offset":{offset},"end":{end}}}"#))
    }

    fn read(&self, call: &Call) -> Answer {
        let name = call.query.get("topic").cloned().unwrap_or_default();
        let number = |field: &str| call.query.get(field).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = (number("maxKb").unwrap_or(1_024) as usize) << 10;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(&name).map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for index in from..end {
                    let (key, value) = &topics[&name].records[index];
                    let length = 1 + key.len() + value.len();
                    if index > from && body.len() + length > limit {
                        break;
                    }
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return Answer { status: 200, body };
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, call: &Call) -> Answer {
        let name = call.query.get("topic").cloned().unwrap_or_default();
        let after = call.query.get("dependsOn").cloned().unwrap_or_default();
        let topics = self.topics.lock().unwrap();
        let Some(topic) = topics.get(&name) else {
            return Answer::json(200, r#"{"items":[],"hasMore":false,"end":0}"#);
        };
        let mut items = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, (offset, value)) in topic.newest.iter().filter(|(key, _)| **key > after) {
            size += value.len();
            if items.len() == 500 || (size > 1 << 20 && !items.is_empty()) {
                more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#));
        }
        let (items, end) = (items.join(","), topic.records.len());
        Answer::json(200, format!(r#"{{"items":[{items}],"hasMore":{more},"end":{end}}}"#))
    }
}

impl Topic {
    fn push(&mut self, rows: Vec<(Vec<u8>, Vec<u8>)>) {
        for (key, value) in rows {
            let offset = self.records.len() as u64;
            let name = String::from_utf8_lossy(&key).into_owned();
            match value.is_empty() {
                true => self.newest.remove(&name),
                false => self.newest.insert(name, (offset, value.clone())),
            };
            self.records.push((key, value));
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// Runners.

/// A run, for the judgement.
#[derive(Clone, Debug)]
pub struct Row {
    pub task: String,
    pub attempt: u64,
    pub runner: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
    pub cpu: u64,
}

struct Run {
    task: String,
    attempt: u64,
    began: Instant,
    ends_at: Option<Instant>,
    stops_at: Option<Instant>,
    row: usize,
}

#[derive(Default)]
struct LifeState {
    fence: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    past: HashMap<String, u64>,
}

/// One life of a machine.
pub struct Life {
    pub id: String,
    pub machine: String,
    pub service: String,
    rack: String,
    born: u64,
    began: Instant,
    pub alive: AtomicBool,
    /// Whether the machine is cut off from all others; what it runs goes on.
    cut: AtomicBool,
    server: Mutex<Option<Server>>,
    pub address: Mutex<Option<SocketAddr>>,
    state: Mutex<LifeState>,
}

impl Life {
    fn clock(&self, now: Instant) -> u64 {
        1_000 + now.saturating_duration_since(self.began).as_millis() as u64
    }

    fn advance(&self, state: &mut LifeState, world: &World, now: Instant) {
        let lease_end = self.began + Duration::from_millis(state.lease_until.saturating_sub(1_000));
        let mut index = 0;
        while index < state.runs.len() {
            let run = &state.runs[index];
            let due = [run.ends_at, run.stops_at].into_iter().flatten().fold(lease_end, Instant::min);
            if due > now {
                index += 1;
                continue;
            }
            let run = state.runs.remove(index);
            let how = match () {
                () if run.stops_at == Some(due) => "stopped",
                () if run.ends_at == Some(due) => "done",
                () => "lapsed",
            };
            state.last_end += 1;
            state.ends.push((state.last_end, run.task.clone(), run.attempt, how));
            let past = state.past.entry(run.task.clone()).or_default();
            *past = (*past).max(run.attempt);
            world.end_row(run.row, due, how);
        }
    }

    fn serve(self: &Arc<Self>, world: &Arc<World>, call: &Call) -> Answer {
        if self.is_cut() {
            return Answer::none();
        }
        if call.path == "/run-start" && world.hold_next.swap(false, Ordering::SeqCst) {
            return world.hold_back(self, call);
        }
        self.execute(world, call)
    }

    /// Waits while the machine is cut off, and tells whether it was.
    fn is_cut(&self) -> bool {
        let cut = self.cut.load(Ordering::SeqCst);
        while self.cut.load(Ordering::SeqCst) && self.alive.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        cut
    }

    fn execute(&self, world: &World, call: &Call) -> Answer {
        let expected = call.headers.get("x-sassafrascrank-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Answer::json(421, "{}");
        }
        if call.method != "POST" {
            return Answer::json(200, "{}");
        }
        let Some(body) = Json::parse(&call.body) else {
            return Answer::json(400, "{}");
        };
        let begun = Instant::now();
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let (task, attempt) = (body.text("task").to_owned(), body.number("attempt").unwrap_or(0));
        let mut first = true;
        loop {
            let now = Instant::now();
            let mut guard = self.state.lock().unwrap();
            let state = &mut *guard;
            self.advance(state, world, now);
            let clock = self.clock(now);
            let refuse = |reason: &str| {
                world.recorder.note(format!("{}: {} {task}#{attempt} refused: {reason}", self.id, call.path));
                Answer::json(409, format!(r#"{{"clockMs":{clock},"reason":"{reason}"}}"#))
            };
            if first {
                first = false;
                let fence = body.number("fence").unwrap_or(0);
                if fence < state.fence {
                    return refuse("fence");
                }
                state.fence = fence;
                let until = body.number("untilMs").map(|until| until.min(clock + HOLD_MAX_MS));
                match call.path.as_str() {
                    "/run-start" => {
                        if state.runs.iter().any(|run| run.task == task && run.attempt == attempt) {
                            return Answer::json(200, format!(r#"{{"clockMs":{clock}}}"#));
                        }
                        let until = until.unwrap_or(0);
                        if until <= clock {
                            return refuse("late");
                        }
                        state.lease_until = state.lease_until.max(until);
                        if state.past.get(&task).is_some_and(|past| attempt <= *past) {
                            return refuse("old");
                        }
                        let work = body.text("spec").split(' ').find_map(|word| word.strip_prefix("work="));
                        let work = work.and_then(|text| text.parse().ok()).map(Duration::from_millis);
                        let row = world.begin_row(self, &task, attempt, now);
                        state.runs.push(Run {
                            task: task.clone(),
                            attempt,
                            began: now,
                            ends_at: work.map(|work| now + work),
                            stops_at: None,
                            row,
                        });
                    }
                    "/run-stop" => {
                        let found = state.runs.iter_mut().find(|run| run.task == task && run.attempt == attempt);
                        match found {
                            Some(run) => {
                                run.stops_at.get_or_insert(now + STOP_TIME);
                            }
                            None => {
                                let past = state.past.entry(task.clone()).or_default();
                                *past = (*past).max(attempt);
                            }
                        }
                    }
                    "/hold" => {
                        let acknowledged = body.number("ackCursor").unwrap_or(0);
                        state.ends.retain(|end| end.0 > acknowledged);
                        state.lease_until = state.lease_until.max(until.unwrap_or(0));
                    }
                    "/pace" => {}
                    _ => return Answer::json(404, "{}"),
                }
                if call.path != "/hold" {
                    return Answer::json(200, format!(r#"{{"clockMs":{clock}}}"#));
                }
            }
            if !state.ends.is_empty() || begun.elapsed() >= wait {
                return self.view(state, now);
            }
            drop(guard);
            thread::sleep(Duration::from_millis(3));
            if self.is_cut() {
                return Answer::none();
            }
        }
    }

    fn view(&self, state: &LifeState, now: Instant) -> Answer {
        let clock = self.clock(now);
        let running = state.runs.iter().map(|run| {
            let spent = now.saturating_duration_since(run.began);
            let percent = match run.ends_at {
                None => 100 * u64::from(spent >= WARM_UP),
                Some(ends) => {
                    let whole = ends.saturating_duration_since(run.began).as_millis().max(1);
                    (spent.as_millis() * 100 / whole).min(100) as u64
                }
            };
            format!(r#"["{}",{},"",{percent},0]"#, run.task, run.attempt)
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ends = state.ends.iter().take(500);
        let ends = ends.map(|(number, task, attempt, how)| format!(r#"[{number},"{task}",{attempt},"{how}",""]"#));
        let ends = ends.collect::<Vec<_>>().join(",");
        let born = self.born;
        Answer::json(200, format!(r#"{{"clockMs":{clock},"born":{born},"running":[{running}],"finished":[{ends}]}}"#))
    }
}

// The world.

/// A service with its machines.
pub struct Pool {
    pub name: &'static str,
    pub machines: usize,
}

/// A queue.
pub struct Queue {
    pub name: &'static str,
    pub service: &'static str,
    pub attempts: u64,
}

pub const HOST: &str = "jobs.example";
pub const CORES: u64 = 64_000;

pub struct World {
    pub recorder: Arc<Recorder>,
    log: Log,
    lives: Mutex<Vec<Arc<Life>>>,
    rows: Mutex<Vec<Row>>,
    /// Processor need of the tasks of each job, for the judgement.
    pub needs: Mutex<HashMap<String, u64>>,
    numbers: AtomicU64,
    /// Whether the next start of a task gets no answer and is carried out late.
    hold_next: AtomicBool,
    /// The life whose start was held back, and what was held back.
    pub held: Mutex<Option<(Arc<Life>, String)>>,
    platform: Mutex<Option<Server>>,
}

impl World {
    pub fn start(recorder: Arc<Recorder>, pools: &[Pool], queues: &[Queue]) -> Arc<Self> {
        let world = Arc::new(Self {
            recorder,
            log: Log::default(),
            lives: Mutex::default(),
            rows: Mutex::default(),
            needs: Mutex::default(),
            numbers: AtomicU64::new(1),
            hold_next: AtomicBool::new(false),
            held: Mutex::new(None),
            platform: Mutex::new(None),
        });
        let shared = Arc::clone(&world);
        let server = Server::start("127.0.0.1:0", move |call| shared.serve(&call)).expect("a free port");
        *world.platform.lock().unwrap() = Some(server);
        let mut machine = 0;
        for pool in pools {
            for _ in 0..pool.machines {
                machine += 1;
                world.start_life(&format!("m-{machine:05x}"), pool.name, machine);
            }
        }
        let routes = queues.iter().map(|queue| {
            let Queue { name, service, attempts } = queue;
            format!(
                r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"{service}","maxAttempts":{attempts},"stretch":1.6}}"#
            )
        });
        let services = pools.iter().map(|pool| {
            let name = pool.name;
            format!(
                r#"{{"name":"{name}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":false,"standby":false}}"#
            )
        });
        let (routes, services) = (routes.collect::<Vec<_>>().join(","), services.collect::<Vec<_>>().join(","));
        let config = format!(
            r#"{{"version":7,"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        );
        world.log.put("keyed.op", "config", config.as_bytes());
        let ticking = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                for life in ticking.lives() {
                    if life.alive.load(Ordering::SeqCst) {
                        let mut state = life.state.lock().unwrap();
                        life.advance(&mut state, &ticking, Instant::now());
                    }
                }
            }
        });
        world
    }

    pub fn address(&self) -> SocketAddr {
        self.platform.lock().unwrap().as_ref().unwrap().address
    }

    fn serve(&self, call: &Call) -> Answer {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/log-append") => self.log.append(call, &self.recorder),
            ("GET", "/log-read") => self.log.read(call),
            ("GET", "/log-newest") => self.log.newest(call),
            ("GET", "/machines") => {
                let rows = self.lives().into_iter().filter(|life| life.alive.load(Ordering::SeqCst)).map(|life| {
                    format!(
                        r#"{{"machine":"{}","pool":"{}","state":"up","zone":"suva","labels":["a","{}"],"capacity":{{"cpu":{CORES},"memMb":131072,"gpu":0}},"id":"{}"}}"#,
                        life.machine, life.service, life.rack, life.id
                    )
                });
                let rows = rows.collect::<Vec<_>>().join(",");
                Answer::json(200, format!(r#"{{"machines":[{rows}],"nextToken":null}}"#))
            }
            _ => Answer::json(400, "{}"),
        }
    }

    pub fn lives(&self) -> Vec<Arc<Life>> {
        self.lives.lock().unwrap().clone()
    }

    /// Starts a new life of a machine, which registers itself and goes on doing so.
    pub fn start_life(self: &Arc<Self>, machine: &str, service: &str, number: usize) -> Arc<Life> {
        let id = format!("i-{:010x}", 0x4b_af95_97cd_u64 + self.numbers.fetch_add(1, Ordering::SeqCst) * 7_919);
        self.start_named(id, "127.0.0.1:0", machine, service, number)
    }

    /// Starts a life under an id and at an address.
    pub fn start_named(
        self: &Arc<Self>,
        id: String,
        address: &str,
        machine: &str,
        service: &str,
        number: usize,
    ) -> Arc<Life> {
        let life = Arc::new(Life {
            id,
            machine: machine.to_owned(),
            service: service.to_owned(),
            rack: format!("r1-{}", number / 4),
            born: unix_ms(),
            began: Instant::now(),
            alive: AtomicBool::new(true),
            cut: AtomicBool::new(false),
            server: Mutex::new(None),
            address: Mutex::new(None),
            state: Mutex::default(),
        });
        let (serving, world) = (Arc::clone(&life), Arc::clone(self));
        let server = Server::start(address, move |call| serving.serve(&world, &call)).expect("a free port");
        let address = server.address;
        *life.server.lock().unwrap() = Some(server);
        *life.address.lock().unwrap() = Some(address);
        self.lives.lock().unwrap().push(Arc::clone(&life));
        self.recorder.note(format!("{}: starts on {machine} for {service}", life.id));
        let (writing, world) = (Arc::clone(&life), Arc::clone(self));
        thread::spawn(move || {
            let mut sequence = 0;
            let mut written: Option<Instant> = None;
            while writing.alive.load(Ordering::SeqCst) {
                let cut = writing.cut.load(Ordering::SeqCst);
                let silent = written.map_or(Duration::MAX, |at| at.elapsed());
                if !cut && silent >= HEARTBEAT {
                    sequence += 1;
                    let clock = writing.clock(Instant::now());
                    let entry = world.entry(&writing, address, clock, sequence);
                    world.log.put("keyed.servers", &writing.id, entry.as_bytes());
                    written = Some(Instant::now());
                } else if cut && written.is_some() && silent >= HEARTBEAT * 3 {
                    // The store removes an entry after three intervals of silence.
                    world.log.put("keyed.servers", &writing.id, b"");
                    world.recorder.note(format!("{}: its entry has expired", writing.id));
                    written = None;
                    while writing.cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(HEARTBEAT * 3);
            let lives = world.lives();
            let mut others = lives.iter().filter(|life| life.id == writing.id);
            if !others.any(|life| life.alive.load(Ordering::SeqCst)) {
                world.log.put("keyed.servers", &writing.id, b"");
                world.recorder.note(format!("{}: its entry has expired", writing.id));
            }
        });
        life
    }

    fn entry(&self, life: &Life, address: SocketAddr, clock: u64, sequence: u64) -> String {
        let Life { service, rack, born, machine, .. } = life;
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"suva","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":{CORES},"memMb":131072,"gpu":0}},"labels":["a","{rack}"],"clockMs":{clock},"seq":{sequence},"born":{born},"machine":"{machine}"}}"#
        )
    }

    /// Writes an entry of the service list that no runner wrote.
    pub fn put_entry(&self, id: &str, entry: &str) {
        self.log.put("keyed.servers", id, entry.as_bytes());
        self.recorder.note(format!("another writer: servers/{id} = {entry}"));
    }

    /// Cuts a machine off from all others, or connects it again.
    pub fn cut(&self, life: &Life, cut: bool) {
        life.cut.store(cut, Ordering::SeqCst);
        self.recorder.note(format!("{}: {}", life.id, if cut { "is cut off" } else { "is connected again" }));
    }

    /// Lets the next start of a task get no answer. It is carried out late.
    pub fn hold_next_start(&self) {
        self.hold_next.store(true, Ordering::SeqCst);
    }

    /// Gives no answer to a start, and carries it out three seconds later, by whoever has the id and the address then.
    fn hold_back(self: &Arc<Self>, life: &Arc<Life>, call: &Call) -> Answer {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        self.recorder.note(format!("{}: a start gets no answer: {body}", life.id));
        *self.held.lock().unwrap() = Some((Arc::clone(life), body));
        let (world, id) = (Arc::clone(self), life.id.clone());
        let call = Call {
            method: call.method.clone(),
            path: call.path.clone(),
            query: HashMap::new(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        };
        thread::spawn(move || {
            thread::sleep(LATE);
            let lives = world.lives();
            let mut present = lives.iter().filter(|life| life.id == id && life.alive.load(Ordering::SeqCst));
            if let Some(life) = present.next() {
                let answer = life.execute(&world, &call);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                world.recorder.note(format!("{id}: the late start is carried out: {} {text}", answer.status));
            }
        });
        thread::sleep(Duration::from_secs(2));
        Answer::none()
    }

    /// Ends a life as a crash does: its connections end, and what it runs is gone.
    pub fn crash(&self, life: &Life) {
        let mut state = life.state.lock().unwrap();
        let now = Instant::now();
        life.advance(&mut state, self, now);
        life.alive.store(false, Ordering::SeqCst);
        for run in state.runs.drain(..) {
            self.end_row(run.row, now, "died");
        }
        drop(state);
        if let Some(server) = life.server.lock().unwrap().take() {
            server.end();
        }
        self.recorder.note(format!("{}: crashes", life.id));
    }

    fn begin_row(&self, life: &Life, task: &str, attempt: u64, now: Instant) -> usize {
        let job = task.split('.').next().unwrap_or_default();
        let cpu = self.needs.lock().unwrap().get(job).copied().unwrap_or(0);
        let mut rows = self.rows.lock().unwrap();
        rows.push(Row {
            task: task.to_owned(),
            attempt,
            runner: life.id.clone(),
            began: now,
            ended: None,
            how: "",
            cpu,
        });
        let index = rows.len() - 1;
        drop(rows);
        self.recorder.note(format!("{}: starts {task}#{attempt}", life.id));
        index
    }

    fn end_row(&self, index: usize, at: Instant, how: &'static str) {
        let mut rows = self.rows.lock().unwrap();
        let row = &mut rows[index];
        row.ended = Some(at);
        row.how = how;
        let text = format!("{}: {}#{} ends {how}", row.runner, row.task, row.attempt);
        drop(rows);
        self.recorder.note(text);
    }

    pub fn rows(&self) -> Vec<Row> {
        self.rows.lock().unwrap().clone()
    }

    /// Rows of the tasks of a job that run now.
    pub fn running(&self, job: &str) -> Vec<Row> {
        let rows = self.rows.lock().unwrap();
        rows.iter().filter(|row| row.ended.is_none() && row.task.starts_with(job)).cloned().collect()
    }

    /// Processor use of a service in thousandths of a core, and the largest free part of one of its runners.
    pub fn use_of(&self, service: &str) -> (u64, u64, u64) {
        let lives = self.lives();
        let lives = lives.iter().filter(|life| life.service == service && life.alive.load(Ordering::SeqCst));
        let rows = self.rows.lock().unwrap();
        let (mut used, mut whole, mut free) = (0, 0, 0);
        for life in lives {
            let runs = rows.iter().filter(|row| row.ended.is_none() && row.runner == life.id);
            let own: u64 = runs.map(|row| row.cpu).sum();
            used += own;
            whole += CORES;
            free = free.max(CORES.saturating_sub(own));
        }
        (used, whole, free)
    }
}

// The entries under test.

pub struct Entries {
    children: Vec<Child>,
    pub fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
}

impl Entries {
    /// Starts entries with the command of the deploy file, and waits until all are ready.
    pub fn start(world: &World, program: &Path, folder: &Path, count: usize) -> Option<Self> {
        let mut entries = Self { children: Vec::new(), fronts: Vec::new(), readies: Vec::new() };
        let platform = world.address();
        for index in 0..count {
            // Each entry has a loopback address of its own, so that no other process has its ports.
            let own = std::process::id();
            let ip = IpAddr::from([127, 16 + (own >> 8 & 127) as u8, own as u8, 1 + index as u8]);
            let (front, ready) = (SocketAddr::new(ip, 8_624), SocketAddr::new(ip, 8_622));
            let zone = ["suva", "lautoka", "nadi"][index % 3];
            let settings = format!(
                "node=frontend-{zone}-{number}\nrole=entry\nmachineClass=frontend\nserves=frontend,control\nip={ip}\n\
                 zone={zone}\nregion=fiji\nzones.suva=fiji\nzones.lautoka=fiji\nzones.nadi=fiji\n\
                 listen.front={front}\nlisten.ready={ready}\nlisten.control={ip}:8623\nportRange=7060,7075\nbootstrap=true\n\
                 limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\ndiscovery=platform\n\
                 entry=vip\nheartbeatMs=1500\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.graceS=6\n\
                 bounds.holdMaxMs=6000\nbounds.stopMs=900\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n\
                 bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\nbounds.migrateS=1.5\n\
                 bounds.maintenanceS=2\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\ncontrolMode=push\n\
                 platform.addr={platform}\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\n\
                 platform.parts=12\nplatform.appendMs=2.0\nplatform.recordBytes={RECORD_BYTES}\n\
                 platform.requestBytes={REQUEST_BYTES}\nplatform.keep_s=300\nplatform.partitionMb=200\n\
                 cloud.addr={platform}\ncloud.ratePerS=64.0\ncloud.dutyPerS=64.0\n",
                number = index / 3 + 1,
            );
            let path: PathBuf = folder.join(format!("entry-{index}.conf"));
            std::fs::write(&path, settings).ok()?;
            let output = File::create(folder.join(format!("entry-{index}.log"))).ok()?;
            let child = Command::new(program)
                .arg("--jobs")
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("SASSAFRASCRANK_NODE_FILE", &path)
                .stdin(Stdio::null())
                .stdout(output.try_clone().ok()?)
                .stderr(output)
                .spawn()
                .ok()?;
            let pids = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("pids"));
            let _ = writeln!(pids.ok()?, "{}", child.id());
            entries.children.push(child);
            entries.fronts.push(front);
            entries.readies.push(ready);
        }
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |address: &SocketAddr| {
                let answer = request(*address, "GET", HOST, "/ready", "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if entries.readies.iter().all(is_ready) {
                world.recorder.note(format!("all {count} entries are ready"));
                return Some(entries);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Tells whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A client, which repeats a request with the same id at the next entry until it has an answer.
pub struct Client<'a> {
    pub world: &'a World,
    pub fronts: &'a [SocketAddr],
}

impl Client<'_> {
    /// Hands a job in; true after a 2xx.
    pub fn submit(&self, queue: &str, id: &str, body: &str, cpu: u64) -> bool {
        self.world.needs.lock().unwrap().insert(id.to_owned(), cpu);
        for attempt in 0..8 {
            let front = self.fronts[attempt % self.fronts.len()];
            let answer = request(front, "POST", HOST, &format!("/{queue}/{id}"), body, Duration::from_secs(3));
            let status = answer.as_ref().map_or(0, |answer| answer.0);
            self.world.recorder.note(format!("client: POST /{queue}/{id} -> {status}"));
            match status {
                200..=299 => return true,
                400 | 404 => return false,
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// Asks for the state of a job: status and body of the first answer that is no refusal.
    pub fn state(&self, queue: &str, id: &str) -> Option<(u16, String)> {
        for attempt in 0..6 {
            let front = self.fronts[attempt % self.fronts.len()];
            let answer = request(front, "GET", HOST, &format!("/{queue}/{id}"), "", Duration::from_secs(3));
            if let Some((status, body)) = answer {
                self.world.recorder.note(format!("client: GET /{queue}/{id} -> {status} {body}"));
                if status == 200 || status == 410 {
                    return Some((status, body));
                }
            }
            thread::sleep(Duration::from_millis(150));
        }
        None
    }
}
