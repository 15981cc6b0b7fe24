//! Attempts on idle connections.

mod common;

use bytes::Bytes;
use common::{
    Peer,
    upstream, //
};
use http_body_util::{
    BodyExt,
    Either,
    Full, //
};
use hyper::Request;
use sassafrascrank_exchange::{
    server::RequestBody,
    upstream::{
        Connections,
        Failure,
        attempt, //
    },
};
use tokio::task::{
    LocalSet,
    yield_now, //
};

fn request(path: &str) -> Request<RequestBody> {
    let body = Either::Left(Full::new(Bytes::from("body")));
    Request::put(path)
        .header("host", "entry")
        .body(body)
        .unwrap()
}

/// Guards against a request that counts as sent although its idle connection was closed already: it must be returned as
/// `Stale`, and arrive complete on the next connection.
#[tokio::test]
async fn request_on_a_closed_idle_connection_is_returned_unsent() {
    let (listener, address) = upstream().await;
    let local = LocalSet::new();
    let scenario = local.run_until(async {
        let connections = Connections::new();
        let serve = async {
            let mut peer = Peer::accept(&listener).await;
            let request = peer.answer().await;
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            peer.write(answer).await;
            (peer, request)
        };
        let first = attempt(&connections, address, request("/1"), false);
        let (answer, (peer, _)) = tokio::join!(first, serve);
        let (response, connection) = answer.unwrap();
        response.into_body().collect().await.unwrap();
        connections.put_back(connection);
        // `put_back` runs in a task of this thread, so the connection is idle after a few yields.
        for _ in 0..16 {
            yield_now().await;
        }
        drop(peer);
        // The runtime sees the end of the connection, but the connection's task has not run yet.
        yield_now().await;
        let failure = attempt(&connections, address, request("/2"), false)
            .await
            .unwrap_err();
        let Failure::Unsent(result, returned) = failure else {
            panic!("the request counts as sent");
        };
        assert_eq!(format!("{result:?}"), "Stale");
        let second = attempt(&connections, address, *returned, false);
        let serve = async {
            let mut peer = Peer::accept(&listener).await;
            let request = peer.answer().await;
            peer.write("HTTP/1.1 204 No Content\r\n\r\n").await;
            request
        };
        let (answer, request) = tokio::join!(second, serve);
        assert_eq!(answer.unwrap().0.status(), 204);
        request
    });
    insta::assert_snapshot!(scenario.await);
}
