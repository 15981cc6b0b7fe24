//! Measures processor time, memory and platform traffic of entry processes without requests, and the delay until a
//! configuration change is in force: `capacity SIZE ENTRIES SECONDS FOLDER PORT`.
//!
//! It starts a stand-in of the platform, publishes a configuration of the given size (0 to 2), and writes the settings
//! file of each entry to FOLDER, with listeners from PORT on. It then waits for the file `pids` in FOLDER, which holds
//! the process ids of the entries, in order. The script `measure.sh` beside this file runs the whole measurement.

use core::{
    net::SocketAddr,
    time::Duration, //
};
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::document::Document;
use sassafrascrank_daemon::clock;
use sassafrascrank_platform::{
    http::{
        Client,
        Limits, //
    },
    publish::{
        self,
        Outcome, //
    },
};
use sassafrascrank_standin::{
    Platform,
    platform, //
};
use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write as _,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep, //
};

type Result<T> = core::result::Result<T, Box<dyn Error>>;

/// Numbers of customers, pools and hosts for each SIZE; the last one is the target.
const SIZES: [[usize; 3]; 3] = [[10, 20, 140], [50, 100, 700], [100, 199, 1_400]];
/// Number of configuration changes, each of one contract.
const CHANGE_COUNT: u64 = 20;
/// Time between two changes; not a multiple of the poll interval, so that changes occur in each phase of a poll.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_700);
/// Number of pools in one contract.
const POOLS_PER_CONTRACT: usize = 10;
/// Number of availability zones, as at the target.
const ZONE_COUNT: usize = 4;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [size, entries, seconds, folder, port] = &arguments[..] else {
        return Err("usage: capacity SIZE ENTRIES SECONDS FOLDER PORT".into());
    };
    let size = SIZES[size.parse::<usize>()?];
    let (entries, port) = (entries.parse::<usize>()?, port.parse::<u16>()?);
    let folder = Path::new(folder);
    let platform = Platform::start(platform::Settings::default())?;
    platform.set_hosts(hosts(size[2]));
    publish(platform.address(), &document(size)).await?;
    let mut counters = Vec::new();
    for entry in 0..entries {
        let counter = Arc::new(AtomicU64::new(0));
        let proxy = proxy(platform.address(), counter.clone()).await?;
        fs::write(
            folder.join(format!("{entry}.jsonc")),
            settings(entry, port, proxy),
        )?;
        counters.push(counter);
    }
    fs::write(folder.join("ready"), "")?;
    let pids = wait_for_pids(&folder.join("pids")).await;
    // Gives the entries time to read the configuration, agree on the membership and exchange full reports.
    sleep(Duration::from_secs(12)).await;
    let [customers, pools, hosts] = size;
    println!("{customers} customers, {pools} pools, {hosts} hosts, {entries} entries");
    let idle = Duration::from_secs(seconds.parse()?);
    let before = Sample::take(&pids, &counters)?;
    sleep(idle).await;
    let rate = Sample::take(&pids, &counters)?.minus(&before);
    print_idle(&rate, idle, &pids)?;
    let before = Sample::take(&pids, &counters)?;
    let start = tokio::time::Instant::now();
    let mut published = Vec::new();
    for change in 0..CHANGE_COUNT {
        let start_micros = clock::now().as_micros();
        let text = format!(
            "{{\"customers\":{{\"team0\":{}}}}}",
            contract(0, pools, 2_000 + change)
        );
        published.push((publish(platform.address(), &text).await?, start_micros));
        sleep(CHANGE_INTERVAL).await;
    }
    let changed = Sample::take(&pids, &counters)?.minus(&before);
    print_changes(&changed, &rate, start.elapsed(), idle);
    print_delays(&published, entries, port).await
}

fn hosts(count: usize) -> Vec<platform::Host> {
    let host = |index: usize| platform::Host {
        host: format!("host{index}"),
        address: format!("127.0.0.1:{}", 40_000 + index),
        zone: format!("zone{}", index % ZONE_COUNT),
        rack: format!("rack{}", index / 4),
        state: "live".to_owned(),
        incarnation: 1,
    };
    (0..count).map(host).collect()
}

