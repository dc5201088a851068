//! HTTP/1.1 over TCP: a client call on a connection of its own, and a server with a thread for each
//! connection.

use crate::json::Json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Sends one request. `None` if no complete response arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&str>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(body) = body {
        head.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    head.push_str("\r\n");
    head.push_str(body.unwrap_or_default());
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}

/// A request as a server receives it.
#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Json,
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, Json)> + Send + Sync;

/// Serves connections until the program ends.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let Some(path) = line.split_whitespace().nth(1).map(str::to_string) else { return };
        let Some(headers) = read_headers(&mut reader) else { return };
        let Some(body) = read_body(&mut reader, &headers) else { return };
        let closes = headers.get("connection").is_some_and(|value| value == "close");
        let request = Request { path, headers, body: Json::parse(&body).unwrap_or(Json::Null) };
        let Some((status, answer)) = handler(&request) else { return };
        let answer = answer.to_string();
        let response = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if writer.write_all(response.as_bytes()).is_err() || closes {
            return;
        }
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<String> {
    let mut bytes = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            bytes.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = headers.get("content-length").and_then(|value| value.parse().ok());
        bytes = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut bytes).ok()?;
    }
    String::from_utf8(bytes).ok()
}
