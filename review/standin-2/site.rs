//! A small deployment for the scripts of this review: the platform's store and host service, runners, clients, and the
//! entry processes of the project, all on loopback addresses and the real clock. Standard library only.
//!
//! `site SCENARIO ENTRY_PROGRAM RECORD_FILE`; the variable TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run. With REVIEW_LOG=PREFIX the entries' logs are kept.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Self::space(text, &mut at);
        (at == text.len()).then_some(value)
    }
    fn space(t: &[u8], at: &mut usize) {
        while *at < t.len() && t[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(t: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(t, at);
        match *t.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Self::space(t, at);
                    match *t.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(key) = Self::value(t, at)? else {
                                return None;
                            };
                            Self::space(t, at);
                            if *t.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            let value = Self::value(t, at)?;
                            map.insert(key, value);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(t, at);
                    match *t.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(t, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *t.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Str(String::from_utf8(out).ok()?));
                        }
                        b'\\' => {
                            *at += 1;
                            match *t.get(*at)? {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'b' => out.push(8),
                                b'f' => out.push(12),
                                b'u' => {
                                    let hex = std::str::from_utf8(t.get(*at + 1..*at + 5)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    *at += 4;
                                    let c = char::from_u32(code).unwrap_or('?');
                                    out.extend_from_slice(c.to_string().as_bytes());
                                }
                                other => out.push(other),
                            }
                            *at += 1;
                        }
                        other => {
                            out.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' if t[*at..].starts_with(b"true") => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' if t[*at..].starts_with(b"false") => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' if t[*at..].starts_with(b"null") => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < t.len() && matches!(t[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                    *at += 1;
                }
                let text = std::str::from_utf8(&t[from..*at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }
    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Num(n) => Some(*n as u64),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Str(s) => Some(s),
            _ => None,
        }
    }
}

fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(data.len() * 4 / 3 + 4);
    for chunk in data.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 0 {
            if let Ok(b) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(b);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let method = parts.next()?.to_owned();
    let target = parts.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), percent_decode(v)))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

pub type Answer = (u16, Vec<u8>);

fn json_answer(status: u16, text: String) -> Answer {
    (status, text.into_bytes())
}

type Handler = Arc<dyn Fn(Request) -> Option<Answer> + Send + Sync>;

/// Serves a listener with a thread for each connection.
fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

/// Serves a connection. `None` from the handler leaves the request without an answer, and the connection with it.
fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            // The caller gives up by itself, and then closes the connection.
            let _ = reader.read_to_end(&mut Vec::new());
            return;
        };
        let mut out = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(&body);
        if writer.write_all(&out).is_err() {
            return;
        }
    }
}

