//! Compares the latency and rate of requests through one entry with direct requests to the same runners. Usage:
//! `overhead [ROUNDS]`.
//!
//! Platform, runners and entry run in this process, on loopback addresses. Callers keep their connections and send the
//! next request when the answer to the one before has arrived. Direct and entry rounds alternate.

use bytes::Bytes;
use core::{
    net::SocketAddr,
    time::Duration, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    StatusCode,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::document::Document;
use sassafrascrank_daemon::{
    Process,
    Settings,
    clock,
    process::Options, //
};
use sassafrascrank_platform::{
    http::{
        Client,
        Limits, //
    },
    publish, //
};
use sassafrascrank_standin::{
    Platform,
    Runner,
    platform,
    runner, //
};
use std::{
    error::Error,
    fs,
    thread,
    time::Instant, //
};
use tokio::{
    net::TcpStream,
    task::JoinSet, //
};

type Result<T> = core::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Default number of rounds through the entry, and of direct rounds.
const ROUNDS_DEFAULT: usize = 5;
const RUNNERS: usize = 4;
/// Threads that send requests.
const THREADS: usize = 4;
/// Service time of a runner in milliseconds, concurrent callers, and requests of a round.
const CASES: [[usize; 3]; 6] = [
    [0, 1, 2_000],
    [0, 8, 12_000],
    [0, 64, 24_000],
    [1, 1, 500],
    [1, 8, 4_000],
    [1, 64, 24_000],
];
/// Time until the entry has its full part of the slots, which takes a demand report and the next division of the slots.
const WARM_UP: Duration = Duration::from_secs(4);

fn main() -> Result<()> {
    let rounds = std::env::args().nth(1).map(|text| text.parse());
    let rounds = rounds.transpose()?.unwrap_or(ROUNDS_DEFAULT).max(1);
    let platform = Platform::start(platform::Settings::default())?;
    let runners = (0..RUNNERS).map(start_runner);
    let runners = runners.collect::<std::io::Result<Vec<Runner>>>()?;
    let hosts = runners.iter().enumerate();
    platform.set_hosts(hosts.map(|(index, runner)| host(index, runner)).collect());
    runtime()?.block_on(configure(platform.address()))?;
    let entry = Process::start(settings(platform.address())?, Options::default())?;
    thread::sleep(WARM_UP);
    let direct: Vec<SocketAddr> = runners.iter().map(Runner::address).collect();
    let through = [entry.callers()];
    println!(
        "load average {}",
        fs::read_to_string("/proc/loadavg")?.trim()
    );
    println!("medians of {rounds} rounds; latencies in µs");
    println!(
        "service callers | direct/s  entry/s ratio | direct p50 p99 | entry p50 p99 | added p50 p99"
    );
    for [service_ms, callers, requests] in CASES {
        let mut rows = Vec::new();
        for _ in 0..rounds {
            let direct_row = round(&direct, service_ms, callers, requests)?;
            let entry_row = round(&through, service_ms, callers, requests)?;
            rows.push((direct_row, entry_row));
        }
        print_row(service_ms, callers, &rows);
    }
    entry.shut_down()?;
    Ok(())
}

fn start_runner(index: usize) -> std::io::Result<Runner> {
    Runner::start(runner::Settings {
        name: format!("w{index}"),
        service_time: Duration::ZERO,
        ..Default::default()
    })
}

fn host(index: usize, runner: &Runner) -> platform::Host {
    platform::Host {
        host: format!("w{index}"),
        address: runner.address().to_string(),
        zone: "suva".to_owned(),
        rack: "r1".to_owned(),
        state: "live".to_owned(),
        incarnation: 1,
    }
}

fn settings(platform: SocketAddr) -> Result<Settings> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Settings {
        host: Name::new("entry")?,
        availability_zone: Name::new("suva")?,
        callers: any,
        peers: any,
        admin: any,
        platform,
        seeds: Vec::new(),
        exchange_threads: 1,
        shutdown_delay: Duration::from_millis(100),
        shutdown_limit: Duration::from_secs(10),
    })
}

