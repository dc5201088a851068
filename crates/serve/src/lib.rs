//! HTTP listeners with limits on connections, request sizes and idle time.
//!
//! A listener that is stopped finishes the requests in flight.

mod stream;

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_types::{Method, Request, Response, StatusCode};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use stream::Stream;

/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after a stop for which a new connection may still send its first request.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(200);
/// Time for the client to read a response to a request that was not read in full.
const LINGER_TIME: Duration = Duration::from_secs(1);

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
    /// Time after which a connection without a request is closed, and for which a request may
    /// take to arrive.
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

    /// Accepts connections until stopped, then waits for requests in flight. Connections that
    /// were established before the stop are served as well.
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
        while let Some(Ok((stream, _))) = self.socket.accept().now_or_never() {
            connections.extend(self.serve(stream));
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
        let io = Stream::new(stream, limits.max_body_bytes);
        let done = Arc::new(AtomicBool::new(false));
        let (app, stop, open_connections) =
            (self.app.clone(), self.stop.clone(), self.open_connections.clone());
        let (idle_timeout, done_flag) = (limits.idle_timeout, done.clone());
        let handle = task::spawn(async move {
            serve_connection(io, app, stop, idle_timeout).await;
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
    io: Stream,
    app: Arc<dyn App>,
    stop: Receiver<()>,
    idle_timeout: Duration,
) {
    let endpoint = |request: Request| {
        let (app, io, stop) = (app.clone(), io.clone(), stop.clone());
        async move {
            if !io.begin_body(&request) {
                return Err(http_types::Error::from_str(
                    StatusCode::PayloadTooLarge,
                    "the body is too large",
                ));
            }
            let mut response = respond(app.as_ref(), request).await?;
            if io.has_further_request() {
                response.remove_header("connection"); // what has been read is answered as well
            } else if stop.is_closed() || !io.is_at_end() {
                response.insert_header("connection", "close");
            }
            io.set_answered();
            Ok(response)
        }
    };
    let mut server = Server::new(io.clone(), endpoint);
    let mut stop_delay = FIRST_REQUEST_DELAY;
    while wait_for_request(&io, &stop, idle_timeout, stop_delay).await {
        stop_delay = Duration::ZERO;
        io.begin_request();
        let served = futures::select! {
            result = server.accept_one().fuse() => Some(result),
            () = wait_for_slow_sender(&io, idle_timeout).fuse() => None,
        };
        let status = match served {
            Some(Ok(ConnectionStatus::KeepAlive)) => continue,
            Some(Ok(ConnectionStatus::Close)) | None => StatusCode::RequestTimeout,
            Some(Err(_)) if io.is_too_large() => StatusCode::PayloadTooLarge,
            Some(Err(error)) => match error.status() {
                StatusCode::InternalServerError => StatusCode::BadRequest,
                status => status,
            },
        };
        if !io.is_answered() {
            respond_with_error(io, status).await;
        }
        return;
    }
}

/// Returns the application's response, or an error if it panics.
async fn respond(app: &dyn App, request: Request) -> http_types::Result<Response> {
    let (method, path) = (request.method(), request.url().path().to_string());
    // The application is used on after a panic; its locks are poisoned or sound.
    let response = AssertUnwindSafe(async { app.respond(request).await }).catch_unwind().await;
    response.unwrap_or_else(|_| {
        log::error!("request.panicked method={method} path={path}");
        Ok(Response::new(StatusCode::InternalServerError))
    })
}

/// Waits for the first byte of the next request. Returns false once the connection is closed,
/// idle for too long or the listener was stopped `stop_delay` ago. A byte that has arrived by
/// then counts, even if it was not read yet.
async fn wait_for_request(
    io: &Stream,
    stop: &Receiver<()>,
    idle_timeout: Duration,
    stop_delay: Duration,
) -> bool {
    let stopped = async {
        let _ = stop.recv().await; // fails once the handle is dropped
        task::sleep(stop_delay).await;
    };
    futures::select! {
        has_arrived = io.wait_for_request().fuse() => return has_arrived,
        _ = task::sleep(idle_timeout).fuse() => {}
        () = stopped.fuse() => {}
    }
    io.wait_for_request().now_or_never().unwrap_or(false)
}

/// Returns once a request has not arrived in full within `max_time`.
async fn wait_for_slow_sender(io: &Stream, max_time: Duration) {
    loop {
        task::sleep(max_time).await;
        if io.is_waiting() {
            return;
        }
    }
}

/// Answers a request that cannot be read, and closes the connection.
async fn respond_with_error(mut io: Stream, status: StatusCode) {
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    if async_std::io::copy(&mut encoder, &mut io).await.is_ok() {
        let _ = async_std::future::timeout(LINGER_TIME, io.linger()).await;
    }
}