/// Serves a runner's port while its process lives: a runner that has crashed refuses connections.
fn serve_runner(machine: Arc<Machine>, first: TcpListener, handler: Handler) {
    thread::spawn(move || {
        let mut listener = Some(first);
        loop {
            let lives = lock(&machine.life).is_some();
            match (&listener, lives) {
                (Some(open), true) => {
                    let _ = open.set_nonblocking(true);
                    match open.accept() {
                        Ok((stream, _)) => {
                            let _ = stream.set_nonblocking(false);
                            if let Ok(copy) = stream.try_clone() {
                                lock(&machine.streams).push(copy);
                            }
                            let handler = Arc::clone(&handler);
                            thread::spawn(move || serve_connection(stream, &handler));
                        }
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
                (Some(_), false) => listener = None,
                (None, true) => listener = TcpListener::bind(&machine.addr).ok(),
                (None, false) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

/// A client's call on a connection of its own. Returns the status and the body, or `None` without an answer in time.
fn call(addr: &str, method: &str, path: &str, host: &str, body: &str, wait_ms: u64) -> Option<(u16, String)> {
    let target = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms)));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Sassafrascrank-Deadline-Ms: {wait_ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(l) = line.strip_prefix("content-length:") {
            length = l.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ---------------------------------------------------------------- the store

const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const KEEP: Duration = Duration::from_secs(20);
const APPEND_TIME: Duration = Duration::from_millis(2);

struct Row {
    key: Vec<u8>,
    raw: Vec<u8>,
    at: Instant,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    first: u64,
    rows: std::collections::VecDeque<Row>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.rows.len() as u64
    }
    fn push(&mut self, raw: Vec<u8>) {
        let length = usize::from(raw[0]).min(raw.len() - 1);
        let key = raw[1..1 + length].to_vec();
        let value = raw[1 + length..].to_vec();
        let offset = self.end();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key.clone(), (offset, value));
        }
        self.rows.push_back(Row { key, raw, at: Instant::now() });
        while self.rows.front().is_some_and(|row| row.at.elapsed() > KEEP) {
            self.rows.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Sizes and keys of records that were refused because they are larger than `recordBytes`.
    refused: Mutex<BTreeMap<String, (u64, usize)>>,
    largest: Mutex<BTreeMap<String, usize>>,
}

impl Store {
    fn publish(&self, topic: &str, key: &str, value: &str) {
        let mut raw = vec![key.len() as u8];
        raw.extend_from_slice(key.as_bytes());
        raw.extend_from_slice(value.as_bytes());
        lock(&self.topics).entry(topic.to_owned()).or_default().push(raw);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        let text = |name: &str| request.query.get(name).cloned();
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let topic = text("topic").unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return json_answer(403, "{}".into());
                }
                let Some(rows) = self.rows(&request.body) else {
                    return json_answer(400, "{\"reason\":\"size\"}".into());
                };
                thread::sleep(APPEND_TIME);
                let mut topics = lock(&self.topics);
                let state = topics.entry(topic).or_default();
                let producer = text("producer").map(|name| {
                    (name, number("epoch").unwrap_or(0), number("seq").unwrap_or(0))
                });
                if let Some((name, epoch, seq)) = &producer {
                    let known = state.producers.entry(name.clone()).or_default();
                    if *epoch < known.epoch {
                        return json_answer(409, "{\"reason\":\"fenced\"}".into());
                    }
                    if *epoch > known.epoch {
                        known.epoch = *epoch;
                        known.next = None;
                        known.last.clear();
                    }
                    if let Some((_, answer)) = known.last.iter().find(|(s, _)| s == seq) {
                        return json_answer(200, answer.clone());
                    }
                    if let Some(next) = known.next
                        && next != *seq
                    {
                        return json_answer(409, format!("{{\"reason\":\"seq\",\"expected\":{next}}}"));
                    }
                }
                let offset = state.end();
                for raw in rows {
                    state.push(raw);
                }
                let answer = format!("{{\"offset\":{offset},\"end\":{}}}", state.end());
                if let Some((name, _, seq)) = producer {
                    let known = state.producers.entry(name).or_default();
                    known.next = Some(seq + 1);
                    known.last.push((seq, answer.clone()));
                    if known.last.len() > 5 {
                        known.last.remove(0);
                    }
                }
                drop(topics);
                self.changed.notify_all();
                json_answer(200, answer)
            }
            ("GET", "/log-read") => {
                let from = number("from").unwrap_or(0);
                let limit = number("maxKb").unwrap_or(1_024) as usize * 1_024;
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let mut topics = lock(&self.topics);
                loop {
                    let state = topics.entry(topic.clone()).or_default();
                    if from < state.first {
                        return json_answer(410, format!("{{\"first\":{}}}", state.first));
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if from < state.end() || left.is_zero() {
                        let mut body = Vec::new();
                        body.extend_from_slice(&state.end().to_be_bytes());
                        body.extend_from_slice(&state.first.to_be_bytes());
                        let mut any = false;
                        for row in state.rows.iter().skip((from - state.first) as usize) {
                            if any && body.len() + row.raw.len() + 4 > limit {
                                break;
                            }
                            any = true;
                            body.extend_from_slice(&(row.raw.len() as u32).to_be_bytes());
                            body.extend_from_slice(&row.raw);
                            let _ = &row.key;
                        }
                        return (200, body);
                    }
                    topics = self
                        .changed
                        .wait_timeout(topics, left)
                        .map(|r| r.0)
                        .unwrap_or_else(|e| e.into_inner().0);
                }
            }
            ("GET", "/log-newest") => {
                let mut topics = lock(&self.topics);
                let state = topics.entry(topic).or_default();
                let after = text("dependsOn").map(String::into_bytes);
                let (mut items, mut size, mut more) = (Vec::new(), 0, false);
                for (key, (offset, value)) in &state.newest {
                    if after.as_ref().is_some_and(|after| key <= after) {
                        continue;
                    }
                    if items.len() == 500 || (size > 0 && size + value.len() > 1 << 20) {
                        more = true;
                        break;
                    }
                    size += value.len();
                    items.push(format!(
                        "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        String::from_utf8_lossy(key),
                        base64(value)
                    ));
                }
                let text = format!("{{\"items\":[{}],\"hasMore\":{more},\"end\":{}}}", items.join(","), state.end());
                json_answer(200, text)
            }
            _ => json_answer(404, "{}".into()),
        }
    }

    /// Splits the body of an append; `None` if a record or the whole is larger than the settings allow.
    fn rows(&self, body: &[u8]) -> Option<Vec<Vec<u8>>> {
        let (mut rest, mut rows, mut total) = (body, Vec::new(), 0);
        while !rest.is_empty() {
            let length = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
            let row = rest.get(4..4 + length)?;
            rest = &rest[4 + length..];
            total += length;
            let key_length = usize::from(*row.first()?);
            let key = String::from_utf8_lossy(row.get(1..1 + key_length)?).into_owned();
            let kind: String = key.chars().take(1).collect();
            let mut largest = lock(&self.largest);
            let known = largest.entry(kind).or_default();
            *known = (*known).max(length);
            drop(largest);
            if length > RECORD_BYTES {
                let mut refused = lock(&self.refused);
                let entry = refused.entry(key).or_default();
                entry.0 += 1;
                entry.1 = entry.1.max(length);
                return None;
            }
            rows.push(row.to_vec());
        }
        (total <= REQUEST_BYTES).then_some(rows)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---------------------------------------------------------------- runners

const STOP_MS: u64 = 300;
const HOLD_MAX_MS: u64 = 6_000;
const BEAT: Duration = Duration::from_millis(1_500);

struct Run {
    task: String,
    attempt: u64,
    spec: String,
    began: Instant,
    /// How long it works; `None` if it lasts.
    work: Option<Duration>,
    stop_at: Option<Instant>,
    cpu: u64,
}

/// A run from its start to its end, as the runner saw it.
#[derive(Clone, Debug)]
pub struct Past {
    pub task: String,
    pub attempt: u64,
    pub began: Duration,
    pub ended: Duration,
    pub how: &'static str,
    pub runner: String,
}

struct Life {
    id: String,
    born: u64,
    start: Instant,
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    /// Ends up to this number were followed by the end of the lease before they were taken note of.
    lapsed_to: u64,
    number: u64,
    past: HashMap<String, u64>,
}

struct Machine {
    name: String,
    pool: Mutex<String>,
    moving: Mutex<bool>,
    rack: String,
    kind: String,
    zone: String,
    addr: String,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    /// Open connections, which end with the runner's process.
    streams: Mutex<Vec<TcpStream>>,
}

struct Site {
    start: Instant,
    store: Store,
    machines: Vec<Arc<Machine>>,
    past: Mutex<Vec<Past>>,
    /// First start of each task of a job, by job id.
    begun: Mutex<HashMap<String, Duration>>,
    record: Mutex<File>,
    lives: Mutex<u64>,
    /// Job whose first start is held up, and the order once it came.
    hold_up: Mutex<Option<String>>,
    /// Tasks of which a run has ended done that was taken note of, and starts of them after that.
    noted: Mutex<HashMap<String, String>>,
    again: Mutex<Vec<String>>,
    held_up: Mutex<Option<(Arc<Machine>, Request)>>,
}

const CPU: u64 = 64_000;
const MEMORY: u64 = 128_000;

/// Work of a task: `ms=N` in the specification, without which it lasts; `cpu=N` for the runner's own books. With `fails`
/// its runs end failed.
fn work_of(spec: &str) -> (Option<Duration>, u64) {
    let field = |name: &str| {
        spec.split_whitespace().find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
    };
    (field("ms=").map(Duration::from_millis), field("cpu=").unwrap_or(100))
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }
}

impl Site {
    fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = lock(&self.record);
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Ends what is over at a runner.
    fn advance(&self, machine: &Machine, life: &mut Life) -> bool {
        let clock = life.clock();
        let lapsed = clock >= life.lease_ms;
        if lapsed {
            life.lapsed_to = life.number;
        }
        let mut changed = false;
        let mut index = 0;
        while index < life.runs.len() {
            let run = &life.runs[index];
            let how = match run {
                run if run.work.is_some_and(|w| run.began.elapsed() >= w) => match run.spec.contains("fails") {
                    true => "failed",
                    false => "done",
                },
                run if run.stop_at.is_some_and(|at| Instant::now() >= at) => "stopped",
                _ if lapsed => "lapsed",
                _ => {
                    index += 1;
                    continue;
                }
            };
            let run = life.runs.remove(index);
            life.number += 1;
            life.ends.push((life.number, run.task.clone(), run.attempt, how));
            let known = life.past.entry(run.task.clone()).or_default();
            *known = (*known).max(run.attempt);
            self.keep(machine, life, &run, how);
            changed = true;
        }
        changed
    }

    fn keep(&self, machine: &Machine, life: &Life, run: &Run, how: &'static str) {
        let _ = machine;
        if !run.spec.contains("quiet") {
            self.note(&format!("runner {}: {} attempt {} ended {how}", life.id, run.task, run.attempt));
        }
        lock(&self.past).push(Past {
            task: run.task.clone(),
            attempt: run.attempt,
            began: run.began.duration_since(self.start),
            ended: self.start.elapsed(),
            how,
            runner: life.id.clone(),
        });
    }

    fn runner_call(&self, machine: &Machine, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = lock(&machine.life);
        {
            let life = guard.as_mut()?;
            if let Some(expected) = request.headers.get("x-sassafrascrank-expect-instance")
                && *expected != life.id
            {
                return Some(json_answer(421, "{}".into()));
            }
            self.advance(machine, life);
            let fence = body.num("fence").unwrap_or(0);
            let clock = life.clock();
            if fence < life.fence {
                return Some(json_answer(409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}")));
            }
            life.fence = fence;
            let lease = |life: &mut Life| {
                if let Some(until) = body.num("untilMs") {
                    life.lease_ms = life.lease_ms.max(until.min(clock + HOLD_MAX_MS));
                }
            };
            let task = body.text("task").unwrap_or_default().to_owned();
            let attempt = body.num("attempt").unwrap_or(0);
            let plain = Some(json_answer(200, format!("{{\"clockMs\":{clock}}}")));
            let refuse = |reason: &str| {
                Some(json_answer(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}")))
            };
            match request.path.as_str() {
                "/run-start" => {
                    if life.runs.iter().any(|r| r.task == task && r.attempt == attempt) {
                        lease(life);
                        return plain;
                    }
                    if body.num("untilMs").unwrap_or(0) <= clock {
                        return refuse("late");
                    }
                    lease(life);
                    if life.past.get(&task).is_some_and(|&past| attempt <= past) {
                        return refuse("old");
                    }
                    let spec = body.text("spec").unwrap_or_default().to_owned();
                    let (work, cpu) = work_of(&spec);
                    let job = task.split('.').next().unwrap_or_default().to_owned();
                    if let Some(by) = lock(&self.noted).get(&task) {
                        let text = format!("{task} attempt {attempt} starts at {} though a run of it has ended done at {by}, which was taken note of", life.id);
                        self.note(&text);
                        lock(&self.again).push(text);
                    }
                    lock(&self.begun).entry(job).or_insert_with(|| self.start.elapsed());
                    if !spec.contains("quiet") {
                        self.note(&format!("runner {} starts {task} attempt {attempt}", life.id));
                    }
                    life.runs.push(Run { task, attempt, spec, began: Instant::now(), work, stop_at: None, cpu });
                    machine.changed.notify_all();
                    return plain;
                }
                "/run-stop" => {
                    let at = Instant::now() + Duration::from_millis(STOP_MS);
                    match life.runs.iter_mut().find(|r| r.task == task && r.attempt == attempt) {
                        Some(run) => {
                            run.stop_at.get_or_insert(at);
                        }
                        None => {
                            let known = life.past.entry(task).or_default();
                            *known = (*known).max(attempt);
                        }
                    }
                    machine.changed.notify_all();
                    return plain;
                }
                "/pace" => return plain,
                "/hold" => {
                    lease(life);
                    let cursor = body.num("ackCursor").unwrap_or(0);
                    for end in life.ends.iter().filter(|end| end.0 <= cursor && end.3 == "done") {
                        if end.0 > life.lapsed_to {
                            lock(&self.noted).insert(end.1.clone(), life.id.clone());
                        }
                    }
                    life.ends.retain(|end| end.0 > cursor);
                }
                _ => return Some(json_answer(404, "{}".into())),
            }
        }
        // A hold waits for an end.
        let id = guard.as_ref()?.id.clone();
        let until = Instant::now() + Duration::from_millis(body.num("waitMs").unwrap_or(0).min(2_000));
        loop {
            let life = guard.as_mut()?;
            if life.id != id {
                return None;
            }
            self.advance(machine, life);
            let left = until.saturating_duration_since(Instant::now());
            if !life.ends.is_empty() || left.is_zero() {
                let running: Vec<String> = life
                    .runs
                    .iter()
                    .map(|r| {
                        let percent = match r.work {
                            None => 100,
                            Some(w) => (r.began.elapsed().as_millis() * 100 / w.as_millis().max(1)).min(99),
                        };
                        format!("[\"{}\",{},\"\",{percent},{}]", r.task, r.attempt, r.cpu)
                    })
                    .collect();
                let ends: Vec<String> = life
                    .ends
                    .iter()
                    .take(500)
                    .map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.0, e.1, e.2, e.3))
                    .collect();
                let text = format!(
                    "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                    life.clock(),
                    life.born,
                    running.join(","),
                    ends.join(",")
                );
                return Some(json_answer(200, text));
            }
            guard = machine
                .changed
                .wait_timeout(guard, left.min(Duration::from_millis(5)))
                .map(|r| r.0)
                .unwrap_or_else(|e| e.into_inner().0);
        }
    }

    fn register(&self, machine: &Machine) {
        let guard = lock(&machine.life);
        let Some(life) = guard.as_ref() else { return };
        let value = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{},\"born\":{},\"capacity\":{{\"cpu\":{CPU},\"memMb\":{MEMORY},\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"machine\":\"{}\",\"clockMs\":{}}}",
            lock(&machine.pool), machine.addr, machine.zone, life.clock() / 1_500, life.born, machine.kind, machine.rack, machine.name, life.clock()
        );
        let id = life.id.clone();
        drop(guard);
        self.store.publish("keyed.servers", &id, &value);
    }

    /// Starts the runner of a machine, under a new id unless one is given.
    fn boot(&self, machine: &Machine, id: Option<String>) {
        let number = {
            let mut lives = lock(&self.lives);
            *lives += 1;
            *lives
        };
        let life = Life {
            id: id.unwrap_or_else(|| format!("w{number:04}-{}", machine.name)),
            born: unix_ms(),
            start: Instant::now(),
            fence: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            lapsed_to: 0,
            number: 0,
            past: HashMap::new(),
        };
        *lock(&machine.life) = Some(life);
        self.register(machine);
    }

    /// Ends a runner without notice, and all that runs on it. Its entry expires after three heartbeats.
    fn crash(self: &Arc<Self>, machine: &Arc<Machine>, back_with_id: bool) -> String {
        let Some(mut life) = lock(&machine.life).take() else { return String::new() };
        for stream in lock(&machine.streams).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.advance(machine, &mut life);
        for run in std::mem::take(&mut life.runs) {
            self.keep(machine, &life, &run, "died");
        }
        machine.changed.notify_all();
        let (site, id) = (Arc::clone(self), life.id.clone());
        self.note(&format!("runner {id} has crashed"));
        if !back_with_id {
            thread::spawn(move || {
                thread::sleep(BEAT * 3);
                site.store.publish("keyed.servers", &id, "");
            });
        }
        life.id
    }

    /// Moves a machine to another pool, which ends its runner.
    fn relocate(self: &Arc<Self>, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.text("machine").unwrap_or_default();
        let pool = body.text("pool").unwrap_or_default().to_owned();
        let Some(machine) = self.machines.iter().find(|m| m.name == name) else {
            return json_answer(400, "{}".into());
        };
        if *lock(&machine.pool) == pool {
            return json_answer(200, "{}".into());
        }
        if std::mem::replace(&mut *lock(&machine.moving), true) {
            return json_answer(409, "{\"reason\":\"busy\"}".into());
        }
        self.note(&format!("machine {name} moves to {pool}"));
        let old = self.crash(machine, true);
        if !old.is_empty() {
            self.store.publish("keyed.servers", &old, "");
        }
        *lock(&machine.pool) = pool.clone();
        let (site, machine) = (Arc::clone(self), Arc::clone(machine));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1_500));
            *lock(&machine.moving) = false;
            if pool != "backoffice" {
                site.boot(&machine, None);
            }
        });
        json_answer(200, "{}".into())
    }

    fn machines_list(&self) -> String {
        let rows: Vec<String> = self
            .machines
            .iter()
            .map(|m| {
                let life = lock(&m.life);
                let id = life.as_ref().map_or("", |l| l.id.as_str());
                let state = if *lock(&m.moving) { "moving" } else { "up" };
                format!(
                    "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"{}\",\"labels\":[\"{}\",\"{}\"],\"capacity\":{{\"cpu\":{CPU},\"memMb\":{MEMORY},\"gpu\":0}},\"id\":\"{id}\"}}",
                    m.name, lock(&m.pool), m.zone, m.kind, m.rack
                )
            })
            .collect();
        format!("{{\"machines\":[{}],\"nextToken\":\"\"}}", rows.join(","))
    }

    /// Share of a pool's processors that is in use, in percent, by the specifications of what runs.
    fn used_percent(&self, pool: &str) -> u64 {
        let (mut used, mut all) = (0, 0);
        for machine in self.machines.iter().filter(|m| *lock(&m.pool) == pool) {
            let mut guard = lock(&machine.life);
            let Some(life) = guard.as_mut() else { continue };
            self.advance(machine, life);
            all += CPU;
            used += life.runs.iter().map(|r| r.cpu).sum::<u64>();
        }
        used * 100 / all.max(1)
    }

    fn is_running(&self, job: &str) -> bool {
        self.machines.iter().any(|machine| {
            let mut guard = lock(&machine.life);
            let Some(life) = guard.as_mut() else { return false };
            self.advance(machine, life);
            life.runs.iter().any(|r| r.task.starts_with(job))
        })
    }
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no port: {e}")))
}

