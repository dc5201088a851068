//! HTTP listeners with limits on connections, request sizes, the memory of all requests and time.
//!
//! A listener that is stopped finishes the requests in flight. When all places are taken, the connection
//! that has stalled for longest gives way to a new one.

pub mod body;
pub mod budget;
pub mod json;
mod refusals;
mod stream;

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use budget::Budget;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_types::{Method, Request, Response, StatusCode};
use refusals::{Reason, Refusals};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use stream::{Eviction, Place, Stream};

/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after a stop for which a new connection may still send its first request.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(200);
/// Time for the client to take a response to a request that was not read in full.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks at whether a connection that gives way has ended.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);
/// Number of such looks before the new connection is refused.
const EVICTION_LOOKS: usize = 100;
/// Seconds after which a client may send a request again for which there was no memory.
const RETRY_AFTER_S: &str = "1";

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
    /// Maximum number of open connections. A further one takes the place of one that has stalled or is
    /// idle, or is closed at once if there is none.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time after which a connection without a request is closed, which a request may take to
    /// arrive, and for which a client may leave a response unread.
    pub idle_timeout: Duration,
    /// Memory that requests may take, shared with the other listeners of the process.
    pub budget: Budget,
}

/// An HTTP listener with its application and limits.
pub struct Listener {
    socket: TcpListener,
    app: Arc<dyn App>,
    limits: Limits,
    refusals: Arc<Refusals>,
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
        let refusals = Arc::new(Refusals::new(limits.process_name.clone(), limits.budget.clone()));
        let open_connections = Arc::default();
        let listener = Listener { socket, app, limits, refusals, stop, open_connections };
        (listener, StopHandle(stop_handle))
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
            connections.retain(|connection: &Connection| !connection.is_done());
            match accepted {
                Ok((stream, _)) if self.make_room(&connections).await => {
                    connections.push(self.serve(stream));
                }
                Ok(_) => self.refusals.record(Reason::Connections),
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
        while let Some(Ok((stream, _))) = self.socket.accept().now_or_never() {
            if self.has_room() {
                connections.push(self.serve(stream));
            } else {
                self.refusals.record(Reason::Connections);
            }
        }
        drop(self.socket);
        for connection in connections {
            connection.handle.await;
        }
    }

    fn has_room(&self) -> bool {
        self.open_connections.load(Ordering::Acquire) < self.limits.max_connections
    }

    /// Makes room for a new connection if there is none. Returns false if none gives way.
    async fn make_room(&self, connections: &[Connection]) -> bool {
        if self.has_room() {
            return true;
        }
        let now = Instant::now();
        let candidates =
            connections.iter().filter_map(|c| Some((c.place.precedence(now)?, &c.place)));
        let Some((_, place)) = candidates.min_by_key(|(precedence, _)| *precedence) else {
            return false;
        };
        if !place.evict() {
            return false;
        }
        self.refusals.record(Reason::Evicted);
        for _ in 0..EVICTION_LOOKS {
            if self.has_room() {
                return true;
            }
            task::sleep(EVICTION_PAUSE).await;
        }
        false
    }

    /// Starts to serve a connection.
    fn serve(&self, stream: TcpStream) -> Connection {
        self.open_connections.fetch_add(1, Ordering::AcqRel);
        let _ = stream.set_nodelay(true);
        let io = Stream::new(stream, self.limits.max_body_bytes, self.limits.budget.clone());
        let done = Arc::new(AtomicBool::new(false));
        let place = io.place();
        let session = Session {
            io,
            app: self.app.clone(),
            stop: self.stop.clone(),
            idle_timeout: self.limits.idle_timeout,
            refusals: self.refusals.clone(),
        };
        let (open_connections, done_flag) = (self.open_connections.clone(), done.clone());
        let handle = task::spawn(async move {
            session.run().await;
            open_connections.fetch_sub(1, Ordering::AcqRel);
            done_flag.store(true, Ordering::Release);
        });
        Connection { place, handle, done }
    }
}

/// A connection, the task that serves it, and whether the task has ended.
struct Connection {
    place: Place,
    handle: task::JoinHandle<()>,
    done: Arc<AtomicBool>,
}

impl Connection {
    fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }
}

/// What the task of a connection needs to serve it.
struct Session {
    io: Stream,
    app: Arc<dyn App>,
    stop: Receiver<()>,
    idle_timeout: Duration,
    refusals: Arc<Refusals>,
}

/// How the attempt to serve a request ended.
enum Served {
    Ended(http_types::Result<ConnectionStatus>),
    /// The client took too long to send it, or to take the response.
    Overdue,
    Evicted(Eviction),
}

