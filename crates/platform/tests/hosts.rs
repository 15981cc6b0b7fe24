//! Incremental updates of the host list, read from the stand-in.

use sassafrascrank_platform::{
    Directory,
    http::{
        Client,
        Limits, //
    },
    wire, //
};
use sassafrascrank_standin::{
    Platform,
    platform::{
        Host,
        Settings, //
    },
};

/// Timeout that no correct response exceeds, even on a loaded machine.
const LONG_TIMEOUT: core::time::Duration = core::time::Duration::from_secs(30);

/// Guards against a change of the host list that is lost or applied to another version, and against a whole list that
/// is sent although little or nothing has changed.
#[tokio::test]
async fn only_changes_of_the_host_list_are_sent() {
    let platform = Platform::start(Settings::default()).unwrap();
    let limits = Limits {
        connect_timeout: LONG_TIMEOUT,
        response_timeout: LONG_TIMEOUT,
    };
    let mut client = Client::new(platform.address(), limits);
    let host = |name: &str, state: &str| Host {
        host: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: "suva".to_owned(),
        rack: "r1".to_owned(),
        state: state.to_owned(),
        incarnation: 3,
    };
    let describe = |hosts: Result<Option<Vec<sassafrascrank_platform::Host>>, _>| {
        let hosts: Result<_, sassafrascrank_platform::Error> = hosts;
        let Some(hosts) = hosts.unwrap() else {
            return "unchanged".to_owned();
        };
        let mut hosts: Vec<_> = hosts
            .iter()
            .map(|host| format!("{} {:?}", host.host, host.condition))
            .collect();
        hosts.sort();
        hosts.join(", ")
    };
    let mut lines = Vec::new();
    platform.set_hosts(vec![
        host("h1", "live"),
        host("h2", "live"),
        host("h3", "live"),
    ]);
    lines.push(describe(client.hosts().await));
    lines.push(describe(client.hosts().await));
    platform.set_hosts(vec![
        host("h1", "live"),
        host("h2", "leaving"),
        host("h4", "live"),
    ]);
    lines.push(describe(client.hosts().await));
    lines.push(describe(client.hosts().await));
    // Two changes between two reads; host h2 is removed and added again.
    platform.set_hosts(vec![host("h1", "live")]);
    platform.set_hosts(vec![host("h1", "live"), host("h2", "live")]);
    lines.push(describe(client.hosts().await));
    // The platform no longer keeps the version that the client knows, so it sends the whole list.
    for _ in 0..100 {
        platform.set_hosts(vec![host("h5", "live")]);
    }
    lines.push(describe(client.hosts().await));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against changes that are applied to another version of the list than the one they refer to.
#[test]
fn changes_to_an_unknown_version_are_rejected() {
    let list = |text: &str| serde_json::from_str::<wire::host::List>(text).unwrap();
    let change = r#"{"version":3,"since":2,"hosts":[],"removed":["h1"]}"#;
    let known = list(change).resolve(Some((2, &[])));
    let other = list(change).resolve(Some((1, &[])));
    let none = list(change).resolve(None);
    let plain = list(r#"{"hosts":[]}"#).resolve(None);
    insta::assert_debug_snapshot!((known, other, none, plain));
}
