//! What proxies do with held bytes.

use sassafrascrank_soak::link::{
    Held,
    Link,
    Mode, //
};
use socket2::SockRef;
use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::Builder,
    task::LocalSet,
};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Sends a request through a proxy that holds it. Returns the proxy and both ends.
async fn send(held: Held) -> io::Result<(Link, TcpStream, TcpStream)> {
    let service = TcpListener::bind(ANY).await?;
    let (link, address) = Link::start(ANY, service.local_addr()?).await?;
    link.set(Mode::Hold(held));
    let mut caller = TcpStream::connect(address).await?;
    // As the client of the entries does: closing discards what has not been sent.
    SockRef::from(&caller).set_linger(Some(Duration::ZERO))?;
    caller.write_all(b"request").await?;
    let (service, _) = service.accept().await?;
    Ok((link, caller, service))
}

async fn rest(service: &mut TcpStream) -> String {
    let mut text = String::new();
    match service.read_to_string(&mut text).await {
        Ok(_) => text,
        Err(error) => format!("{text}, {:?}", error.kind()),
    }
}

async fn render() -> io::Result<String> {
    let mut lines = Vec::new();
    for held in [Held::Kept, Held::Queued, Held::Dropped] {
        let (link, caller, mut service) = send(held).await?;
        drop(caller);
        if held != Held::Dropped {
            link.set(Mode::Pass);
        }
        // If it drops, the connection to the service ends while the proxy still holds.
        let text = rest(&mut service).await;
        lines.push(format!("{held:?}, closed: {text:?}"));
    }
    for held in [Held::Kept, Held::Queued, Held::Dropped] {
        let (link, mut caller, mut service) = send(held).await?;
        caller.write_all(b", more").await?;
        link.set(Mode::Pass);
        let mut bytes = [0; 13];
        service.read_exact(&mut bytes).await?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        lines.push(format!("{held:?}, open: {text:?}"));
    }
    Ok(lines.join("\n"))
}

// Guards against a proxy that carries a call of a closed connection to a machine that was dark, or that loses a late call.
#[test]
fn held_calls_are_kept_or_dropped_once_their_connection_is_closed() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let text = LocalSet::new().block_on(&runtime, render()).unwrap();
    insta::assert_snapshot!(text);
}
