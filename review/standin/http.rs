//! A small HTTP/1.1 server and client.

use std::{
    collections::HashMap,
    io::{
        BufRead, BufReader, Read, Write,
        Result as IoResult,
    },
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn none() -> Self {
        Self { status: 0, body: Vec::new() }
    }

    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self { status, body: body.into().into_bytes() }
    }
}

/// A server that can end at once, with all its connections.
pub struct Server {
    pub address: SocketAddr,
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<F>(address: &str, serve: F) -> IoResult<Self>
    where
        F: Fn(Call) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let alive = Arc::new(AtomicBool::new(true));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (live, open, serve) = (Arc::clone(&alive), Arc::clone(&connections), Arc::new(serve));
        thread::spawn(move || {
            while live.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (live, serve) = (Arc::clone(&live), Arc::clone(&serve));
                thread::spawn(move || {
                    let _ = connection(&stream, &live, &*serve);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Ok(Self { address, alive, connections })
    }

    /// Ends like a process that is killed.
    pub fn end(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn connection(stream: &TcpStream, live: &AtomicBool, serve: &dyn Fn(Call) -> Answer) -> IoResult<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let Some(call) = read_call(&mut reader)? else {
            return Ok(());
        };
        let answer = serve(call);
        // Status 0 stands for no answer.
        if !live.load(Ordering::SeqCst) || answer.status == 0 {
            return Ok(());
        }
        let mut out = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        )
        .into_bytes();
        out.extend(answer.body);
        let mut writer = stream;
        writer.write_all(&out)?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> IoResult<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> IoResult<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_call(reader: &mut BufReader<&TcpStream>) -> IoResult<Option<Call>> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Call { method, path, query, headers, body }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).and_then(|two| u8::from_str_radix(two, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. `None` without a whole answer in time.
pub fn request(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Sassafrascrank-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_headers(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
