//! A listener that echoes, and clients with plain sockets.
#![allow(dead_code)] // no test file uses everything

use async_std::net::TcpListener;
use async_std::task;
use futures::future::BoxFuture;
use http_types::{Request, Response};
use serve::budget::Budget;
use serve::{App, Limits, Listener, StopHandle};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Places of a listener, enough for any test that does not lower them.
const MAX_CONNECTIONS: usize = 200;
/// Memory of all requests, enough for those of any test that does not lower it.
pub const BUDGET_BYTES: usize = 16 << 20;
/// Time for which `/block` occupies a thread of the executor.
pub const BLOCK_TIME: Duration = Duration::from_millis(600);
/// Time after which a client gives up.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers with the path and the size of the body.
struct Echo;

impl App for Echo {
    fn respond(&self, mut request: Request) -> BoxFuture<'_, http_types::Result<Response>> {
        Box::pin(async move {
            let path = request.url().path().to_string();
            match path.as_str() {
                "/panic" => panic!("this path panics"),
                "/block" => thread::sleep(BLOCK_TIME),
                "/slow" => task::sleep(BLOCK_TIME).await,
                _ => {}
            }
            let mut response = Response::new(200);
            if path != "/unread" {
                let size = request.body_bytes().await?.len();
                response.set_body(format!("<{path} {size}>"));
            }
            if path == "/close" {
                response.insert_header("connection", "close");
            }
            Ok(response)
        })
    }
}

/// A running listener.
pub struct Server {
    address: SocketAddr,
    pub budget: Budget,
    pub stop: Option<StopHandle>,
    pub listener: task::JoinHandle<()>,
}

impl Server {
    pub fn start() -> Server {
        Server::with_budget(Budget::new(BUDGET_BYTES))
    }

    pub fn with_budget(budget: Budget) -> Server {
        Server::with_idle(budget, MAX_CONNECTIONS, IDLE_TIMEOUT)
    }

    pub fn with_idle(budget: Budget, max_connections: usize, idle_timeout: Duration) -> Server {
        task::block_on(async {
            let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = socket.local_addr().unwrap();
            let limits = Limits {
                process_name: "test".to_string(),
                max_connections,
                max_body_bytes: MAX_BODY_BYTES,
                idle_timeout,
                budget: budget.clone(),
            };
            let (listener, stop) = Listener::new(socket, Arc::new(Echo), limits);
            Server { address, budget, stop: Some(stop), listener: task::spawn(listener.run()) }
        })
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        stream
    }
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// Reads until the text ends with `end`, the connection ends or the client gives up.
pub fn read_until(mut stream: &TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    while !text.ends_with(end.as_bytes()) {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => text.extend_from_slice(&chunk[..count]),
            Err(error) => {
                text.extend_from_slice(format!(" [{error}]").as_bytes());
                break;
            }
        }
    }
    String::from_utf8(text).unwrap()
}
