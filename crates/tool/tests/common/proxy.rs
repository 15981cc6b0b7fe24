//! Proxy in front of the platform that calls a hook just before each append.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread, //
};

/// Forwards connections to `platform` and calls `hook` before each append; its threads end with the process.
pub fn start<F: Fn() + Clone + Send + 'static>(platform: SocketAddr, hook: F) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for caller in listener.incoming() {
            let hook = hook.clone();
            thread::spawn(move || forward(caller?, TcpStream::connect(platform)?, hook));
        }
    });
    address
}

fn forward(mut caller: TcpStream, mut platform: TcpStream, hook: impl Fn()) -> io::Result<()> {
    let (mut answers, mut back) = (platform.try_clone()?, caller.try_clone()?);
    thread::spawn(move || {
        io::copy(&mut answers, &mut back).ok();
        back.shutdown(Shutdown::Both)
    });
    let mut buffer = [0; 65_536];
    loop {
        let size = caller.read(&mut buffer)?;
        if size == 0 {
            return platform.shutdown(Shutdown::Both);
        }
        // The client sends the next request only after the answer, so a request begins at the start of a read.
        if buffer[..size].starts_with(b"POST") {
            hook();
        }
        platform.write_all(&buffer[..size])?;
    }
}
