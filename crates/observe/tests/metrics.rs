//! Content of a scrape, and the limits on its label sets.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::Kind,
    metrics::{
        Bound,
        CUSTOMER_LIMIT,
        POOL_LIMIT,
        Registry, //
    },
    status::{
        Status, Update,
        update::{
            Engine,
            Phase,
            Platform,
            Pool,
            State,
            Upstream, //
        },
    },
    timeline::Record, //
};

mod support;
use support::{
    name,
    process,
    record, //
};

fn ended(customer: &str, pool: &str, kind: Kind) -> Record {
    let mut record = record(&process("suva-1"), 1, 0, kind);
    record.customer = Some(name(customer));
    record.pool = Some(name(pool));
    record
}

fn pool(name: Name, queued: u64) -> Pool {
    Pool {
        name,
        slots: 16,
        running: 2,
        queued,
    }
}

fn upstream(host: &str, pool: &str, state: State) -> Upstream {
    Upstream {
        host: name(host),
        pool: name(pool),
        zone: name("suva"),
        state,
        slots: 8,
        running: 1,
    }
}

fn status(pools: Vec<Pool>) -> Status {
    let process = process("suva-1").as_ref().clone();
    let mut status = Status::new(process, name("suva"), Time::MIN);
    status.apply(Update::Phase(Phase::Serving));
    status.apply(Update::Platform(Platform {
        configuration: 12,
        membership: 3,
        ..Platform::default()
    }));
    let upstreams = vec![
        upstream("runner-1", "quoting", State::Active),
        upstream("runner-2", "quoting", State::Draining),
    ];
    status.apply(Update::Engine(Engine { pools, upstreams }));
    status
}

/// Guards against a metric that is missing, misnamed, mislabelled or in another unit than documented.
#[test]
fn scrape_has_documented_names_labels_and_units() {
    let mut registry = Registry::new().expect("metrics can be set up");
    let mut granted = ended("alba", "quoting", Kind::Granted);
    granted.detail = 2_000;
    granted.class = Some(class::Index(0));
    let mut late = granted.clone();
    late.detail = 4_000_000;
    late.class = Some(class::Index(2));
    let mut answered = ended("alba", "quoting", Kind::Answered);
    answered.detail = 1_500_000;
    let mut refused = ended("brisa", "roofing", Kind::Refused);
    refused.outcome = Some(Outcome::NotRun);
    refused.reason = Some(Reason::QueueFull);
    let mut failed = ended("alba", "quoting", Kind::AttemptFailed);
    failed.reason = Some(Reason::ConnectFailed);
    let cancelled = ended("brisa", "roofing", Kind::Cancelled);
    for record in [
        granted,
        late,
        failed,
        answered.clone(),
        answered,
        refused,
        cancelled,
    ] {
        registry.count(&record);
    }
    registry.set_status(&status(vec![pool(name("quoting"), 5)]));
    registry.set_dropped("dispatch", 4);
    insta::assert_snapshot!(registry.scrape().expect("metrics can be encoded"));
}

/// Guards against a scrape that grows without limit with customers and pools, or doesn't count those above the limit.
#[test]
fn label_sets_are_bounded() {
    let mut registry = Registry::new().expect("metrics can be set up");
    let customers = CUSTOMER_LIMIT + 200;
    for number in 0..customers {
        let customer = format!("c{number}");
        let pool = format!("p{}", number % (POOL_LIMIT + 50));
        registry.count(&ended(&customer, &pool, Kind::Answered));
        for again in 0..6 {
            registry.count(&ended(&customer, &format!("p{again}"), Kind::Cancelled));
        }
    }
    let scrape = registry.scrape().expect("metrics can be encoded");
    let lines = |start: &str| {
        scrape
            .lines()
            .filter(|line| line.starts_with(start))
            .count()
    };
    let sum: u64 = scrape
        .lines()
        .filter(|line| line.starts_with("sassafrascrank_requests_total{"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum();
    let shown = |line: &&str| line.contains("customer=\"other\"") || line.contains("folded_total ");
    let folded: Vec<_> = scrape.lines().filter(shown).collect();
    insta::assert_snapshot!(format!(
        "sets of requests {}, counted {sum} of {}, pools with a histogram {}\n{}",
        lines("sassafrascrank_requests_total{"),
        customers * 7,
        lines("sassafrascrank_service_time_seconds_count{"),
        folded.join("\n"),
    ));
}

/// Guards against a bound that rejects a key that it admitted before.
#[test]
fn admitted_keys_stay_admitted() {
    let mut bound = Bound::new(2);
    let admitted = ["a", "b", "c", "a", "b", "c"].map(|key| bound.admits(&key));
    insta::assert_snapshot!(format!("{admitted:?}"));
}

/// Guards against gauges that still report a pool after its removal.
#[test]
fn removed_pools_are_not_scraped() {
    let registry = Registry::new().expect("metrics can be set up");
    let queues = |registry: &Registry| {
        let scrape = registry.scrape().expect("metrics can be encoded");
        let lines = scrape
            .lines()
            .filter(|line| line.starts_with("sassafrascrank_queue_length"));
        lines.map(|line| format!("{line}\n")).collect::<String>()
    };
    registry.set_status(&status(vec![
        pool(name("quoting"), 5),
        pool(name("roofing"), 6),
    ]));
    let before = queues(&registry);
    registry.set_status(&status(vec![pool(name("quoting"), 7)]));
    insta::assert_snapshot!(format!("before\n{before}after\n{}", queues(&registry)));
}