fn contract(customer: usize, pools: usize, rate: u64) -> String {
    let share = |index: usize| {
        format!(
            "\"pool{}\":10",
            (customer * POOLS_PER_CONTRACT + index) % pools
        )
    };
    let shares: Vec<String> = (0..POOLS_PER_CONTRACT).map(share).collect();
    format!(
        r#"{{"credential_sha256":"{:064x}","rate":{rate},"burst":1000,"shares":{{{}}},"classes":[
            {{"name":"first","share":70,"queue_timeout_ms":3000,"queue_limit":1000}},
            {{"name":"later","share":30,"queue_timeout_ms":60000,"queue_limit":1000}}]}}"#,
        customer + 1,
        shares.join(",")
    )
}

fn document([customers, pools, hosts]: [usize; 3]) -> String {
    let customer = |index| format!("\"team{index}\":{}", contract(index, pools, 1_000));
    let customers: Vec<String> = (0..customers).map(customer).collect();
    let pool = |index| format!("\"pool{index}\":{{\"attempt_timeout_ms\":5000}}");
    let names: Vec<String> = (0..pools).map(pool).collect();
    let host = |index| format!("\"host{index}\":{{\"pool\":\"pool{}\"}}", index % pools);
    let hosts: Vec<String> = (0..hosts).map(host).collect();
    let (customers, pools, hosts) = (customers.join(","), names.join(","), hosts.join(","));
    format!("{{\"customers\":{{{customers}}},\"pools\":{{{pools}}},\"hosts\":{{{hosts}}}}}")
}

fn settings(entry: usize, port: u16, platform: SocketAddr) -> String {
    let zone = entry % ZONE_COUNT;
    let mut text = format!("{{\"host\":\"entry{entry}\",\"availability_zone\":\"zone{zone}\"");
    for (name, offset) in [("callers", 0), ("peers", 1), ("admin", 2)] {
        let _ = write!(text, ",\"{name}\":\"{}\"", listener(entry, port, offset));
    }
    text + &format!(",\"platform\":\"{platform}\",\"shutdown_delay_ms\":100}}")
}

fn listener(entry: usize, port: u16, offset: u16) -> SocketAddr {
    let port = port + 10 * u16::try_from(entry).unwrap_or(0) + offset;
    SocketAddr::from(([127, 0, 0, 1], port))
}

async fn publish(address: SocketAddr, text: &str) -> Result<u64> {
    let mut log = Client::new(address, Limits::default());
    let document = Document::parse(text)?;
    let incarnation = clock::now().as_micros();
    let limit = Duration::from_secs(10);
    let writer = Name::new("operator")?;
    match publish::publish(&mut log, &document, writer, incarnation, limit).await? {
        Outcome::Accepted { offset, .. } => Ok(offset),
        other => Err(format!("the change is not in force: {other:?}").into()),
    }
}

