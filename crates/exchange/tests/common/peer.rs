//! Caller or upstream that reads and writes raw bytes.

use super::within;
use bytes::BytesMut;
use core::net::SocketAddr;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// One end of a connection, with the bytes that were read but not consumed.
pub struct Peer {
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Peer {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.unwrap())
    }

    pub async fn accept(listener: &TcpListener) -> Self {
        let accepted = within("a connection to the upstream", listener.accept()).await;
        Self::new(accepted.unwrap().0)
    }

    fn new(stream: TcpStream) -> Self {
        let buffer = BytesMut::new();
        Self { stream, buffer }
    }

    pub async fn write(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes());
        within("the other end to read", written).await.unwrap();
    }

    /// Reads a head without its `date` line.
    pub async fn head(&mut self) -> String {
        let end = loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            match end {
                Some(end) => break end + 4,
                None => assert!(self.fill().await, "closed before a head: {self}"),
            }
        };
        let head = self.buffer.split_to(end).to_vec();
        let head = String::from_utf8(head).unwrap();
        let lines = head.lines().filter(|line| !line.starts_with("date:"));
        lines.map(|line| format!("{line}\n")).collect()
    }

    /// Reads `size` bytes.
    pub async fn take(&mut self, size: usize) -> String {
        while self.buffer.len() < size {
            assert!(self.fill().await, "closed before {size} bytes: {self}");
        }
        String::from_utf8(self.buffer.split_to(size).to_vec()).unwrap()
    }

    /// Reads a head and a body of the length that the head announces.
    pub async fn answer(&mut self) -> String {
        let head = self.head().await;
        let size = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let size = size.map_or(0, |size| size.parse().unwrap());
        head + &self.take(size).await
    }

    /// Reads to the end of the connection.
    pub async fn rest(&mut self) -> String {
        while self.fill().await {}
        let rest = core::mem::take(&mut self.buffer);
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Reads more bytes; returns whether the connection is still open.
    async fn fill(&mut self) -> bool {
        let read = self.stream.read_buf(&mut self.buffer);
        within("bytes of the other end", read).await.unwrap_or(0) > 0
    }
}

impl core::fmt::Display for Peer {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.write_str(&String::from_utf8_lossy(&self.buffer))
    }
}
