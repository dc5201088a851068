//! HTTP listeners with limits on connections, request sizes and idle time.
//!
//! A listener that is stopped finishes the requests in flight.

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::{Read, Write};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_types::{Method, Request, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// Bytes that a request may use for its head, in addition to its body.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The application that handles the requests of a listener.
pub trait App: Send + Sync {
    /// Handles one request.
    fn respond(&self, request: Request) -> BoxFuture<'_, http_types::Result<Response>>;
}

/// Limits of a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Name of the process, the `entry` label of its metrics.
    pub process_name: String,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// An HTTP listener with its application and limits.
pub struct Listener {
    socket: TcpListener,
    app: Arc<dyn App>,
    limits: Limits,
    stop: Receiver<()>,
    /// Number of connections being served.
    open_connections: Arc<AtomicUsize>,
}

/// Stops a [`Listener`] when it is dropped.
pub struct StopHandle(#[allow(dead_code)] Sender<()>);

impl Listener {
    /// Creates a listener for an application, and the handle that stops it.
    pub fn new(socket: TcpListener, app: Arc<dyn App>, limits: Limits) -> (Listener, StopHandle) {
        let (stop_handle, stop) = bounded(1);
        let open_connections = Arc::default();
        (Listener { socket, app, limits, stop, open_connections }, StopHandle(stop_handle))
    }

    /// Accepts connections until stopped, then waits for requests in flight.
    pub async fn run(self) {
        let mut connections = Vec::new();
        loop {
            let accepted = futures::select! {
                accepted = self.socket.accept().fuse() => accepted,
                _ = self.stop.recv().fuse() => break,
            };
            match accepted {
                Ok((stream, _)) => connections.extend(self.serve(stream)),
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
            connections.retain(|connection: &Connection| !connection.is_done());
        }
        drop(self.socket);
        for connection in connections {
            connection.handle.await;
        }
    }

    /// Starts to serve a connection. Returns `None` if too many are open.
    fn serve(&self, stream: TcpStream) -> Option<Connection> {
        let limits = &self.limits;
        if self.open_connections.fetch_add(1, Ordering::AcqRel) >= limits.max_connections {
            self.open_connections.fetch_sub(1, Ordering::AcqRel);
            let name = self.limits.process_name.clone();
            metrics::counter!("connections_refused_total", "entry" => name).increment(1);
            return None;
        }
        let _ = stream.set_nodelay(true);
        let max_request_bytes = MAX_HEAD_BYTES + limits.max_body_bytes;
        let limited = LimitedStream::new(stream, max_request_bytes);
        let done = Arc::new(AtomicBool::new(false));
        let (app, stop, open_connections) =
            (self.app.clone(), self.stop.clone(), self.open_connections.clone());
        let (idle_timeout, done_flag) = (limits.idle_timeout, done.clone());
        let handle = task::spawn(async move {
            serve_connection(limited, app, stop, idle_timeout).await;
            open_connections.fetch_sub(1, Ordering::AcqRel);
            done_flag.store(true, Ordering::Release);
        });
        Some(Connection { handle, done })
    }
}

/// The task that serves a connection, and whether it has ended.
struct Connection {
    handle: task::JoinHandle<()>,
    done: Arc<AtomicBool>,
}

impl Connection {
    fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }
}

/// Serves the requests of one connection in sequence, until it is closed, idle for
/// too long or the listener is stopped.
async fn serve_connection(
    io: LimitedStream,
    app: Arc<dyn App>,
    stop: Receiver<()>,
    idle_timeout: Duration,
) {
    let busy = Arc::new(AtomicBool::new(false));
    let endpoint = |request: Request| {
        let (app, busy) = (app.clone(), busy.clone());
        async move {
            busy.store(true, Ordering::Release);
            app.respond(request).await
        }
    };
    let mut server = Server::new(io.clone(), endpoint);
    loop {
        io.reset();
        busy.store(false, Ordering::Release);
        let served = with_idle_timeout(&busy, idle_timeout, server.accept_one()).fuse();
        futures::pin_mut!(served);
        let result = futures::select! {
            result = served => result,
            _ = stop.recv().fuse() => {
                if !busy.load(Ordering::Acquire) && !io.has_read() {
                    return; // no byte of a request has arrived
                }
                let _ = served.await;
                return;
            }
        };
        match result {
            Some(Ok(ConnectionStatus::KeepAlive)) => {}
            Some(Ok(ConnectionStatus::Close)) | None => return,
            Some(Err(error)) => {
                let status = match error.status() {
                    StatusCode::InternalServerError => StatusCode::BadRequest,
                    status => status,
                };
                respond_with_error(io, status).await;
                return;
            }
        }
    }
}

/// Waits until a request has been served. Returns `None` once the connection has been
/// idle for too long.
async fn with_idle_timeout<T>(
    busy: &AtomicBool,
    idle_timeout: Duration,
    served: impl Future<Output = T>,
) -> Option<T> {
    let served = served.fuse();
    futures::pin_mut!(served);
    loop {
        futures::select! {
            result = served => return Some(result),
            _ = task::sleep(idle_timeout).fuse() => if !busy.load(Ordering::Acquire) {
                return None;
            },
        }
    }
}

/// Answers bytes that cannot be parsed as a request, and closes the connection.
async fn respond_with_error(mut io: LimitedStream, status: StatusCode) {
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    let _ = async_std::io::copy(&mut encoder, &mut io).await;
}

/// A connection that yields a limited number of bytes for each request.
#[derive(Clone)]
struct LimitedStream {
    stream: TcpStream,
    /// Bytes that one request may have.
    limit: usize,
    /// Bytes that may still be read for the current request.
    remaining: Arc<AtomicUsize>,
}

impl LimitedStream {
    fn new(stream: TcpStream, limit: usize) -> LimitedStream {
        LimitedStream { stream, limit, remaining: Arc::new(AtomicUsize::new(limit)) }
    }

    /// Restores the full allowance for the next request.
    fn reset(&self) {
        self.remaining.store(self.limit, Ordering::Release);
    }

    /// Returns whether any byte of the current request has been read.
    fn has_read(&self) -> bool {
        self.remaining.load(Ordering::Acquire) < self.limit
    }
}

impl Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.load(Ordering::Acquire);
        if remaining == 0 {
            return Poll::Ready(Err(io::Error::other("the request is too large")));
        }
        let max_read = buf.len().min(remaining);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..max_read]);
        if let Poll::Ready(Ok(count)) = &read {
            self.remaining.fetch_sub(*count, Ordering::AcqRel);
        }
        read
    }
}

impl Write for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
