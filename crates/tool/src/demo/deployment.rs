//! Platform, runners and entries in this process, on loopback addresses.

use super::plan::{
    CUSTOMERS,
    ENTRIES,
    POOL,
    Ports,
    RUNNERS,
    SLOTS,
    ZONE, //
};
use crate::{
    cli::Error,
    digest, //
};
use core::time::Duration;
use error_stack::{
    Report,
    ResultExt, //
};
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
    publish::{
        Outcome,
        publish, //
    },
};
use sassafrascrank_standin::{
    Platform,
    Runner,
    platform,
    runner, //
};
use serde_json::json;

/// Longest time until the platform has accepted the contracts.
const PUBLISH_LIMIT: Duration = Duration::from_secs(5);

/// All running parts; dropping it stops the stand-ins.
pub(super) struct Deployment {
    pub(super) entries: Vec<Process>,
    runners: Vec<Runner>,
    platform: Platform,
}

impl Deployment {
    /// Starts the stand-ins, publishes the contracts and starts the entries.
    pub(super) async fn start(seed: u64, ports: Ports) -> Result<Self, Report<Error>> {
        let platform = platform::Settings {
            address: ports.platform(),
            seed,
            ..Default::default()
        };
        let platform = Platform::start(platform).change_context(Error::Start)?;
        let mut runners = Vec::new();
        for index in 0..RUNNERS {
            let settings = runner::Settings {
                name: runner_name(index),
                slots: SLOTS,
                seed: seed.wrapping_add(index as u64),
                ..Default::default()
            };
            runners.push(Runner::start(settings).change_context(Error::Start)?);
        }
        platform.set_hosts(runners.iter().enumerate().map(listed_host).collect());
        publish_contracts(&platform).await?;
        let mut deployment = Self {
            entries: Vec::new(),
            runners,
            platform,
        };
        for index in 0..ENTRIES {
            let process = deployment.start_entry(index, ports)?;
            deployment.entries.push(process);
        }
        Ok(deployment)
    }

    fn start_entry(&self, index: u16, ports: Ports) -> Result<Process, Report<Error>> {
        let [callers, peers, admin] = ports.entry(index);
        let settings = json!({
            "host": format!("entry-{}", index + 1),
            "availability_zone": ZONE,
            "callers": callers,
            "peers": peers,
            "admin": admin,
            "platform": self.platform.address(),
            "shutdown_delay_ms": 500,
            "shutdown_limit_ms": 5_000,
        });
        let settings = Settings::parse(&settings.to_string()).change_context(Error::Demo)?;
        Process::start(settings, Options::default()).change_context(Error::Demo)
    }

    /// Shuts down the entries concurrently, and then the stand-ins.
    pub(super) fn shut_down(self) -> Result<(), Report<Error>> {
        let threads: Vec<_> = self
            .entries
            .into_iter()
            .map(|process| std::thread::spawn(move || process.shut_down()))
            .collect();
        for thread in threads {
            let ended = thread.join().map_err(|_| Report::new(Error::Demo))?;
            ended.change_context(Error::Demo)?;
        }
        drop(self.runners);
        drop(self.platform);
        Ok(())
    }
}

/// Returns the credential of a customer, as in `examples/trenzas`.
pub(super) fn credential(customer: usize) -> String {
    format!("example-{}", CUSTOMERS[customer])
}

fn runner_name(index: usize) -> String {
    format!("runner-{}", index + 1)
}

fn listed_host((index, runner): (usize, &Runner)) -> platform::Host {
    platform::Host {
        host: runner_name(index),
        address: runner.address().to_string(),
        zone: ZONE.to_owned(),
        rack: "rack-1".to_owned(),
        state: "live".to_owned(),
        incarnation: 1,
    }
}

/// Writes the configuration document of the demo.
fn document() -> String {
    let contract = |customer| {
        json!({
            "credential_sha256": digest::encode(credential(customer).as_bytes()),
            "rate": 100_000,
            "burst": 10_000,
            "shares": { POOL: 100 / CUSTOMERS.len() },
            "classes": [
                { "name": "quote", "share": 70, "queue_timeout_ms": 500, "queue_limit": 256 },
                { "name": "ledger", "share": 30, "queue_timeout_ms": 1_000, "queue_limit": 64 },
            ],
        })
    };
    let customers = CUSTOMERS.iter().enumerate();
    let customers = customers.map(|(index, customer)| ((*customer).to_owned(), contract(index)));
    let hosts = (0..RUNNERS).map(|index| (runner_name(index), json!({ "pool": POOL })));
    let document = json!({
        "customers": customers.collect::<serde_json::Map<_, _>>(),
        "pools": { POOL: { "slots": SLOTS, "attempt_timeout_ms": 5_000 } },
        "hosts": hosts.collect::<serde_json::Map<_, _>>(),
    });
    document.to_string()
}

async fn publish_contracts(platform: &Platform) -> Result<(), Report<Error>> {
    let document = Document::parse(&document()).change_context(Error::Demo)?;
    let writer = Name::new("demo").change_context(Error::Demo)?;
    let mut log = Client::new(platform.address(), Limits::default());
    let published = publish(&mut log, &document, writer, 1, PUBLISH_LIMIT).await;
    match published.change_context(Error::Demo)? {
        Outcome::Accepted { .. } => Ok(()),
        other => Err(Report::new(Error::Demo).attach(format!("publishing ended with {other:?}"))),
    }
}
