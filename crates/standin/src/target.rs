//! HTTP server that announces itself to entries as a target does.

use crate::client::Call;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use route::target::{AnnounceReply, Announcement, State};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// Wait before a failed announcement is sent to the next entry.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for an entry's answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a target answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers when the work time is over.
    Serve,
    /// Runs the request and closes the connection in the middle of the answer.
    Truncate,
    /// Runs the request and never answers.
    Silent,
    /// Answers at once with status 503 that it did not run the request.
    Refuse,
    /// Answers at once with status 500, without running the request.
    Fail,
}

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of its instance record.
    pub instance: String,
    /// Address to listen on; with port 0 the operating system chooses the port.
    pub listen: SocketAddr,
    /// Addresses to announce to, one at a time: entries of its data centre. The next one is
    /// used when one fails; none means that it does not announce itself.
    pub entries: Vec<SocketAddr>,
    /// Token that entries require for announcements.
    pub token: String,
    /// Time for which a request occupies a slot.
    pub work: Duration,
    /// Number of requests that run at once; others wait for a free slot.
    pub slots: usize,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    address: SocketAddr,
    incarnation: u64,
    sequence: AtomicU64,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<BTreeMap<String, u32>>,
    /// Channel that holds one token for each free slot.
    free_slots: Receiver<()>,
    release_slot: Sender<()>,
}

/// A running stand-in target.
pub struct Target {
    inner: Arc<Inner>,
    stop: Sender<()>,
    wake: Sender<()>,
    server: JoinHandle<()>,
    announcer: JoinHandle<()>,
}

impl Target {
    /// Starts to listen, and announces the target until `stop`.
    pub async fn start(settings: Settings) -> io::Result<Target> {
        let listener = TcpListener::bind(settings.listen).await?;
        let (release_slot, free_slots) = bounded(settings.slots);
        (0..settings.slots).for_each(|_| {
            let _ = release_slot.try_send(());
        });
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let inner = Arc::new(Inner {
            address: listener.local_addr()?,
            incarnation: since_epoch.unwrap_or_default().as_millis() as u64,
            sequence: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            behaviour: Mutex::new(Behaviour::Serve),
            runs: Mutex::default(),
            free_slots,
            release_slot,
            settings,
        });
        let (stop, stopped) = bounded(1);
        let (wake, woken) = bounded(1);
        let server = task::spawn(serve(inner.clone(), listener, stopped.clone()));
        let announcer = task::spawn(announce(inner.clone(), stopped, woken));
        Ok(Target { inner, stop, wake, server, announcer })
    }

    /// Returns the address on which it serves requests.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns how often it ran a request with each body.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.inner.runs.lock().expect("no holder panics").clone()
    }

    /// Sets how it answers requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.inner.behaviour.lock().expect("no holder panics") = behaviour;
    }

    /// Announces at once that it takes no new work.
    pub fn leave(&self) {
        self.inner.leaving.store(true, Ordering::Release);
        let _ = self.wake.try_send(());
    }

    /// Returns the number of requests that run or wait for a slot.
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Stops without announcing it, as if it had been killed.
    pub async fn stop(self) {
        drop(self.stop);
        self.announcer.await;
        self.server.await;
    }
}

async fn serve(inner: Arc<Inner>, listener: TcpListener, stopped: Receiver<()>) {
    let mut connections = Vec::new();
    loop {
        futures::select! {
            accepted = listener.accept().fuse() => {
                let Ok((stream, _)) = accepted else { break };
                connections.push(task::spawn(connection(inner.clone(), stream)));
            }
            _ = stopped.recv().fuse() => break,
        }
    }
    for connection in connections {
        connection.cancel().await;
    }
}

async fn connection(inner: Arc<Inner>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let raw_stream = stream.clone();
    let endpoint = |request| handle(inner.clone(), raw_stream.clone(), request);
    let _ = async_h1::accept(stream, endpoint).await;
}

