//! The host list as the client reads it from the stand-in.

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

/// Long enough that no correct answer is late on a busy machine.
const PATIENT: core::time::Duration = core::time::Duration::from_secs(30);

/// Guards against a change of the host list that is lost or applied to another list, and against sending the whole
/// list when little or nothing has changed.
#[tokio::test]
async fn changes_of_the_host_list_arrive_alone() {
    let platform = Platform::start(Settings::default()).unwrap();
    let limits = Limits {
        connect_timeout: PATIENT,
        response_timeout: PATIENT,
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
    let names = |hosts: Result<Option<Vec<sassafrascrank_platform::Host>>, _>| {
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
    lines.push(names(client.hosts().await));
    lines.push(names(client.hosts().await));
    platform.set_hosts(vec![
        host("h1", "live"),
        host("h2", "leaving"),
        host("h4", "live"),
    ]);
    lines.push(names(client.hosts().await));
    lines.push(names(client.hosts().await));
    // Two changes between two reads, and a host that comes back.
    platform.set_hosts(vec![host("h1", "live")]);
    platform.set_hosts(vec![host("h1", "live"), host("h2", "live")]);
    lines.push(names(client.hosts().await));
    // More lists than the platform keeps: the client gets the whole list.
    for _ in 0..100 {
        platform.set_hosts(vec![host("h5", "live")]);
    }
    lines.push(names(client.hosts().await));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a change of one list that is applied to another one.
#[test]
fn changes_of_an_unknown_list_are_refused() {
    let list = |text: &str| serde_json::from_str::<wire::host::List>(text).unwrap();
    let change = r#"{"version":3,"since":2,"hosts":[],"removed":["h1"]}"#;
    let known = list(change).resolve(Some((2, &[])));
    let other = list(change).resolve(Some((1, &[])));
    let none = list(change).resolve(None);
    let plain = list(r#"{"hosts":[]}"#).resolve(None);
    insta::assert_debug_snapshot!((known, other, none, plain));
}
