//! The platform's metadata store, with the limit of a record that the settings name; the list of machines; the advice service.

use crate::http::{Answer, Request, answer};
use crate::json::Json;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

pub const RECORD_BYTES: usize = 262_144;
pub const REQUEST_BYTES: usize = 2_097_152;
const APPEND_TIME: Duration = Duration::from_millis(2);
const ANSWER_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    results: VecDeque<(u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    append: Mutex<()>,
    /// Records that were refused because they are too long: their topic, key and length.
    pub refused: Mutex<Vec<(String, String, usize)>>,
    epochs: Mutex<u64>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .fold(0_u32, |value, &byte| value << 8 | u32::from(byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn split(record: &[u8]) -> (String, &[u8]) {
    let length = record.first().map_or(0, |&length| usize::from(length));
    let key = record.get(1..1 + length).unwrap_or_default();
    (
        String::from_utf8_lossy(key).into_owned(),
        record.get(1 + length..).unwrap_or_default(),
    )
}

pub fn record(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value.as_bytes());
    record
}

impl Store {
    /// Writes a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        push(
            topics.entry(topic.to_owned()).or_default(),
            record(key, value),
        );
        self.changed.notify_all();
    }

    /// Returns the number of epochs that producers have begun beside their first one.
    pub fn epochs(&self) -> u64 {
        *self.epochs.lock().unwrap()
    }

    pub fn handle(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(&request),
            ("GET", "/log-read") => self.read(&request),
            ("GET", "/log-newest") => self.newest(&request),
            _ => answer(400, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Answer {
        let name = request.query("topic").unwrap_or_default().to_owned();
        if matches!(name.as_str(), "keyed.op" | "keyed.servers") {
            return answer(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + length) else {
                return answer(400, "{}");
            };
            if length > RECORD_BYTES {
                self.refused
                    .lock()
                    .unwrap()
                    .push((name, split(record).0, length));
                return answer(400, "{\"detail\":\"a record is longer than recordBytes\"}");
            }
            records.push(record.to_vec());
            rest = &rest[4 + length..];
        }
        if request.body.len() > REQUEST_BYTES {
            return answer(
                400,
                "{\"detail\":\"the records are longer than requestBytes\"}",
            );
        }
        // A partition processes its appends one at a time.
        let turn = self.append.lock().unwrap();
        std::thread::sleep(APPEND_TIME);
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len() as u64;
        let at = request.query("at").and_then(|at| at.parse::<u64>().ok());
        if at.is_some_and(|at| at != end) {
            return answer(412, format!("{{\"end\":{end}}}"));
        }
        if let Some(name) = request.query("producer") {
            let number = |name| {
                request
                    .query(name)
                    .and_then(|text| text.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let (epoch, sequence) = (number("epoch"), number("seq"));
            let producer = topic.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return answer(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *self.epochs.lock().unwrap() += 1;
                *producer = Producer {
                    epoch,
                    next: sequence,
                    results: VecDeque::new(),
                };
            }
            if let Some((_, offset)) = producer
                .results
                .iter()
                .find(|(known, _)| *known == sequence)
            {
                return answer(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if sequence != producer.next {
                return answer(
                    409,
                    format!("{{\"reason\":\"seq\",\"expected\":{}}}", producer.next),
                );
            }
            producer.next += 1;
            producer.results.push_back((sequence, end));
            if producer.results.len() > 5 {
                producer.results.pop_front();
            }
        }
        for record in records {
            push(topic, record);
        }
        let last = topic.records.len();
        self.changed.notify_all();
        drop((topics, turn));
        std::thread::sleep(ANSWER_TIME);
        answer(200, format!("{{\"offset\":{end},\"end\":{last}}}"))
    }

    fn read(&self, request: &Request) -> Answer {
        let number = |name, default| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(default)
        };
        let name = request.query("topic").unwrap_or_default();
        let (from, limit) = (
            number("from", 0) as usize,
            number("maxKb", 1_024) as usize * 1_024,
        );
        let until = Instant::now() + Duration::from_millis(number("waitMs", 0).min(30_000));
        std::thread::sleep(ANSWER_TIME);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let now = Instant::now();
            if topic.records.len() > from || now >= until {
                let mut body = Vec::new();
                body.extend((topic.records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return answer(200, body);
            }
            topics = self.changed.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME);
        let mut topics = self.topics.lock().unwrap();
        let topic = topics
            .entry(request.query("topic").unwrap_or_default().to_owned())
            .or_default();
        let after = request.query("dependsOn").unwrap_or_default();
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in topic.newest.iter().filter(|(key, _)| key.as_str() > after) {
            if items.len() == 500 || (size + value.len() > 1 << 20 && !items.is_empty()) {
                more = true;
                break;
            }
            size += value.len();
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let end = topic.records.len();
        answer(
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":{more},\"end\":{end}}}",
                items.join(",")
            ),
        )
    }
}

fn push(topic: &mut Topic, record: Vec<u8>) {
    let offset = topic.records.len() as u64;
    let (key, value) = split(&record);
    match value.is_empty() {
        true => topic.newest.remove(&key),
        false => topic.newest.insert(key, (offset, value.to_vec())),
    };
    topic.records.push(record);
}

/// A ticket that the advice service has given.
#[derive(Clone)]
pub struct Ticket {
    pub phase: String,
    pub worker: String,
    pub given: Instant,
    pub ends: Instant,
}

/// The advice service: approves every worker that it is asked about.
#[derive(Default)]
pub struct Advice {
    tickets: Mutex<Vec<Ticket>>,
}

const VALID: Duration = Duration::from_secs(10);

impl Advice {
    /// Returns a ticket by its text.
    pub fn find(&self, text: &str) -> Option<Ticket> {
        let number: usize = text.strip_prefix("t-")?.parse().ok()?;
        self.tickets.lock().unwrap().get(number).cloned()
    }

    /// Number of tickets that were given.
    pub fn given(&self) -> usize {
        self.tickets.lock().unwrap().len()
    }

    pub fn handle(&self, request: Request) -> Answer {
        let Some(body) = Json::read(&request.body) else {
            return answer(400, "{}");
        };
        let phase = body.get("phase").text().unwrap_or_default().to_owned();
        let workers: Vec<&str> = body
            .get("workers")
            .list()
            .iter()
            .filter_map(Json::text)
            .collect();
        if request.path != "/advise" || workers.len() > 100 {
            return answer(400, "{}");
        }
        std::thread::sleep(Duration::from_millis(20 + 2 * workers.len() as u64));
        let (mut rows, given) = (Vec::new(), Instant::now());
        let mut tickets = self.tickets.lock().unwrap();
        for worker in workers {
            rows.push(format!("[\"{worker}\",\"t-{}\"]", tickets.len()));
            tickets.push(Ticket {
                phase: phase.clone(),
                worker: worker.to_owned(),
                given,
                ends: given + VALID,
            });
        }
        answer(
            200,
            format!(
                "{{\"approved\":[{}],\"validMs\":{}}}",
                rows.join(","),
                VALID.as_millis()
            ),
        )
    }
}