/// Starts a proxy that forwards connections to the platform and counts the bytes in both directions.
async fn proxy(platform: SocketAddr, counter: Arc<AtomicU64>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(platform).await else {
                continue;
            };
            client.set_nodelay(true).ok();
            server.set_nodelay(true).ok();
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(forward(client_read, server_write, counter.clone()));
            tokio::spawn(forward(server_read, client_write, counter.clone()));
        }
    });
    Ok(address)
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    counter: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        counter.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_pids(path: &Path) -> Vec<u32> {
    loop {
        let text = fs::read_to_string(path).unwrap_or_default();
        let pids: Vec<u32> = text.lines().filter_map(|line| line.parse().ok()).collect();
        if !pids.is_empty() {
            return pids;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Totals over all entries.
struct Sample {
    /// Processor time in nanoseconds by thread name.
    threads: BTreeMap<String, u64>,
    /// Bytes to and from the platform.
    bytes: u64,
}

impl Sample {
    fn take(pids: &[u32], counters: &[Arc<AtomicU64>]) -> Result<Self> {
        let mut threads = BTreeMap::new();
        for pid in pids {
            for task in fs::read_dir(format!("/proc/{pid}/task"))? {
                let task = task?.path();
                let name = fs::read_to_string(task.join("comm"))?.trim().to_owned();
                let times = fs::read_to_string(task.join("schedstat"))?;
                let time: u64 = times.split(' ').next().unwrap_or("0").parse()?;
                *threads.entry(name).or_default() += time;
            }
        }
        let bytes = counters
            .iter()
            .map(|counter| counter.load(Ordering::Relaxed));
        Ok(Self {
            threads,
            bytes: bytes.sum(),
        })
    }

    fn minus(mut self, before: &Self) -> Self {
        for (name, time) in &mut self.threads {
            *time -= before.threads.get(name).copied().unwrap_or(0);
        }
        self.bytes -= before.bytes;
        self
    }
}

fn print_idle(rate: &Sample, idle: Duration, pids: &[u32]) -> Result<()> {
    let entry_seconds = idle.as_secs_f64() * pids.len() as f64;
    let mut total = 0.0;
    for (name, time) in &rate.threads {
        let percent = *time as f64 / 1e7 / entry_seconds;
        total += percent;
        println!("  idle {name}: {percent:.3}% of a core");
    }
    println!("  idle total: {total:.3}% of a core");
    println!(
        "  platform traffic: {:.0} bytes/s for each entry",
        rate.bytes as f64 / entry_seconds
    );
    let mut memory = 0;
    for pid in pids {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.unwrap_or("").trim().trim_end_matches(" kB");
        memory = memory.max(kib.parse::<u64>()?);
    }
    println!("  largest resident memory: {} MiB", memory >> 10);
    Ok(())
}

fn print_changes(changed: &Sample, rate: &Sample, span: Duration, idle: Duration) {
    let scale = span.as_secs_f64() / idle.as_secs_f64();
    let mut total = 0.0;
    for (name, time) in &changed.threads {
        let base = rate.threads.get(name).copied().unwrap_or(0) as f64 * scale;
        let each = (*time as f64 - base) / 1e6 / CHANGE_COUNT as f64;
        total += each;
        println!("  change {name}: {each:.3} ms over all entries");
    }
    let bytes = (changed.bytes as f64 - rate.bytes as f64 * scale) / CHANGE_COUNT as f64;
    println!("  change total: {total:.3} ms, {bytes:.0} bytes from the platform, over all entries");
}

/// Prints the time from the start of publishing until a change is in force on the last entry, read from the time lines.
async fn print_delays(published: &[(u64, u64)], entries: usize, port: u16) -> Result<()> {
    let mut delays = vec![0_u64; published.len()];
    for entry in 0..entries {
        let in_force = in_force(listener(entry, port, 2)).await?;
        for (delay, (offset, start_micros)) in delays.iter_mut().zip(published) {
            let times = in_force.iter().filter(|(version, _)| version >= offset);
            let Some(time) = times.map(|(_, time)| *time).min() else {
                return Err(format!("entry {entry} never had {offset} in force").into());
            };
            *delay = (*delay).max(time.saturating_sub(*start_micros) / 1_000);
        }
    }
    delays.sort_unstable();
    let (least, most) = (delays[0], delays[delays.len() - 1]);
    let median = delays[delays.len() / 2];
    println!("  in force everywhere after {least} to {most} ms, median {median} ms");
    Ok(())
}

/// Reads the configuration versions of an entry and the times, in microseconds, at which they came into force.
async fn in_force(admin: SocketAddr) -> Result<Vec<(u64, u64)>> {
    let mut stream = TcpStream::connect(admin).await?;
    let request = "GET /timeline?limit=2000 HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let lines = text
        .lines()
        .filter(|line| line.contains("\"configuration-in-force\""));
    let parse = |line| Some((field(line, "detail")?, field(line, "time")?));
    Ok(lines.filter_map(parse).collect())
}

/// Returns a number in a JSON object on one line.
fn field(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(&format!("\"{name}\":"))?;
    let end = rest.find(|letter: char| !letter.is_ascii_digit())?;
    rest[..end].parse().ok()
}
