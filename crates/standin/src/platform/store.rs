//! Streams and host lists in memory.

use super::faults::Faults;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Number of host lists kept, for the lag and for responses with only the changes.
const MAX_LISTS: usize = 64;

/// A host in the host list.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Address of the upstream process.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Number that increases with each start of the host.
    pub incarnation: u64,
}

/// One version of the host list.
struct List {
    set_at: Instant,
    version: u64,
    hosts: Vec<Host>,
}

#[derive(Default)]
struct Stream {
    end: u64,
    records: VecDeque<String>,
}

pub(super) struct Store {
    pub(super) faults: Faults,
    pub(super) appends: u64,
    retention: usize,
    streams: HashMap<String, Stream>,
    /// Version of the newest list.
    version: u64,
    lists: VecDeque<List>,
    random: StdRng,
}

impl Store {
    pub(super) fn new(retention: usize, seed: u64) -> Self {
        // Versions start at the current time, so that no version is reused for another list after a restart.
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let version = epoch.map_or(0, |time| u64::try_from(time.as_micros()).unwrap_or(0));
        Self {
            faults: Faults::default(),
            appends: 0,
            retention,
            streams: HashMap::new(),
            version,
            lists: VecDeque::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Decides at random whether a fault with this percentage occurs.
    pub(super) fn draw(&mut self, percent: u8) -> bool {
        self.random.random_range(0..100_u8) < percent
    }

    pub(super) fn append(&mut self, stream: &str, record: String) -> u64 {
        self.appends += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.end += 1;
        stream.records.push_back(record);
        while stream.records.len() > self.retention {
            stream.records.pop_front();
        }
        stream.end
    }

    pub(super) fn end(&self, stream: &str) -> u64 {
        self.streams.get(stream).map_or(0, |stream| stream.end)
    }

    /// Returns a page of records as JSON text, or the first retained offset as the error if `from` lies before it.
    pub(super) fn read(&self, stream: &str, from: u64, limit: usize) -> Result<String, u64> {
        let empty = Stream::default();
        let stream = self.streams.get(stream).unwrap_or(&empty);
        let first = stream.end + 1 - stream.records.len() as u64;
        if from < first {
            return Err(first);
        }
        let skipped = usize::try_from(from - first).unwrap_or(usize::MAX);
        let mut records = String::new();
        let wanted = (from..).zip(stream.records.iter().skip(skipped));
        for (offset, record) in wanted.take(limit) {
            let comma = if records.is_empty() { "" } else { "," };
            records += &format!("{comma}{{\"offset\":{offset},\"record\":{record}}}");
        }
        let end = stream.end;
        Ok(format!(
            "{{\"first\":{first},\"end\":{end},\"records\":[{records}]}}"
        ))
    }

    pub(super) fn set_hosts(&mut self, hosts: Vec<Host>) {
        self.version += 1;
        self.lists.push_back(List {
            set_at: Instant::now(),
            version: self.version,
            hosts,
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the newest visible list as JSON text: only the changes if the version `since` is still known, the whole
    /// list otherwise, or `None` if `since` is its version.
    pub(super) fn hosts(&self, since: Option<u64>) -> Option<String> {
        let lag = self.faults.host_lag;
        let mut lists = self.lists.iter().rev();
        let visible = lists.find(|list| list.set_at.elapsed() >= lag);
        // No list has version 0, so it denotes the empty list before the first one is visible.
        let (version, hosts) = visible.map_or((0, &[][..]), |list| (list.version, &list.hosts));
        if since == Some(version) {
            return None;
        }
        let base = self.lists.iter().find(|list| since == Some(list.version));
        if let Some(base) = base
            && let Some((before, after)) = by_name(&base.hosts).zip(by_name(hosts))
        {
            let changed = hosts
                .iter()
                .filter(|host| before.get(&*host.host) != Some(host));
            let changed: Vec<&Host> = changed.collect();
            let removed = before.keys().filter(|name| !after.contains_key(*name));
            let removed: Vec<&&str> = removed.collect();
            let list = serde_json::json!({
                "version": version, "since": since, "hosts": changed, "removed": removed,
            });
            return Some(list.to_string());
        }
        Some(serde_json::json!({ "version": version, "hosts": hosts }).to_string())
    }
}

/// Returns the hosts by name, or `None` if several hosts have the same name.
fn by_name(hosts: &[Host]) -> Option<HashMap<&str, &Host>> {
    let names: HashMap<&str, &Host> = hosts.iter().map(|host| (&*host.host, host)).collect();
    (names.len() == hosts.len()).then_some(names)
}