fn cannot_run(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    end_processes();
    exit(2)
}

/// The entry processes, and the folder of their settings.
static STARTED: Mutex<(Vec<Child>, Option<std::path::PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that were started, and removes their settings.
fn end_processes() {
    let mut started = lock(&STARTED);
    for child in &mut started.0 {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.0.clear();
    if let Some(folder) = started.1.take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

// ---------------------------------------------------------------- the deployment

struct Entries {
    fronts: Vec<String>,
}

/// Pools and queues: each queue has the name of its pool, and is reached at `Host: jobs.example`, path `/POOL/`.
const POOLS: [(&str, usize); 3] = [("quoting", 10), ("designer", 5), ("backoffice", 6)];
const ZONES: [&str; 3] = ["suva", "lautoka", "nadi"];
const HOST: &str = "jobs.example";
/// Failed runs after which a task is given up; the sites have 2 to 4.
const MAX_ATTEMPTS: u16 = 4;

/// With `spare`, the machines of backoffice are off until they are moved to another service.
fn build_site(spare: bool, record: File) -> (Arc<Site>, String) {
    let mut machines = Vec::new();
    let mut listeners = Vec::new();
    let mut index = 0;
    for (pool, count) in POOLS {
        for number in 0..count {
            let listener = free_listener();
            let addr = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
            machines.push(Arc::new(Machine {
                name: format!("{pool}-{number}"),
                pool: Mutex::new(pool.to_owned()),
                moving: Mutex::new(false),
                rack: format!("r{}", index / 4),
                kind: if index == 0 { "k64b" } else { "k64a" }.to_owned(),
                zone: ZONES[index % 3].to_owned(),
                addr,
                life: Mutex::new(None),
                changed: Condvar::new(),
                streams: Mutex::default(),
            }));
            listeners.push(listener);
            index += 1;
        }
    }
    let site = Arc::new(Site {
        start: Instant::now(),
        store: Store::default(),
        machines,
        past: Mutex::default(),
        begun: Mutex::default(),
        record: Mutex::new(record),
        lives: Mutex::new(0),
        hold_up: Mutex::default(),
        noted: Mutex::default(),
        again: Mutex::default(),
        held_up: Mutex::default(),
    });
    let routes: Vec<String> = POOLS[..2]
        .iter()
        .map(|(pool, _)| {
            format!("{{\"name\":\"{pool}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{pool}/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":0,\"service\":\"{pool}\",\"maxAttempts\":{MAX_ATTEMPTS},\"stretch\":1.6}}")
        })
        .collect();
    let services: Vec<String> =
        POOLS.iter().map(|(pool, _)| format!("{{\"name\":\"{pool}\",\"admissionCheck\":false,\"standby\":{}}}", spare && *pool == "backoffice")).collect();
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{}}}}",
        routes.join(","),
        services.join(",")
    );
    site.store.publish("keyed.op", "config", &config);
    for (machine, listener) in site.machines.iter().zip(listeners) {
        let (of_site, of_machine) = (Arc::clone(&site), Arc::clone(machine));
        if !spare || *lock(&machine.pool) != "backoffice" {
            site.boot(machine, None);
        }
        serve_runner(
            Arc::clone(machine),
            listener,
            Arc::new(move |request| {
                if request.path == "/run-start" {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    let mut held = lock(&of_site.hold_up);
                    if held.as_ref().is_some_and(|job| text.contains(job.as_str())) {
                        *held = None;
                        drop(held);
                        of_site.note(&format!("the start is held up on its way to {}: {text}", of_machine.name));
                        *lock(&of_site.held_up) = Some((Arc::clone(&of_machine), request));
                        return None;
                    }
                }
                of_site.runner_call(&of_machine, &request)
            }),
        );
    }
    let beating = Arc::clone(&site);
    thread::spawn(move || {
        loop {
            thread::sleep(BEAT);
            for machine in &beating.machines {
                beating.register(machine);
            }
        }
    });
    let listener = free_listener();
    let platform = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let serving = Arc::clone(&site);
    serve(
        listener,
        Arc::new(move |request| {
            if request.path == "/machines" {
                return Some(json_answer(200, serving.machines_list()));
            }
            if request.path == "/machine-move" {
                return Some(serving.relocate(&request));
            }
            if request.path.starts_with("/machine-") {
                return Some(json_answer(409, "{\"reason\":\"busy\"}".into()));
            }
            Some(serving.store.handle(&request))
        }),
    );
    (site, platform)
}

