//! Clients that don't keep to the limits, and one that does.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Threads that open the connections of a crowd.
const THREADS: usize = 8;
/// Time after which a client gives up to connect or to send; its connection stays open.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an ordinary client gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that stay open until this is dropped.
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Opens connections, and sends the same bytes on each. A client goes on when it is refused or
    /// cut off.
    pub fn open(address: SocketAddr, count: usize, bytes: &[u8]) -> Crowd {
        Crowd::open_with(address, count, |stream| {
            let _ = stream.write_all(bytes);
        })
    }

    /// Opens connections on which each client does the same.
    pub fn open_with(
        address: SocketAddr,
        count: usize,
        act: impl Fn(&mut TcpStream) + Sync,
    ) -> Crowd {
        let streams = Mutex::new(Vec::new());
        let open_share = |share: usize| {
            for _ in (share..count).step_by(THREADS) {
                let Ok(mut stream) = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT) else {
                    continue;
                };
                stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
                stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
                act(&mut stream);
                streams.lock().unwrap().push(stream);
            }
        };
        thread::scope(|scope| {
            for share in 0..THREADS {
                scope.spawn(move || open_share(share));
            }
        });
        Crowd(streams.into_inner().unwrap())
    }

    /// Sends a few more bytes on each connection.
    pub fn send(&mut self, bytes: &[u8]) {
        for stream in &mut self.0 {
            let _ = stream.write_all(bytes);
        }
    }
}

/// Sends a request on a connection of its own. Returns the status and what follows it, or `None`
/// without an answer.
pub fn ask(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer); // an answer that is cut off has no status, or the wrong one
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (_, rest) = answer.split_once(' ')?;
    let (status, rest) = rest.split_once(' ')?;
    Some((status.parse().ok()?, rest.to_string()))
}

/// Returns a request without a body, after which the connection is closed.
pub fn get(host: &str, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n")
}

/// Returns a request with a body, after which the connection is closed.
pub fn with_body(method: &str, host: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of a request whose body comes in chunks.
pub fn chunked_head(method: &str, host: &str, path: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nTransfer-Encoding: chunked\r\n\r\n").into()
}

/// Returns a request whose body comes in chunks of a size. The last chunk is missing.
pub fn chunks_that_stop_short(
    method: &str,
    host: &str,
    path: &str,
    body_bytes: usize,
    chunk_bytes: usize,
) -> Vec<u8> {
    let mut request = chunked_head(method, host, path);
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    request.extend(chunk.repeat(body_bytes / chunk_bytes).bytes());
    request
}

/// Returns a request whose body lacks its last byte.
pub fn body_that_stops_short(method: &str, host: &str, path: &str, body_bytes: usize) -> Vec<u8> {
    let mut request = with_body(method, host, path, &"x".repeat(body_bytes));
    request.pop();
    request.into()
}
