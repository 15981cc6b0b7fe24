//! Configuration for the random schedules.

use super::config;
use sassafrascrank_contract::{
    Subject,
    Value, //
};
use sassafrascrank_dispatch::catalog::Host;

/// Two pools, of which one has a single upstream, and three customers with different limits.
pub(crate) fn configuration() -> (config::Values, Vec<Host>) {
    let values = [
        (Subject::Pool(config::name("alba")), config::pool(3)),
        (Subject::Pool(config::name("brisa")), config::pool(2)),
        customer(0),
        customer(1),
        customer(2),
        config::assign("h0", "alba"),
        config::assign("h1", "alba"),
        config::assign("h2", "alba"),
        config::assign("h3", "brisa"),
    ];
    let hosts = [
        ("h0", "near"),
        ("h1", "near"),
        ("h2", "far"),
        ("h3", "near"),
    ];
    let hosts = hosts.map(|(host_name, zone)| config::host(host_name, zone, 1));
    (values.into_iter().collect(), hosts.to_vec())
}

pub(crate) fn customer(index: usize) -> (Subject, Value) {
    let (text, value) = match index {
        0 => (
            "casa",
            config::contract(&[("alba", 50), ("brisa", 50)], (200, 20), Some(2), true),
        ),
        1 => (
            "loma",
            config::contract(&[("alba", 30), ("brisa", 30)], (200, 20), None, false),
        ),
        _ => (
            "vega",
            config::contract(&[("alba", 20)], (30, 4), Some(3), true),
        ),
    };
    (Subject::Customer(config::name(text)), value)
}