fn start_entries(program: &str, platform: &str, log: Option<&str>) -> Entries {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("no folder: {e}")));
    lock(&STARTED).1 = Some(folder.clone());
    let mut entries = Entries { fronts: Vec::new() };
    for (number, zone) in ZONES.iter().enumerate() {
        let held: Vec<TcpListener> = (0..5).map(|_| free_listener()).collect();
        let ports: Vec<u16> = held.iter().map(|l| l.local_addr().map_or(0, |a| a.port())).collect();
        drop(held);
        let text = format!(
            "node=frontend-{zone}-1\nrole=entry\nmachineClass=frontend\nserves=frontend,control\nip=127.0.0.1\nzone={zone}\nregion=fiji\nzones.suva=fiji\nzones.lautoka=fiji\nzones.nadi=fiji\nlisten.front=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\nlisten.control=127.0.0.1:{}\nportRange={},{}\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\ndiscovery=platform\nentry=vip\nheartbeatMs=1500\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.graceS=6\nbounds.holdMaxMs=6000\nbounds.stopMs=900\nbounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\nbounds.migrateS=1.5\nbounds.maintenanceS=2\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\ncontrolMode=push\nplatform.addr={platform}\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\nplatform.appendMs=2.0\nplatform.recordBytes={RECORD_BYTES}\nplatform.requestBytes={REQUEST_BYTES}\nplatform.keep_s=20\ncloud.addr={platform}\ncloud.ratePerS=64.0\ncloud.dutyPerS=64.0\n",
            ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        let file = folder.join(format!("entry-{number}.conf"));
        std::fs::write(&file, text).unwrap_or_else(|e| cannot_run(&format!("no settings: {e}")));
        let output = log.and_then(|log| File::create(format!("{log}-{number}.log")).ok());
        let output = output.map_or_else(Stdio::null, Stdio::from);
        let child = Command::new(program)
            .arg("--jobs")
            .env("SASSAFRASCRANK_NODE_FILE", &file)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")));
        // For the script, which ends the entries if this program is killed.
        if let Some(path) = std::env::var_os("REVIEW_PIDS")
            && let Ok(mut pids) = std::fs::OpenOptions::new().append(true).open(path)
        {
            let _ = writeln!(pids, "{}", child.id());
        }
        lock(&STARTED).0.push(child);
        entries.fronts.push(format!("127.0.0.1:{}", ports[0]));
    }
    entries
}

