//! A small deployment: the platform, its runners, the entries as processes, and the clients.

use crate::{
    http::{Server, answer, call},
    json::Json,
    platform::{Advice, Store},
    runner::{Journal, Kind, Runner},
};
use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["suva", "lautoka", "nadi"];
const HOST: &str = "pule25.example";

pub struct Entry {
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
}

impl Entry {
    fn start(&mut self, pids: &Path) -> Option<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .ok()?;
        // The command of the deploy file.
        let child = Command::new("target/release/sassafrascrankd")
            .arg("--jobs")
            .env("SASSAFRASCRANK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let known = fs::read_to_string(pids).unwrap_or_default();
        fs::write(pids, format!("{known}{}\n", child.id())).ok()?;
        self.child = Some(child);
        Some(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A job that a client has handed in.
#[derive(Clone, Debug)]
pub struct Handed {
    pub id: String,
    pub queue: String,
    pub accepted: Option<f64>,
}

pub struct Site {
    pub store: Arc<Store>,
    pub journal: Arc<Journal>,
    pub runners: Mutex<Vec<Arc<Runner>>>,
    pub advice: Arc<Advice>,
    machines: Arc<Mutex<Vec<String>>>,
    pub entries: Vec<Entry>,
    pub lines: Mutex<Vec<(f64, String)>>,
    folder: PathBuf,
    pids: PathBuf,
    turn: Mutex<usize>,
    _servers: Vec<Server>,
}

/// Returns a loopback address that only this process uses, so that runs beside each other don't take ports from each other.
pub fn own_address(last: u8) -> IpAddr {
    let number = std::process::id();
    IpAddr::from([
        127,
        64 | (number >> 8 & 63) as u8,
        (number & 255) as u8,
        last,
    ])
}

fn free_ports(address: IpAddr, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .filter_map(|_| TcpListener::bind((address, 0)).ok())
        .collect();
    listeners
        .iter()
        .filter_map(|listener| listener.local_addr().ok())
        .map(|address| address.port())
        .collect()
}

fn listen() -> TcpListener {
    TcpListener::bind((own_address(2), 0)).expect("a port is free")
}

impl Site {
    /// Starts the stand-ins and three entries, and waits until these are ready.
    pub fn start(folder: &str, kinds: Vec<Kind>, config: &str) -> Option<Site> {
        let (store, advice) = (Arc::new(Store::default()), Arc::new(Advice::default()));
        let journal = Arc::new(Journal::new());
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&temporary).ok()?;
        let machines: Arc<Mutex<Vec<String>>> = Arc::default();
        let rows = Arc::clone(&machines);
        let platform = {
            let store = Arc::clone(&store);
            Server::start(listen(), Arc::new(move |request| store.handle(request)))
        };
        let advisor = {
            let advice = Arc::clone(&advice);
            Server::start(listen(), Arc::new(move |request| advice.handle(request)))
        };
        let cloud = Server::start(
            listen(),
            Arc::new(
                move |request| match (request.method.as_str(), request.path.as_str()) {
                    ("GET", "/machines") => answer(
                        200,
                        format!(
                            "{{\"machines\":[{}],\"nextToken\":\"\"}}",
                            rows.lock().unwrap().join(",")
                        ),
                    ),
                    _ => answer(429, "{}"),
                },
            ),
        );
        let pids = temporary.join("pids");
        let mut entries = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            let ip = own_address(10 + number as u8);
            let ports = free_ports(ip, 5);
            let address = |port: u16| SocketAddr::from((ip, port));
            let settings = temporary.join(format!("entry-{number}.conf"));
            fs::write(
                &settings,
                settings_of(
                    number,
                    zone,
                    ip,
                    &ports,
                    platform.address,
                    cloud.address,
                    advisor.address,
                ),
            )
            .ok()?;
            entries.push(Entry {
                settings,
                log: temporary.join(format!("entry-{number}.log")),
                front: address(ports[0]),
                ready: address(ports[1]),
                child: None,
            });
        }
        let site = Site {
            store: Arc::clone(&store),
            journal: Arc::clone(&journal),
            runners: Mutex::default(),
            advice,
            machines,
            entries,
            lines: Mutex::default(),
            folder: PathBuf::from(folder),
            pids,
            turn: Mutex::new(0),
            _servers: vec![platform, advisor, cloud],
        };
        let mut site = site;
        site.configure(config);
        for kind in kinds {
            site.join(kind);
        }
        for number in 0..site.entries.len() {
            site.start_entry(number)?;
        }
        site.wait_ready(Duration::from_secs(20)).then_some(site)
    }

    /// Starts a runner.
    pub fn join(&self, kind: Kind) -> Arc<Runner> {
        let (store, journal) = (Arc::clone(&self.store), Arc::clone(&self.journal));
        self.machines.lock().unwrap().push(machine(&kind));
        let runner = Runner::start(kind, store, journal, Some(Arc::clone(&self.advice)));
        self.runners.lock().unwrap().push(Arc::clone(&runner));
        runner
    }

    pub fn note(&self, text: impl Into<String>) {
        self.lines
            .lock()
            .unwrap()
            .push((self.journal.now(), text.into()));
    }

    /// Publishes a configuration, as the operator does.
    pub fn configure(&self, config: &str) {
        self.store.put("keyed.op", "config", config);
        self.note(format!("operator writes the configuration {config}"));
    }

    pub fn start_entry(&mut self, number: usize) -> Option<()> {
        let pids = self.pids.clone();
        self.entries[number].start(&pids)?;
        self.note(format!("entry {number} starts"));
        Some(())
    }

    pub fn kill_entry(&mut self, number: usize) {
        let ended = self.entries[number].child.as_ref().map(Child::id);
        self.entries[number].kill();
        // The list has only the processes that are to be ended with the script.
        let known = fs::read_to_string(&self.pids).unwrap_or_default();
        let kept = known
            .lines()
            .filter(|line| line.parse().ok() != ended)
            .map(|line| format!("{line}\n"));
        let _ = fs::write(&self.pids, kept.collect::<String>());
        self.note(format!("entry {number} is killed"));
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = |entry: &Entry| {
                call(
                    entry.ready,
                    "GET",
                    "entry",
                    "/ready",
                    "",
                    Duration::from_millis(500),
                )
                .is_some_and(|(status, _)| status == 200)
            };
            if self.entries.iter().all(ready) {
                self.note("all entries are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a client's request to one entry after the other until one answers other than "not accepted" or "unknown".
    fn request(
        &self,
        method: &str,
        path: &str,
        body: &str,
        tries: usize,
    ) -> Option<(u16, Vec<u8>)> {
        let mut last = None;
        for _ in 0..tries {
            let number = {
                let mut turn = self.turn.lock().unwrap();
                *turn += 1;
                *turn % self.entries.len()
            };
            let shown: String = body.chars().take(160).collect();
            self.note(format!(
                "client sends {method} {path} to entry {number} {shown}"
            ));
            let response = call(
                self.entries[number].front,
                method,
                HOST,
                path,
                body,
                Duration::from_secs(3),
            );
            match &response {
                Some((status, text)) => {
                    self.note(format!(
                        "entry {number} answers {status} {} to {method} {path}",
                        String::from_utf8_lossy(text)
                    ));
                }
                None => self.note(format!("entry {number} does not answer {method} {path}")),
            }
            let again = response
                .as_ref()
                .is_none_or(|(status, _)| matches!(status, 429 | 502 | 503 | 504));
            last = response.or(last);
            if !again {
                break;
            }
            thread::sleep(Duration::from_millis(500));
        }
        last
    }

    /// Hands a job in, with the retries of a client.
    pub fn submit(&self, queue: &str, id: &str, body: &str) -> Handed {
        let path = format!("/{queue}/{id}");
        let response = self.request("POST", &path, body, 5);
        let accepted = response.is_some_and(|(status, _)| (200..300).contains(&status));
        Handed {
            id: id.to_owned(),
            queue: queue.to_owned(),
            accepted: accepted.then(|| self.journal.now()),
        }
    }

    /// Asks for the state of a job.
    pub fn state(&self, job: &Handed) -> String {
        let response = self.request("GET", &format!("/{}/{}", job.queue, job.id), "", 6);
        match response {
            Some((200, body)) => {
                let state =
                    Json::read(&body).and_then(|body| body.get("state").text().map(str::to_owned));
                state.unwrap_or_else(|| "unreadable".to_owned())
            }
            Some((status, _)) => format!("status {status}"),
            None => "no answer".to_owned(),
        }
    }

    /// Number of starts, or of ends in a way, of the task or of all tasks of the job with this name.
    pub fn count(&self, name: &str, what: &str) -> usize {
        let events = self.journal.events.lock().unwrap();
        let named = |task: &str| {
            task.strip_prefix(name).is_some_and(|rest| {
                rest.is_empty() || (rest.starts_with('.') && !name.contains('.'))
            })
        };
        events
            .iter()
            .filter(|event| event.what == what && named(&event.task))
            .count()
    }

    /// Number of epochs that producers of the store have begun. A leader begins one with its claim, an entry with its first append.
    pub fn epochs(&self) -> u64 {
        self.store.epochs()
    }

    /// Starts of tasks that ran at the same time elsewhere, in words. What runs on a runner ends with it.
    pub fn overlaps(&self) -> Vec<String> {
        let events = self.journal.events.lock().unwrap();
        let mut open: HashMap<&str, Vec<(&str, u64, f64)>> = HashMap::new();
        let mut found = Vec::new();
        for event in events.iter() {
            let runs = open.entry(&event.task).or_default();
            if event.what != "start" {
                runs.retain(|run| (run.0, run.1) != (event.runner.as_str(), event.attempt));
                continue;
            }
            for (runner, attempt, since) in runs.iter() {
                found.push(format!(
                    "{} attempt {} starts on {} at {:.3} s, while attempt {attempt} runs on {runner} since {since:.3} s",
                    event.task, event.attempt, event.runner, event.at
                ));
            }
            runs.push((&event.runner, event.attempt, event.at));
        }
        found
    }

    /// Time from the acceptance of a job until its first start, in words.
    pub fn starts(&self, job: &Handed) -> String {
        let events = self.journal.events.lock().unwrap();
        let first = events
            .iter()
            .find(|event| event.what == "start" && event.task.starts_with(&job.id));
        match (first, job.accepted) {
            (Some(first), Some(accepted)) => format!("{:.1} s", first.at - accepted),
            _ => "never".to_owned(),
        }
    }

    /// Tasks of a job that run now.
    pub fn running(&self, id: &str) -> usize {
        let events = self.journal.events.lock().unwrap();
        let mut open: HashMap<(&str, &str, u64), i32> = HashMap::new();
        for event in events.iter().filter(|event| event.task.starts_with(id)) {
            *open
                .entry((&event.runner, &event.task, event.attempt))
                .or_default() += if event.what == "start" { 1 } else { -1 };
        }
        open.values().filter(|&&count| count > 0).count()
    }

    pub fn now(&self) -> f64 {
        self.journal.now()
    }

    /// Writes what was sent, answered and run, and ends all processes.
    pub fn finish(mut self, verdict: &str) {
        self.note(format!("VERDICT {verdict}"));
        for number in 0..self.entries.len() {
            self.entries[number].kill();
        }
        let mut lines = std::mem::take(&mut *self.lines.lock().unwrap());
        for event in self.journal.events.lock().unwrap().iter() {
            lines.push((
                event.at,
                format!(
                    "runner {}: task {} attempt {} {}",
                    event.runner, event.task, event.attempt, event.what
                ),
            ));
        }
        for (reason, count) in self.journal.rejected.lock().unwrap().iter() {
            lines.push((
                self.journal.now(),
                format!("starts and calls rejected by runners with reason {reason}: {count}"),
            ));
        }
        let refused = self.store.refused.lock().unwrap();
        let mut by_key: HashMap<(&str, &str), (usize, usize)> = HashMap::new();
        for (topic, key, length) in refused.iter() {
            let row = by_key.entry((topic, key)).or_default();
            *row = (row.0 + 1, row.1.max(*length));
        }
        for ((topic, key), (count, length)) in by_key {
            lines.push((
                self.journal.now(),
                format!(
                    "appends refused by the store, record of {length} bytes, {topic} {key}: {count}"
                ),
            ));
        }
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:9.3} {line}\n"))
            .collect();
        let _ = fs::write(self.folder.join("record.txt"), text);
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for entry in &self.entries {
                let _ = fs::copy(
                    &entry.log,
                    Path::new(&kept).join(entry.log.file_name().unwrap_or_default()),
                );
            }
        }
        if let Some(parent) = self.pids.parent() {
            let _ = fs::remove_dir_all(parent);
        }
        println!("{verdict}");
    }
}

fn machine(kind: &Kind) -> String {
    format!(
        "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"up\",\"zone\":\"{}\",\"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"id\":\"{}\"}}",
        kind.machine, kind.service, kind.zone, kind.rack, kind.cpu, kind.memory, kind.id
    )
}

fn settings_of(
    number: usize,
    zone: &str,
    ip: IpAddr,
    ports: &[u16],
    platform: SocketAddr,
    cloud: SocketAddr,
    advice: SocketAddr,
) -> String {
    let (first, last) = (ports[3].min(ports[4]), ports[3].max(ports[4]));
    format!(
        "node=frontend-{zone}-{number}\nrole=entry\nmachineClass=frontend\nserves=frontend,control\nip={ip}\nzone={zone}\nregion=fiji\n\
         zones.suva=fiji\nzones.lautoka=fiji\nzones.nadi=fiji\n\
         listen.front={ip}:{}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\nportRange={first},{last}\n\
         seeds={ip}:{}\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
         limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1500\n\
         contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
         faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
         bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
         bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n\
         bounds.recoverS=12\nbounds.holdMaxMs=6000\nbounds.stopMs=900\nbounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n\
         bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.remoteFactor=2\nbounds.checkpointS=2\nbounds.restoreMs=250\n\
         bounds.noticeMs=4500\nbounds.migrateS=1.5\nbounds.maintenanceS=2\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\n\
         bounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\ncontrolMode=push\nadvice={advice}\n\
         platform.addr={platform}\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n\
         platform.appendMs=2.0\nplatform.partitionMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n\
         platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partitionMb=200\nplatform.ttlMinMs=1000\n\
         cloud.addr={cloud}\ncloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n",
        ports[0], ports[1], ports[2], ports[2]
    )
}
