//! The HTTP client with the stand-in, over loopback sockets.

use core::{
    net::SocketAddr,
    time::Duration, //
};
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::document::Document;
use sassafrascrank_ledger::{
    State,
    Status,
    Verdict, //
};
use sassafrascrank_platform::{
    Directory, Error, Log, Stream,
    follow::{
        apply_page, //
        catch_up,
    },
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
    platform::{
        Faults,
        Host,
        Outage,
        Settings, //
    },
};

/// Timeout that no correct response exceeds, even on a loaded machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn start(retention: usize, seed: u64) -> Platform {
    let settings = Settings {
        retention,
        seed,
        ..Settings::default()
    };
    Platform::start(settings).unwrap()
}

fn client(address: SocketAddr) -> Client {
    let limits = Limits {
        connect_timeout: LONG_TIMEOUT,
        response_timeout: LONG_TIMEOUT,
    };
    Client::new(address, limits)
}

fn change(sequence: u64) -> String {
    let value = r#"{"pool":{}}"#;
    format!(
        r#"{{"change":{{"origin":{{"writer":"w","incarnation":1,"sequence":{sequence}}},"entries":[{{"subject":"pool/p{sequence}","basis":0,"value":{value}}}]}}}}"#
    )
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Guards against a client that deviates from the documented interface.
#[tokio::test]
async fn records_are_appended_and_read_in_pages() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    let empty = client.read(Stream::Config, 1, 10).await;
    let mut offsets = Vec::new();
    for sequence in 1..=5 {
        offsets.push(client.append(Stream::Config, &change(sequence)).await);
    }
    let member = client.append(Stream::Member, "{}").await;
    let page = client.read(Stream::Config, 4, 1).await;
    let ahead = client.read(Stream::Config, 9, 10).await;
    let refused = client.append(Stream::Config, "7").await;
    insta::assert_debug_snapshot!((empty, offsets, member, page, ahead, refused));
}

/// Guards against expired records that are skipped without an error, and against a reader that never continues after
/// them.
#[tokio::test]
async fn expired_records_are_reported_and_leave_the_state_incomplete() {
    let platform = start(3, 1);
    let mut client = client(platform.address());
    for sequence in 1..=5 {
        client
            .append(Stream::Config, &change(sequence))
            .await
            .unwrap();
    }
    let expired = client.read(Stream::Config, 1, 10).await;
    assert_eq!(expired, Err(Error::Expired { first: 3 }));
    let mut state = State::new(1);
    let steps = catch_up(&mut client, &mut state).await.unwrap();
    assert!(
        steps.iter().all(|step| step.verdict == Verdict::Pending),
        "{steps:?}"
    );
    assert_eq!(state.status(), Status::Incomplete);
    let snapshot = r#"{"snapshot":{"origin":{"writer":"e","incarnation":1,"sequence":1},"written_ms":1,"image":{"through":4,"floor":0,"values":[],"writers":[]}}}"#;
    client.append(Stream::Config, snapshot).await.unwrap();
    client.append(Stream::Config, &change(6)).await.unwrap();
    // The record with offset 4 has expired by now, but the snapshot covers the offsets up to 4.
    let steps = catch_up(&mut client, &mut state).await.unwrap();
    let verdicts: Vec<_> = steps
        .iter()
        .map(|step| (step.offset, &step.verdict))
        .collect();
    insta::assert_debug_snapshot!(verdicts);
    assert_eq!((state.status(), state.through()), (Status::Complete, 7));
    assert_eq!(state.pools().count(), 2);
}

/// Guards against an invalid record that prevents the others of its page from being read.
#[tokio::test]
async fn invalid_record_is_skipped() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    platform.append("config", &change(1));
    platform.append("config", r#"{"change":7}"#);
    platform.append("config", &change(2));
    let mut state = State::new(1);
    let progress = apply_page(&mut client, &mut state).await.unwrap();
    let verdicts: Vec<_> = progress
        .records
        .into_iter()
        .map(|step| step.verdict)
        .collect();
    insta::assert_debug_snapshot!(verdicts);
}

/// Guards against a client that does not reconnect after an outage, and against an outage that changes the values in
/// force.
#[tokio::test]
async fn client_reports_an_outage_and_recovers() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    client.append(Stream::Config, &change(1)).await.unwrap();
    let mut state = State::new(1);
    catch_up(&mut client, &mut state).await.unwrap();
    for outage in [Outage::Closed, Outage::Unavailable] {
        platform.set_faults(Faults {
            outage,
            ..Faults::default()
        });
        for _ in 0..3 {
            let error = apply_page(&mut client, &mut state).await.unwrap_err();
            assert!(
                matches!(error, Error::Unavailable { .. }),
                "{outage:?}: {error}"
            );
            let error = client.append(Stream::Config, &change(9)).await.unwrap_err();
            assert!(
                matches!(error, Error::Unavailable { .. }),
                "{outage:?}: {error}"
            );
        }
        assert_eq!(
            (state.through(), state.pools().count()),
            (1, 1),
            "{outage:?}"
        );
    }
    platform.set_faults(Faults::default());
    assert_eq!(client.append(Stream::Config, &change(2)).await, Ok(2));
    catch_up(&mut client, &mut state).await.unwrap();
    assert_eq!((state.through(), state.pools().count()), (2, 2));
}

