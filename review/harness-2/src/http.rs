//! A small HTTP/1.1 server and client over TCP, a thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub type Response = (u16, String);

/// A running server, which can be closed and opened again at its address.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    /// Serves at an address; port 0 takes a free one.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_closed, open) = (closed.clone(), streams.clone());
        thread::spawn(move || {
            let numbers = AtomicU64::new(0);
            for stream in listener.incoming() {
                if is_closed.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().insert(number, copy);
                }
                let (handler, open, is_closed) = (handler.clone(), open.clone(), is_closed.clone());
                thread::spawn(move || {
                    let _ = serve(&stream, &*handler, &is_closed);
                    let _ = stream.shutdown(Shutdown::Both);
                    open.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Self {
            address,
            closed,
            streams,
        })
    }

    /// Closes the listener and all connections, as when the process ends.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: &TcpStream,
    handler: &(dyn Fn(&Request) -> Response + Send + Sync),
    closed: &AtomicBool,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let Some((first, headers, body)) = read_message(&mut reader)? else {
            return Ok(());
        };
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let (status, body) = handler(&request);
        if closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out = head.into_bytes();
        out.extend_from_slice(body.as_bytes());
        writer.write_all(&out)?;
    }
}

type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
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
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Sends one request on a connection of its own; `None` if no whole answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
