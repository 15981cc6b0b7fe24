//! A stand-in platform with a fleet of three pools in two zones.

use super::{
    file,
    run, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Finish,
    Maintenance,
    Reservation,
    Step,
    Subject,
    Value,
    Wave, //
};
use sassafrascrank_ledger::{
    Change,
    Entry,
    Origin,
    Record, //
};
use sassafrascrank_platform::wire::config;
use sassafrascrank_standin::{
    Platform,
    platform::{
        Host,
        Settings, //
    },
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// Start of wave 100,000 in milliseconds since the Unix epoch; a wave lasts three weeks. It lies so far in the future
/// that the wave is never over by the clock of the machine.
pub const WAVE_START_MS: u64 = 99_999 * 21 * 86_400_000;

/// Hosts of each pool: the first half in Nicoya, the rest in Liberia, two to a rack.
const POOLS: [(&str, usize); 3] = [("alba", 10), ("brisa", 4), ("comun", 6)];

pub struct Fleet {
    pub platform: Platform,
    offset: u64,
}

impl Fleet {
    /// Starts a platform whose hosts are all live and in service; `name` has to be unique among the tests, since a file
    /// is named after it.
    pub fn start(name: &str) -> Self {
        let platform = Platform::start(Settings::default()).unwrap();
        platform.set_hosts(hosts());
        let path = file(&format!("{name}-fleet.jsonc"), &document());
        let address = platform.address().to_string();
        let text = run(&["publish", &path, "--platform", &address], "");
        assert!(text.starts_with("exit 0"), "{text}");
        Self {
            platform,
            offset: 1,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Runs a verb against the platform.
    pub fn run(&self, arguments: &[&str]) -> String {
        run_at(self.address(), arguments)
    }

    /// Removes the hosts for which `is_lost` holds from the list of the platform, and lists all others.
    pub fn lose(&self, is_lost: impl Fn(&Host) -> bool) {
        let mut hosts = hosts();
        hosts.retain(|host| !is_lost(host));
        self.platform.set_hosts(hosts);
    }

    /// Appends a pool's first reservation.
    pub fn reserve(&mut self, pool: &str, reservation: Reservation) {
        let entry = Entry {
            subject: Subject::Reservation(name(pool)),
            basis: 0,
            value: Value::Reservation(Arc::new(reservation)),
        };
        self.offset += 1;
        let origin = Origin {
            writer: name("entry-1"),
            incarnation: 1,
            sequence: self.offset,
        };
        let entries = vec![entry];
        let body = config::encode(&Record::Change(Change { origin, entries }));
        assert_eq!(self.platform.append("config", &body), self.offset);
    }

    /// Appends the records of a wave 100,000 that has run for an hour: in alba one host is done, one returns and one
    /// drains for a move.
    pub fn run_wave(&mut self) {
        let wave = Wave {
            number: 100_000,
            started: Time::from_millis(WAVE_START_MS),
            since: Time::from_millis(WAVE_START_MS),
            ..Wave::default()
        };
        let at = |minutes: u64| Time::from_millis(WAVE_START_MS + minutes * 60_000);
        let absent = |step, minutes| Absence {
            step,
            since: at(minutes),
            wave: 100_000,
        };
        let mut alba = Reservation {
            wave,
            ..Reservation::default()
        };
        let finish = Finish {
            at: at(40),
            result: Maintenance::Done,
        };
        alba.finished.insert(name("alba-0"), finish);
        alba.hosts
            .insert(name("alba-1"), absent(Step::Returning, 57));
        alba.hosts
            .insert(name("alba-2"), absent(Step::Draining, 50));
        alba.moves.insert(name("alba-2"), name("brisa"));
        self.reserve("alba", alba);
        let comun = Reservation {
            wave,
            ..Reservation::default()
        };
        self.reserve("comun", comun);
    }
}

/// Runs a verb against the platform at `address`.
pub fn run_at(address: SocketAddr, arguments: &[&str]) -> String {
    let address = address.to_string();
    run(&[arguments, &["--platform", &address]].concat(), "")
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn hosts() -> Vec<Host> {
    let mut hosts = Vec::new();
    for (pool, count) in POOLS {
        for index in 0..count {
            let zone = ["nicoya", "liberia"][index * 2 / count];
            hosts.push(Host {
                host: format!("{pool}-{index}"),
                address: format!("127.0.0.1:{}", 20_000 + hosts.len()),
                zone: zone.to_owned(),
                rack: format!("{zone}-{pool}-{}", index / 2),
                state: "live".to_owned(),
                incarnation: 1,
            });
        }
    }
    hosts
}

fn document() -> String {
    let pools = POOLS.map(|(pool, _)| format!("\"{pool}\": {{ \"spare\": {} }}", pool == "comun"));
    let hosts = hosts().into_iter().map(|host| {
        let (pool, _) = host.host.split_once('-').unwrap();
        format!("\"{}\": {{ \"pool\": \"{pool}\" }}", host.host)
    });
    let hosts: Vec<String> = hosts.collect();
    format!(
        "{{ \"pools\": {{ {} }}, \"hosts\": {{ {} }} }}",
        pools.join(", "),
        hosts.join(", ")
    )
}