impl Session {
    /// Serves the requests of the connection in sequence, until it is closed, idle for too long,
    /// gives way to another one or the listener is stopped.
    async fn run(self) {
        let io = &self.io;
        let mut stop_delay = FIRST_REQUEST_DELAY;
        while self.wait_for_request(stop_delay).await {
            stop_delay = Duration::ZERO;
            if !io.begin_request() {
                return;
            }
            let served = self.serve_request().await;
            let (is_answered, refusal) = (io.is_answered(), io.refusal());
            io.end_request();
            let status = match served {
                Served::Ended(Ok(ConnectionStatus::KeepAlive)) => continue,
                Served::Ended(_) if is_answered => return,
                Served::Evicted(Eviction::Place) => return,
                Served::Evicted(Eviction::Memory) => {
                    self.refusals.record(Reason::Memory);
                    StatusCode::ServiceUnavailable
                }
                // Also where the application was told that its body can't be charged.
                Served::Ended(Err(error))
                    if refusal.is_some() || error.status() == StatusCode::ServiceUnavailable =>
                {
                    self.refusals.record(Reason::Memory);
                    StatusCode::ServiceUnavailable
                }
                Served::Overdue => {
                    self.refusals.record(Reason::Overdue);
                    StatusCode::RequestTimeout
                }
                Served::Ended(Ok(ConnectionStatus::Close)) => StatusCode::RequestTimeout,
                Served::Ended(Err(_)) if io.is_too_large() => StatusCode::PayloadTooLarge,
                Served::Ended(Err(error)) => match error.status() {
                    StatusCode::InternalServerError => StatusCode::BadRequest,
                    status => status,
                },
            };
            if !is_answered {
                respond_with_error(self.io, status).await;
            }
            return;
        }
    }

    /// Reads a request, and sends the application's response.
    async fn serve_request(&self) -> Served {
        let endpoint = |request| self.respond(request);
        let mut server = Server::new(self.io.clone(), endpoint);
        // On the heap only while there is a request: most connections are idle.
        let mut served = Box::pin(server.accept_one().fuse());
        futures::select! {
            result = served => Served::Ended(result),
            () = self.io.wait_until_overdue(self.idle_timeout).fuse() => Served::Overdue,
            eviction = self.io.wait_for_eviction().fuse() => Served::Evicted(eviction),
        }
    }

    /// Returns the application's response, or an error for a request that is too large or finds no
    /// memory.
    async fn respond(&self, mut request: Request) -> http_types::Result<Response> {
        let io = &self.io;
        let no_memory = || {
            let reason = "there is no memory for the request";
            http_types::Error::from_str(StatusCode::ServiceUnavailable, reason)
        };
        if !io.begin_body(&request) {
            return Err(match io.is_too_large() {
                true => {
                    let reason = "the body is too large";
                    http_types::Error::from_str(StatusCode::PayloadTooLarge, reason)
                }
                false => no_memory(),
            });
        }
        if let Some(charge) = io.charge() {
            request.ext_mut().insert(charge);
        }
        let response = respond(self.app.as_ref(), request).await;
        if io.refusal().is_some() {
            return Err(no_memory()); // whatever the application made of the error
        }
        let mut response = response?;
        if io.has_further_request() {
            response.remove_header("connection"); // what has been read is answered as well
        } else if self.stop.is_closed() || !io.is_at_end() {
            response.insert_header("connection", "close");
        }
        match io.begin_response(response.len().unwrap_or_default()) {
            true => Ok(response),
            false => Err(no_memory()),
        }
    }

    /// Waits for the first byte of the next request. Returns false once the connection is closed,
    /// idle for too long, gives way to another one or the listener was stopped `stop_delay` ago. A byte
    /// that has arrived by then counts, even if it was not read yet.
    async fn wait_for_request(&self, stop_delay: Duration) -> bool {
        let stopped = async {
            let _ = self.stop.recv().await; // fails once the handle is dropped
            task::sleep(stop_delay).await;
        };
        futures::select! {
            has_arrived = self.io.wait_for_request().fuse() => return has_arrived,
            _ = self.io.wait_for_eviction().fuse() => return false,
            _ = task::sleep(self.idle_timeout).fuse() => {}
            () = stopped.fuse() => {}
        }
        self.io.wait_for_request().now_or_never().unwrap_or(false)
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

/// Answers a request that cannot be read, and closes the connection.
async fn respond_with_error(mut io: Stream, status: StatusCode) {
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    if status == StatusCode::ServiceUnavailable {
        response.insert_header("retry-after", RETRY_AFTER_S);
    }
    let mut encoder = Encoder::new(response, Method::Get);
    let sent = async {
        if async_std::io::copy(&mut encoder, &mut io).await.is_ok() {
            io.linger().await;
        }
    };
    let _ = async_std::future::timeout(LINGER_TIME, sent).await; // the client may not read
}
