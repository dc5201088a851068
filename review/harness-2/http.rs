//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and single calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Answers a request with a status and a body.
pub type Handler = Arc<dyn Fn(Request) -> (u16, String) + Send + Sync>;

/// A listener with its connections, which `close` ends at one moment.
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(ip: &str, handler: Handler) -> Server {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let is_closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (closed, open) = (is_closed.clone(), streams.clone());
        spawn(move || {
            for stream in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, closed) = (handler.clone(), closed.clone());
                spawn(move || serve(stream, &handler, &closed));
            }
        });
        Server { address, is_closed, streams }
    }

    /// Ends the listener and all connections, as the end of the process would.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts a thread with a small stack, as there are many.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().stack_size(128 << 10);
    let _ = builder.spawn(work);
}

fn serve(mut stream: TcpStream, handler: &Handler, is_closed: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handler(request);
        if is_closed.load(Ordering::SeqCst) || status == 0 {
            break;
        }
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    Some(Request { method, path, headers, body })
}

fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, BTreeMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).to_string();
    Some((first.trim_end().to_string(), headers, body))
}

/// Sends one request on a new connection. Returns the status and the body, or `None` without an
/// answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&str>,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.unwrap_or("");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\nx-deadline-ms: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
