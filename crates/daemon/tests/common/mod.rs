//! A small deployment over loopback sockets, with a platform, runners, entries and callers.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

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
    client::conn::http1,
    header::HeaderMap, //
};
use hyper_util::rt::TokioIo;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::document::Document;
use sassafrascrank_daemon::{
    Process,
    Settings,
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

/// Configuration with customer `vanua`, whose credential is `secret`, and pool `quoting`.
pub const DOCUMENT: &str = r#"{
    "customers": {
        "vanua": {
            // SHA-256 of "secret".
            "credential_sha256": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
            "rate": 100000, "burst": 10000,
            "shares": { "quoting": 100 },
            "classes": [
                { "name": "preview", "share": 70, "queue_timeout_ms": 10000, "queue_limit": 1000 },
                { "name": "overnight", "share": 30, "queue_timeout_ms": 10000, "queue_limit": 1000 },
            ],
        },
    },
    "pools": { "quoting": { "attempt_timeout_ms": 5000 } },
    "hosts": { "w1": { "pool": "quoting" }, "w2": { "pool": "quoting" } },
}"#;

/// Platform and runners.
pub struct Deployment {
    pub platform: Platform,
    pub runners: Vec<Runner>,
}

impl Deployment {
    /// Starts a platform with two runners in its host list and publishes the configuration.
    pub async fn start() -> Self {
        Self::with_retention(platform::Settings::default().retention).await
    }

    /// Like [`Deployment::start`], with a log that retains that many records of each stream.
    pub async fn with_retention(retention: usize) -> Self {
        let settings = platform::Settings {
            retention,
            ..Default::default()
        };
        let platform = Platform::start(settings).unwrap();
        let runners: Vec<Runner> = (1..=2)
            .map(|index| {
                Runner::start(runner::Settings {
                    name: format!("w{index}"),
                    seed: index,
                    ..Default::default()
                })
                .unwrap()
            })
            .collect();
        let hosts = runners.iter().zip(["w1", "w2"]);
        let hosts = hosts
            .map(|(runner, name)| host(name, runner.address()))
            .collect();
        platform.set_hosts(hosts);
        publish_document(platform.address(), DOCUMENT).await;
        Self { platform, runners }
    }

    /// Starts an entry and waits until it serves.
    pub async fn entry(&self, name: &str) -> Process {
        let process = Process::start(self.settings(name), Options::default()).unwrap();
        wait_until_serving(process.callers()).await;
        process
    }

    /// Returns how often requests with this key have run, over all runners.
    pub fn runs(&self, key: &str) -> u32 {
        let runs = self.runners.iter().flat_map(Runner::runs_by_key);
        runs.filter(|(known, _)| known == key)
            .map(|(_, runs)| runs)
            .sum()
    }

    pub fn settings(&self, name: &str) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: Name::new(name).unwrap(),
            availability_zone: Name::new("suva").unwrap(),
            callers: any,
            peers: any,
            admin: any,
            platform: self.platform.address(),
            seeds: Vec::new(),
            exchange_threads: 1,
            shutdown_delay: Duration::from_millis(300),
            shutdown_limit: Duration::from_secs(10),
        }
    }
}

pub fn host(name: &str, address: SocketAddr) -> platform::Host {
    platform::Host {
        host: name.to_owned(),
        address: address.to_string(),
        zone: "suva".to_owned(),
        rack: "r1".to_owned(),
        state: "live".to_owned(),
        incarnation: 1,
    }
}

pub async fn publish_document(address: SocketAddr, text: &str) -> publish::Outcome {
    let mut log = Client::new(address, Limits::default());
    let document = Document::parse(text).unwrap();
    let writer = Name::new("operator").unwrap();
    let limit = Duration::from_secs(10);
    publish::publish(
        &mut log,
        &document,
        writer,
        sassafrascrank_daemon::clock::now().as_micros(),
        limit,
    )
    .await
    .unwrap()
}

/// Status, headers and body of an answer.
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn outcome(&self) -> &str {
        let outcome = self.headers.get("sassafrascrank-outcome");
        outcome.and_then(|value| value.to_str().ok()).unwrap_or("-")
    }
}

/// Builds a request with the usual headers; `changes` replace or add headers, and an empty value removes one.
pub fn request(
    method: &str,
    path: &str,
    changes: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut headers = vec![
        ("host", "entry"),
        ("authorization", "Bearer secret"),
        ("sassafrascrank-pool", "quoting"),
        ("sassafrascrank-timeout", "8000"),
    ];
    headers.retain(|(name, _)| changes.iter().all(|(changed, _)| changed != name));
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers.iter().chain(changes) {
        if !value.is_empty() {
            builder = builder.header(*name, *value);
        }
    }
    builder
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

/// A caller's connection that stays open between requests.
pub struct KeepAliveConnection(http1::SendRequest<Full<Bytes>>);

impl KeepAliveConnection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self(sender)
    }

    /// Returns the status and whether the answer closes the connection; `None` if the answer was not complete.
    pub async fn send(&mut self, path: &str) -> Option<(u16, bool)> {
        self.0.ready().await.ok()?;
        let response = self
            .0
            .send_request(request("GET", path, &[], ""))
            .await
            .ok()?;
        let (parts, body) = response.into_parts();
        body.collect().await.ok()?;
        Some((
            parts.status.as_u16(),
            parts.headers.contains_key("connection"),
        ))
    }
}

/// Sends one request on a connection of its own; `None` if the connection broke.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    send_on(tokio::net::TcpStream::connect(address).await.ok()?, request).await
}

/// Sends one request on an open connection; `None` if the connection broke.
pub async fn send_on(
    stream: tokio::net::TcpStream,
    request: Request<Full<Bytes>>,
) -> Option<Answer> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    connection.abort();
    Some(Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

async fn wait_until_serving(address: SocketAddr) {
    for _ in 0..500 {
        let answer = send(address, request("GET", "/ready", &[], "")).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry at {address} does not serve");
}

/// Returns a new idempotency key of the zone `suva`.
pub fn fresh_key() -> String {
    format!("suva:{}", uuid::Uuid::now_v7())
}

/// Waits until the entry runs keyed requests, for which it needs a confirmed membership.
pub async fn wait_until_keyed(address: SocketAddr) {
    for _ in 0..500 {
        let headers = [("idempotency-key", &*fresh_key())];
        let answer = send(address, request("POST", "/ready", &headers, "")).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry at {address} runs no keyed requests");
}

/// Polls an operator endpoint until `done` returns true for its answer.
pub async fn wait_until(address: SocketAddr, path: &str, done: impl Fn(&Answer) -> bool) -> Answer {
    let mut last = String::new();
    for _ in 0..500 {
        if let Some(answer) = send(address, request("GET", path, &[], "")).await {
            if done(&answer) {
                return answer;
            }
            last = format!("{} {}", answer.status, answer.body);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} at {address} never showed what was expected, but {last}");
}
