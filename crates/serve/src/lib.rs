//! HTTP listeners with bounds that stop without cutting off requests.

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

/// Room for a request's head beside its body.
const HEAD_BYTES: usize = 16 << 10;
/// Wait after a failed accept, for instance when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What answers the requests of a listener.
pub trait App: Send + Sync {
    /// Answers one request.
    fn respond(&self, request: Request) -> BoxFuture<'_, http_types::Result<Response>>;
}

/// Bounds of a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Name of the process in its counters.
    pub process: String,
    /// Open connections.
    pub max_connections: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time that a connection may stay without a request.
    pub idle: Duration,
}

/// One listener, its application and its bounds.
pub struct Listener {
    socket: TcpListener,
    app: Arc<dyn App>,
    limits: Limits,
    stop: Receiver<()>,
    open: Arc<AtomicUsize>,
}

/// Ends a [`Listener`] when it is dropped.
pub struct StopHandle(#[allow(dead_code)] Sender<()>);

impl Listener {
    /// A listener that serves an application.
    pub fn new(socket: TcpListener, app: Arc<dyn App>, limits: Limits) -> (Listener, StopHandle) {
        let (stop_handle, stop) = bounded(1);
        let open = Arc::default();
        (Listener { socket, app, limits, stop, open }, StopHandle(stop_handle))
    }

    /// Serves until stopped, then lets requests in flight finish.
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

    fn serve(&self, stream: TcpStream) -> Option<Connection> {
        let limits = &self.limits;
        if self.open.fetch_add(1, Ordering::AcqRel) >= limits.max_connections {
            self.open.fetch_sub(1, Ordering::AcqRel);
            let name = self.limits.process.clone();
            metrics::counter!("connections_refused_total", "entry" => name).increment(1);
            return None;
        }
        let _ = stream.set_nodelay(true);
        let allowance = HEAD_BYTES + limits.max_body_bytes;
        let guarded = Guarded::new(stream, allowance);
        let done = Arc::new(AtomicBool::new(false));
        let (app, stop, open) = (self.app.clone(), self.stop.clone(), self.open.clone());
        let (idle, flag) = (limits.idle, done.clone());
        let handle = task::spawn(async move {
            requests(guarded, app, stop, idle).await;
            open.fetch_sub(1, Ordering::AcqRel);
            flag.store(true, Ordering::Release);
        });
        Some(Connection { handle, done })
    }
}

struct Connection {
    handle: task::JoinHandle<()>,
    done: Arc<AtomicBool>,
}

impl Connection {
    fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }
}

/// Serves the requests of one connection, one after the other.
async fn requests(io: Guarded, app: Arc<dyn App>, stop: Receiver<()>, idle: Duration) {
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
        io.renew();
        busy.store(false, Ordering::Release);
        let served = idle_bound(&busy, idle, server.accept_one()).fuse();
        futures::pin_mut!(served);
        let result = futures::select! {
            result = served => result,
            _ = stop.recv().fuse() => {
                if !busy.load(Ordering::Acquire) && !io.has_read() {
                    return; // nothing of a request has arrived
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
                refuse(io, status).await;
                return;
            }
        }
    }
}

/// Waits for a request to be served, or nothing once the connection has been
/// idle for too long.
async fn idle_bound<T>(
    busy: &AtomicBool,
    idle: Duration,
    served: impl Future<Output = T>,
) -> Option<T> {
    let served = served.fuse();
    futures::pin_mut!(served);
    loop {
        futures::select! {
            result = served => return Some(result),
            _ = task::sleep(idle).fuse() => if !busy.load(Ordering::Acquire) {
                return None;
            },
        }
    }
}

/// Answers bytes that are no request.
async fn refuse(mut io: Guarded, status: StatusCode) {
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    let _ = async_std::io::copy(&mut encoder, &mut io).await;
}

/// A connection that yields only so many bytes for each request.
#[derive(Clone)]
struct Guarded {
    stream: TcpStream,
    full: usize,
    left: Arc<AtomicUsize>,
}

impl Guarded {
    fn new(stream: TcpStream, full: usize) -> Guarded {
        Guarded { stream, full, left: Arc::new(AtomicUsize::new(full)) }
    }

    fn renew(&self) {
        self.left.store(self.full, Ordering::Release);
    }

    fn has_read(&self) -> bool {
        self.left.load(Ordering::Acquire) < self.full
    }
}

impl Read for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.left.load(Ordering::Acquire);
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("the request is too large")));
        }
        let room = buf.len().min(left);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..room]);
        if let Poll::Ready(Ok(count)) = &read {
            self.left.fetch_sub(*count, Ordering::AcqRel);
        }
        read
    }
}

impl Write for Guarded {
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