/// Hands a job in as a client does: until it is accepted, at one entry after the other, four more times at most.
fn submit(site: &Site, entries: &Entries, queue: &str, id: &str, body: &str) -> bool {
    let first = usize::from(id.as_bytes()[15]);
    for attempt in 0..5 {
        let front = &entries.fronts[(first + attempt) % entries.fronts.len()];
        let answer = call(front, "POST", &format!("/{queue}/{id}"), HOST, body, 3_000);
        let status = answer.as_ref().map_or(0, |a| a.0);
        site.note(&format!("POST /{queue}/{id} at entry {} -> {status}", (first + attempt) % entries.fronts.len()));
        if (200..300).contains(&status) {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

fn state(site: &Site, entries: &Entries, queue: &str, id: &str) -> String {
    for front in &entries.fronts {
        if let Some((200, body)) = call(front, "GET", &format!("/{queue}/{id}"), HOST, "", 3_000) {
            let state = Json::parse(body.as_bytes()).and_then(|b| b.text("state").map(str::to_owned));
            let state = state.unwrap_or_default();
            site.note(&format!("GET /{queue}/{id} -> {state}"));
            return state;
        }
    }
    "no answer".to_owned()
}

fn wait_until_ready(site: &Site, entries: &Entries) {
    let from = Instant::now();
    let mut number = 0;
    while from.elapsed() < Duration::from_secs(20) {
        let id = format!("{:016x}", 0xaaaa_0000_0000_0000_u64 + number);
        number += 1;
        let body = "{\"spec\":\"ms=50 cpu=100\",\"phases\":[{\"count\":1,\"cpu\":100,\"memMb\":64,\"estimateMs\":50}]}";
        if submit(site, entries, "quoting", &id, body) {
            let accepted = Instant::now();
            while accepted.elapsed() < Duration::from_secs(10) {
                if state(site, entries, "quoting", &id) == "done" {
                    return;
                }
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
    cannot_run("the entries don't run a first job");
}

include!("scenarios.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() < 4 {
        cannot_run("usage: site SCENARIO ENTRY_PROGRAM RECORD_FILE");
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = File::create(&arguments[3]).unwrap_or_else(|e| cannot_run(&format!("no record: {e}")));
    let (site, platform) = build_site(arguments[1] == "crash-loop", file);
    let log = std::env::var("REVIEW_LOG").ok();
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(117));
        cannot_run("it takes too long");
    });
    let entries = start_entries(&arguments[2], &platform, log.as_deref());
    site.note(&format!("scenario {} trouble {trouble}", arguments[1]));
    wait_until_ready(&site, &entries);
    let broken = scenario(&arguments[1], &site, &entries, trouble);
    site.note(if broken { "the rule was broken" } else { "the rule held" });
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    end_processes();
    exit(i32::from(broken));
}