async fn configure(platform: SocketAddr) -> Result<()> {
    // The digest is that of "secret".
    let text = r#"{
        "customers": { "vanua": {
            "credential_sha256": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
            "rate": 100000, "burst": 100000, "shares": { "quoting": 100 },
            "classes": [{ "name": "preview", "share": 100, "queue_timeout_ms": 10000, "queue_limit": 1000 }],
        } },
        "pools": { "quoting": { "attempt_timeout_ms": 5000 } },
        "hosts": { "w0": { "pool": "quoting" }, "w1": { "pool": "quoting" },
            "w2": { "pool": "quoting" }, "w3": { "pool": "quoting" } },
    }"#;
    let mut log = Client::new(platform, Limits::default());
    let (writer, limit) = (Name::new("operator")?, Duration::from_secs(10));
    let incarnation = clock::now().as_micros();
    publish::publish(
        &mut log,
        &Document::parse(text)?,
        writer,
        incarnation,
        limit,
    )
    .await?;
    Ok(())
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Requests a second, and the median and 99th percentile of the latency in µs.
#[derive(Clone, Copy)]
struct Row {
    rate: f64,
    median: f64,
    p99: f64,
}

/// Sends the requests of one round, spread over threads and addresses.
fn round(
    addresses: &[SocketAddr],
    service_ms: usize,
    callers: usize,
    requests: usize,
) -> Result<Row> {
    let threads = callers.min(THREADS);
    let each = requests / callers;
    let start = Instant::now();
    let workers = (0..threads).map(|thread| {
        let own = (thread..callers).step_by(threads);
        let targets: Vec<_> = own
            .map(|caller| addresses[caller % addresses.len()])
            .collect();
        thread::spawn(move || runtime()?.block_on(call_all(targets, service_ms, each)))
    });
    let workers: Vec<_> = workers.collect();
    let mut latencies = Vec::with_capacity(requests);
    for worker in workers {
        let result = worker.join().map_err(|_| "a caller thread panicked")?;
        latencies.extend(result?);
    }
    let elapsed = start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    let at = |percent: usize| latencies[(latencies.len() - 1) * percent / 100].as_secs_f64() * 1e6;
    Ok(Row {
        rate: latencies.len() as f64 / elapsed,
        median: at(50),
        p99: at(99),
    })
}

async fn call_all(
    targets: Vec<SocketAddr>,
    service_ms: usize,
    each: usize,
) -> Result<Vec<Duration>> {
    let mut callers = JoinSet::new();
    for target in targets {
        callers.spawn(call(target, service_ms, each));
    }
    let mut latencies = Vec::new();
    while let Some(result) = callers.join_next().await {
        latencies.extend(result??);
    }
    Ok(latencies)
}

async fn call(target: SocketAddr, service_ms: usize, count: usize) -> Result<Vec<Duration>> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut latencies = Vec::with_capacity(count);
    for _ in 0..count {
        sender.ready().await?;
        let request = Request::get("/quote")
            .header("host", "entry")
            .header("authorization", "Bearer secret")
            .header("sassafrascrank-pool", "quoting")
            .header("sassafrascrank-timeout", "8000")
            .header("standin-service-ms", service_ms.to_string())
            .body(Full::new(Bytes::new()))?;
        let start = Instant::now();
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        latencies.push(start.elapsed());
        if status != StatusCode::OK {
            return Err(format!("status {status}").into());
        }
    }
    Ok(latencies)
}

fn print_row(service_ms: usize, callers: usize, rows: &[(Row, Row)]) {
    let direct = |figure: fn(&Row) -> f64| median(rows.iter().map(|(direct, _)| figure(direct)));
    let entry = |figure: fn(&Row) -> f64| median(rows.iter().map(|(_, entry)| figure(entry)));
    let ratio = median(rows.iter().map(|(direct, entry)| entry.rate / direct.rate));
    let added = |figure: fn(&Row) -> f64| {
        median(
            rows.iter()
                .map(|(direct, entry)| figure(entry) - figure(direct)),
        )
    };
    println!(
        "{service_ms:4} ms {callers:7} | {:8.0} {:8.0} {ratio:5.2} | {:7.0} {:6.0} | {:7.0} {:5.0} | {:6.0} {:6.0}",
        direct(|row| row.rate),
        entry(|row| row.rate),
        direct(|row| row.median),
        direct(|row| row.p99),
        entry(|row| row.median),
        entry(|row| row.p99),
        added(|row| row.median),
        added(|row| row.p99),
    );
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