async fn handle(
    inner: Arc<Inner>,
    raw_stream: TcpStream,
    mut request: Request,
) -> http_types::Result<Response> {
    let behaviour = *inner.behaviour.lock().expect("no holder panics");
    let body = request.body_string().await?;
    if behaviour == Behaviour::Refuse {
        let mut response = Response::new(StatusCode::ServiceUnavailable);
        response.insert_header("request-outcome", "not-run");
        response.set_body("refused");
        return Ok(response);
    }
    if behaviour == Behaviour::Fail {
        return Ok(Response::new(StatusCode::InternalServerError));
    }
    inner.in_flight.fetch_add(1, Ordering::AcqRel);
    let _ = inner.free_slots.recv().await;
    *inner.runs.lock().expect("no holder panics").entry(body.clone()).or_default() += 1;
    task::sleep(inner.settings.work).await;
    let _ = inner.release_slot.try_send(());
    inner.in_flight.fetch_sub(1, Ordering::AcqRel);
    let path = request.url().path();
    let text = format!("{} did {path} for {body}\n", inner.settings.instance);
    let mut response = Response::new(StatusCode::Ok);
    if let Some(id) = request.header("request-id") {
        response.insert_header("request-id", id);
    }
    match behaviour {
        Behaviour::Serve | Behaviour::Refuse | Behaviour::Fail => response.set_body(text),
        Behaviour::Truncate => {
            let half = Body::from_reader(HalfBody::new(&text, raw_stream), Some(text.len()));
            response.set_body(half);
        }
        Behaviour::Silent => futures::future::pending().await,
    }
    Ok(response)
}

/// Response body that yields half of a text and then closes the connection.
struct HalfBody {
    half: Vec<u8>,
    raw_stream: TcpStream,
}

impl HalfBody {
    fn new(text: &str, raw_stream: TcpStream) -> HalfBody {
        HalfBody { half: text.as_bytes()[..text.len() / 2].to_vec(), raw_stream }
    }
}

impl async_std::io::Read for HalfBody {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        let count = self.half.len().min(buf.len());
        if count == 0 {
            let _ = self.raw_stream.shutdown(std::net::Shutdown::Write);
            return std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        buf[..count].copy_from_slice(&self.half[..count]);
        self.half.drain(..count);
        std::task::Poll::Ready(Ok(count))
    }
}

impl async_std::io::BufRead for HalfBody {
    fn poll_fill_buf(
        self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.half.is_empty() {
            return std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        std::task::Poll::Ready(Ok(&this.half))
    }

    fn consume(mut self: std::pin::Pin<&mut Self>, amount: usize) {
        self.half.drain(..amount);
    }
}

async fn announce(inner: Arc<Inner>, stopped: Receiver<()>, woken: Receiver<()>) {
    let mut entry_index = 0;
    loop {
        let wait = match announce_once(&inner, entry_index).await {
            Some(wait) => wait,
            None => {
                entry_index += 1;
                ANNOUNCE_RETRY
            }
        };
        futures::select! {
            _ = task::sleep(wait).fuse() => {}
            _ = woken.recv().fuse() => {}
            _ = stopped.recv().fuse() => return,
        }
    }
}

/// Announces the target to one entry. Returns the wait until the next announcement, or
/// `None` if the entry did not accept this one.
async fn announce_once(inner: &Inner, entry_index: usize) -> Option<Duration> {
    let entries = &inner.settings.entries;
    let address = entries.get(entry_index % entries.len().max(1))?;
    let leaving = inner.leaving.load(Ordering::Acquire);
    let announcement = Announcement {
        instance: inner.settings.instance.clone(),
        incarnation: inner.incarnation,
        sequence: inner.sequence.fetch_add(1, Ordering::AcqRel) + 1,
        address: inner.address,
        state: if leaving { State::Leaving } else { State::Serving },
        in_flight: inner.in_flight.load(Ordering::Acquire),
    };
    let body = serde_json::to_vec(&announcement).expect("an announcement serialises");
    let mut call = Call::new(*address, "/announcements").post(body).token(&inner.settings.token);
    call.timeout = ANNOUNCE_TIMEOUT;
    let answer = call.send().await.ok()?;
    let reply: AnnounceReply = serde_json::from_slice(&answer.body).ok()?;
    Some(Duration::from_millis(reply.next_ms))
}