/// Guards against a call that fails only because the platform closed the connection while it was idle.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced_at_once() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    for _ in 0..3 {
        client.append(Stream::Config, &change(1)).await.unwrap();
    }
    platform.close_connections();
    // A request that is written before the client notices the closing would count as sent.
    let closed = async {
        while client.is_connected() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LONG_TIMEOUT, closed).await.unwrap();
    assert_eq!(client.append(Stream::Config, &change(1)).await, Ok(4));
    assert_eq!(platform.appends(), 4);
}

/// Guards against a client that waits forever for a response, and against a late response that is taken for the
/// response to the next request.
#[tokio::test]
async fn slow_response_times_out() {
    let platform = start(100, 1);
    platform.set_faults(Faults {
        delay: Duration::from_secs(3_600),
        delay_percent: 100,
        ..Faults::default()
    });
    let limits = Limits {
        connect_timeout: LONG_TIMEOUT,
        response_timeout: Duration::from_millis(50),
    };
    let mut client = Client::new(platform.address(), limits);
    let error = client.append(Stream::Config, &change(1)).await.unwrap_err();
    assert!(error.may_have_effect(), "{error}");
    assert!(matches!(error, Error::Timeout { .. }), "{error}");
    platform.set_faults(Faults::default());
    let mut long_timeout_client = self::client(platform.address());
    let end = platform.end("config");
    assert_eq!(
        long_timeout_client.append(Stream::Config, &change(2)).await,
        Ok(end + 1)
    );
}

/// Guards against a lost response that is reported as an append without effect.
#[tokio::test]
async fn lost_response_may_have_had_an_effect() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    client.append(Stream::Config, &change(1)).await.unwrap();
    platform.set_faults(Faults {
        lost_answer_percent: 100,
        ..Faults::default()
    });
    let error = client.append(Stream::Config, &change(2)).await.unwrap_err();
    assert!(error.may_have_effect(), "{error}");
    assert_eq!(platform.end("config"), 2);
}

/// Guards against a change that takes effect twice or is reported wrongly when responses are lost, with several seeds.
#[tokio::test]
async fn publication_succeeds_despite_lost_responses() {
    for seed in 0..10 {
        let platform = start(1_000, seed);
        platform.set_faults(Faults {
            lost_answer_percent: 60,
            ..Faults::default()
        });
        let mut client = client(platform.address());
        for round in 1..=3 {
            let text = format!("{{\"pools\": {{\"a\": {{\"slots\": {round}}}}}}}");
            let document = Document::parse(&text).unwrap();
            let outcome = publish(&mut client, &document, name("ops"), round, LONG_TIMEOUT).await;
            let accepted = matches!(outcome, Ok(Outcome::Accepted { .. }));
            assert!(accepted, "seed {seed}, round {round}: {outcome:?}");
        }
        let mut state = State::new(1);
        let steps = catch_up(&mut client, &mut state).await.unwrap();
        let accepted = steps
            .iter()
            .filter(|step| matches!(step.verdict, Verdict::Accepted { .. }));
        assert_eq!(accepted.count(), 3, "seed {seed}: {steps:?}");
    }
}

/// Guards against a host list that is decoded wrongly, and against a lagging list that is taken for an error.
#[tokio::test]
async fn host_list_is_read_with_its_lag() {
    let platform = start(100, 1);
    let mut client = client(platform.address());
    let host = |state: &str| Host {
        host: "h1".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: "suva".to_owned(),
        rack: "r1".to_owned(),
        state: state.to_owned(),
        incarnation: 3,
    };
    let none = client.hosts().await;
    platform.set_hosts(vec![host("live"), host("leaving")]);
    let some = client.hosts().await;
    platform.set_faults(Faults {
        host_lag: Duration::from_secs(3_600),
        ..Faults::default()
    });
    let lagging = client.hosts().await;
    platform.set_faults(Faults::default());
    platform.set_hosts(vec![host("gone")]);
    let bad = client.hosts().await;
    insta::assert_debug_snapshot!((none, some, lagging, bad));
}

/// Guards against a page of large records that exceeds the response limit and can never be read.
#[tokio::test]
async fn large_records_are_read_in_smaller_pages() {
    let platform = start(100, 1);
    let filler = "x".repeat(7 << 20);
    for _ in 0..3 {
        platform.append("config", &format!("{{\"filler\":\"{filler}\"}}"));
    }
    let mut client = client(platform.address());
    let mut state = State::new(1);
    let steps = catch_up(&mut client, &mut state).await.unwrap();
    assert!(
        steps
            .iter()
            .all(|step| matches!(step.verdict, Verdict::Invalid(_)))
    );
    assert_eq!(state.through(), 3);
}
