//! WebSocket links to the other processes of the cluster.
//!
//! [`Net`] dials every address that it knows until a link to it exists, accepts
//! links from others, pings idle links and ends those whose peer is silent or
//! too slow. Two processes may be linked twice when both dial at once.

use crate::frame::{Frame, MAX_FRAME_BYTES, ProcessInfo};
use crate::queue::{self, Queued};
use crate::{Clock, frame};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::stream::{SplitSink, SplitStream};
use futures::{FutureExt, SinkExt, StreamExt};
use log::{error, info, warn};
use quorum::Id;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Bytes, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Result of an operation on one connection.
pub type Result<T> = std::result::Result<T, Error>;

/// A connection that delivers no frame for this long is closed; it spans three
/// ping intervals.
const PEER_TIMEOUT: Duration = Duration::from_millis(1600);
/// A ping is sent when no other frame was sent for this long.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of each step of setting up a connection: connect, upgrade, `Hello`.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between attempts to connect to an address, and how often the listener
/// checks whether it has to stop.
const REDIAL_INTERVAL: Duration = Duration::from_millis(250);
/// An address without a link is dropped this long after it was last announced or linked,
/// unless it is a seed.
const ADDRESS_EXPIRY: Duration = Duration::from_secs(60);
/// Time for which a stopping process goes on sending the frames that are queued.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a frame before the peer has said who it is.
const MAX_HELLO_BYTES: usize = 16 << 10;
/// Default maximum number of accepted connections whose peers have not said who they are. The oldest
/// one is ended for a further one, so that strangers don't keep peers out.
pub const MAX_HANDSHAKES: usize = 512;
/// Pause of the listener while connections that have to end wait for their tasks.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Maximum number of links that peers have opened.
const MAX_ACCEPTED_LINKS: usize = 1024;
/// Read buffer of each link; the library's default is 128 KiB.
const READ_BUFFER_BYTES: usize = 8 << 10;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Reason why a connection ended or was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not connect, reply or send a frame in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection was closed by either side.
    #[error("connection closed")]
    Closed,
    /// Another connection took the place of this one before its peer said who it is.
    #[error("too many later connections wait for their handshake")]
    HandshakeOverrun,
    /// Peers have opened as many links as are allowed.
    #[error("peers have opened {MAX_ACCEPTED_LINKS} links")]
    TooManyLinks,
    /// The first frame of the peer was not `Hello`.
    #[error("the first frame is not Hello")]
    UnexpectedFrame,
    /// The peer has the name of this process, which happens when a process dials itself.
    #[error("connected to itself")]
    SelfConnection,
    /// Too many bytes are queued for the peer.
    #[error("the peer reads too slowly")]
    Full,
    /// The event handler panicked.
    #[error("the event handler panicked")]
    HandlerPanicked,
    /// The bytes received are not a valid frame.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The WebSocket connection failed.
    #[error(transparent)]
    Socket(#[from] Box<tungstenite::Error>),
    /// A system call on the socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl From<async_std::future::TimeoutError> for Error {
    fn from(_: async_std::future::TimeoutError) -> Error {
        Error::Timeout
    }
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Error {
        Error::Socket(Box::new(error))
    }
}

/// A change on a link, or a frame that arrived.
#[derive(Clone, Debug)]
pub enum Event {
    /// A link to the process was established; there may be others to it already.
    LinkUp(ProcessInfo),
    /// The last link to this incarnation of the process was lost.
    LinkDown(ProcessInfo),
    /// A frame arrived from the process. Pings are not reported.
    Frame(ProcessInfo, Frame),
}

/// Callback for events. It runs in the task of the link, so it must not block for long.
pub type EventHandler = Box<dyn Fn(Event) + Send + Sync>;

/// One connection to a peer.
struct Link {
    /// Number of the link, unique in this process.
    serial: u64,
    peer: ProcessInfo,
    /// Frames to send; closing it ends the link once they are sent.
    queue: queue::Input,
    /// Ends the link at once, whatever is queued.
    end: Sender<Error>,
}

impl Link {
    /// Ends the link at once. Returns false if it is ending already.
    fn end(&self, reason: Error) -> bool {
        self.queue.close();
        self.end.try_send(reason).is_ok()
    }
}

/// An address of another process that this process keeps a link to.
struct KnownAddress {
    /// Whether a task that dials it was started.
    is_dialled: bool,
    is_seed: bool,
    /// When the address was last announced, or its last link lost.
    seen_at: Duration,
}

/// A spawned task, and whether it has ended.
struct Task {
    handle: JoinHandle<()>,
    done: Arc<AtomicBool>,
}

/// Accepted connections whose peers have not said who they are, the oldest first.
struct Handshakes {
    max_count: AtomicUsize,
    /// All that are open: also those whose tasks have yet to begin the handshake, or to end it.
    open_count: AtomicUsize,
    next: AtomicU64,
    ends: Mutex<BTreeMap<u64, Sender<()>>>,
}

/// A handshake in progress; dropping it frees its place.
struct Handshake<'a> {
    handshakes: &'a Handshakes,
    number: u64,
}

impl Default for Handshakes {
    fn default() -> Handshakes {
        Handshakes {
            max_count: AtomicUsize::new(MAX_HANDSHAKES),
            open_count: AtomicUsize::new(0),
            next: AtomicU64::new(0),
            ends: Mutex::default(),
        }
    }
}

impl Handshakes {
    /// Counts an accepted connection, until its handshake is dropped.
    fn open(&self) {
        self.open_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Waits while twice as many connections are open as handshakes may be in progress. Those beyond
    /// that number end as soon as their tasks run.
    async fn wait_for_room(&self) {
        let limit = self.max_count.load(Ordering::Relaxed).saturating_mul(2);
        while self.open_count.load(Ordering::Acquire) >= limit {
            task::sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Begins a handshake, and ends the oldest one if there are too many. The receiver tells when
    /// this one has to end.
    fn begin(&self) -> (Handshake<'_>, Receiver<()>) {
        let (end, ended) = bounded(1);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        if ends.len() >= self.max_count.load(Ordering::Relaxed)
            && let Some((_, oldest)) = ends.pop_first()
        {
            let _ = oldest.try_send(()); // holds one
            metrics::counter!("handshakes_overrun_total").increment(1);
        }
        ends.insert(number, end);
        (Handshake { handshakes: self, number }, ended)
    }
}

impl Drop for Handshake<'_> {
    fn drop(&mut self) {
        let mut ends = self.handshakes.ends.lock().unwrap_or_else(PoisonError::into_inner);
        ends.remove(&self.number);
        self.handshakes.open_count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Links between this process and the others.
pub struct Net {
    own: ProcessInfo,
    clock: Arc<dyn Clock>,
    event_handler: EventHandler,
    /// Serial of the next link.
    next_serial: AtomicU64,
    /// Links by the name of the peer, the newest at the end.
    links: RwLock<BTreeMap<String, Vec<Link>>>,
    /// Bytes queued on all links.
    queued: queue::Total,
    known_addresses: Mutex<BTreeMap<SocketAddr, KnownAddress>>,
    handshakes: Handshakes,
    /// Number of links that peers have opened.
    accepted_links: AtomicUsize,
    tasks: Mutex<Vec<Task>>,
    stopping: AtomicBool,
}

impl Net {
    /// Creates a network without links.
    pub fn new(own: ProcessInfo, clock: Arc<dyn Clock>, event_handler: EventHandler) -> Arc<Net> {
        Arc::new(Net {
            own,
            clock,
            event_handler,
            next_serial: AtomicU64::new(1),
            links: RwLock::default(),
            queued: queue::Total::default(),
            known_addresses: Mutex::default(),
            handshakes: Handshakes::default(),
            accepted_links: AtomicUsize::new(0),
            tasks: Mutex::default(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Sets how many accepted connections may wait for their peer to say who it is.
    pub fn set_max_handshakes(&self, max_count: usize) {
        self.handshakes.max_count.store(max_count.max(1), Ordering::Relaxed);
    }

    /// Queues a frame for the process of this name, on its newest link. Returns whether
    /// it was queued; delivery is not guaranteed.
    pub fn send(&self, to: &str, frame: &Frame) -> bool {
        self.send_all(&[to], frame).is_empty()
    }

    /// Queues a frame for each of the processes, which encodes it only once. Returns those for
    /// which it could not be queued.
    pub fn send_all<'a>(&self, to: &[&'a str], frame: &Frame) -> Vec<&'a str> {
        self.queue(to, frame, |_| true)
    }

    /// Queues a frame for one incarnation of a process, like [`Net::send`]. It is dropped if only
    /// another incarnation of that name is linked.
    pub fn send_to(&self, to: &Id, frame: &Frame) -> bool {
        let is_receiver = |peer: &ProcessInfo| peer.incarnation == to.incarnation;
        self.queue(&[to.name.as_str()], frame, is_receiver).is_empty()
    }

    /// Queues a frame on the newest link to each name whose peer is a receiver. Returns the names
    /// for which it could not be queued.
    fn queue<'a>(
        &self,
        to: &[&'a str],
        frame: &Frame,
        is_receiver: impl Fn(&ProcessInfo) -> bool,
    ) -> Vec<&'a str> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let newest = |name: &str| links.get(name)?.iter().rfind(|link| is_receiver(&link.peer));
        if !to.iter().any(|name| newest(name).is_some()) {
            return to.to_vec();
        }
        let content = Bytes::from(frame.encode());
        let is_refused = |name: &&&str| {
            newest(name).is_none_or(|link| match link.queue.push(content.clone()) {
                Ok(()) => false,
                Err(queue::Error::Full) => {
                    end_full_link(link);
                    true
                }
                Err(queue::Error::Closed) => true,
            })
        };
        let refused = to.iter().filter(is_refused).copied().collect();
        metrics::gauge!("link_queued_bytes").set(self.queued.bytes() as f64);
        if self.queued.bytes() > queue::MAX_TOTAL_BYTES {
            end_fullest_links(links.values().flatten(), self.queued.bytes());
        }
        refused
    }

    /// Returns the size in bytes of the frames that are queued on all links.
    pub fn queued_bytes(&self) -> usize {
        self.queued.bytes()
    }

    /// Returns the processes that are linked at present.
    pub fn peers(&self) -> Vec<ProcessInfo> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().filter_map(|links| links.last()).map(|link| link.peer.clone()).collect()
    }

    /// Starts to dial these addresses and keeps links to them. Addresses that are
    /// known already are marked as announced again.
    pub fn add_addresses(
        self: &Arc<Net>,
        addresses: impl IntoIterator<Item = SocketAddr>,
        is_seed: bool,
    ) {
        let now = self.clock.now();
        let mut known_addresses =
            self.known_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            if address == self.own.peer_address {
                continue;
            }
            let known = known_addresses.entry(address).or_insert(KnownAddress {
                is_dialled: false,
                is_seed: false,
                seen_at: now,
            });
            known.is_seed |= is_seed;
            known.seen_at = now;
            if !known.is_dialled && !self.stopping.load(Ordering::Acquire) {
                known.is_dialled = true;
                let net = self.clone();
                self.spawn(async move { net.dial(address).await });
            }
        }
    }

    /// Accepts connections until [`Net::stop`] is called.
    pub async fn listen(self: Arc<Net>, listener: TcpListener) {
        while !self.stopping.load(Ordering::Acquire) {
            match timeout(REDIAL_INTERVAL, listener.accept()).await {
                Ok(Ok((stream, _))) => {
                    let net = self.clone();
                    self.handshakes.open();
                    self.spawn(async move {
                        let _ = net.accept(stream).await; // `run_link` logs why the link went down
                    });
                    self.handshakes.wait_for_room().await;
                }
                Ok(Err(error)) => {
                    warn!("link.accept error={error}");
                    task::sleep(REDIAL_INTERVAL).await;
                }
                Err(_) => {}
            }
        }
    }

    /// Closes all links and waits for their tasks to end. Frames that are queued are still
    /// sent, for a limited time.
    pub async fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.for_each_link(|link| link.queue.close());
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        let ended = async {
            for task in tasks {
                task.handle.await;
            }
        };
        futures::pin_mut!(ended);
        if timeout(STOP_TIMEOUT, ended.as_mut()).await.is_err() {
            self.for_each_link(|link| {
                link.end(Error::Timeout);
            });
            ended.await;
        }
    }

    fn for_each_link(&self, action: impl FnMut(&Link)) {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().flatten().for_each(action);
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let done = Arc::new(AtomicBool::new(false));
        let done_flag = done.clone();
        let handle = task::spawn(async move {
            future.await;
            done_flag.store(true, Ordering::Release);
        });
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.done.load(Ordering::Acquire));
        tasks.push(Task { handle, done });
    }

    fn is_linked(&self, address: SocketAddr) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().flatten().any(|link| link.peer.peer_address == address)
    }

    /// Connects to the address whenever no link to it exists, until the address has
    /// expired or turns out to be this process.
    async fn dial(self: Arc<Net>, address: SocketAddr) {
        while !self.stopping.load(Ordering::Acquire) {
            if self.is_linked(address) {
                task::sleep(REDIAL_INTERVAL).await;
                continue;
            }
            if self.remove_if_expired(address) {
                return;
            }
            match self.connect(address).await {
                Err(Error::SelfConnection) => return,
                Ok(()) | Err(_) => task::sleep(REDIAL_INTERVAL).await,
            }
        }
    }

    /// Lets the expiry of an address, if it is known, count from now.
    fn record_seen(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut known_addresses =
            self.known_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = known_addresses.get_mut(&address) {
            known.seen_at = now;
        }
    }

    /// Removes the address if it has expired. Returns whether it did.
    fn remove_if_expired(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut known_addresses =
            self.known_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let expired = known_addresses
            .get(&address)
            .is_some_and(|known| !known.is_seed && now > known.seen_at + ADDRESS_EXPIRY);
        if expired {
            known_addresses.remove(&address);
        }
        expired
    }

    /// Dials a peer and runs the link until it ends.
    async fn connect(self: &Arc<Net>, address: SocketAddr) -> Result<()> {
        let stream = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let upgrade = tokio_tungstenite::client_async_with_config(
            url,
            stream.compat(),
            websocket_config(MAX_FRAME_BYTES),
        );
        let (mut socket, _) = timeout(HANDSHAKE_TIMEOUT, upgrade).await??;
        send(&mut socket, &Frame::Hello(self.own.clone())).await?;
        let peer = receive_hello(&mut socket).await?;
        self.run_link(socket, peer).await
    }

    /// Accepts a peer on a new connection and runs the link until it ends.
    async fn accept(self: &Arc<Net>, stream: TcpStream) -> Result<()> {
        let (handshake, ended) = self.handshakes.begin();
        let accepted = futures::select! {
            accepted = accept_hello(stream).fuse() => accepted,
            _ = ended.recv().fuse() => Err(Error::HandshakeOverrun),
        };
        drop(handshake);
        let (mut socket, peer) = accepted?;
        if self.accepted_links.fetch_add(1, Ordering::AcqRel) >= MAX_ACCEPTED_LINKS {
            self.accepted_links.fetch_sub(1, Ordering::AcqRel);
            metrics::counter!("links_refused_total").increment(1);
            return Err(Error::TooManyLinks);
        }
        let result = async {
            send(&mut socket, &Frame::Hello(self.own.clone())).await?;
            self.run_link(socket, peer).await
        };
        let result = result.await;
        self.accepted_links.fetch_sub(1, Ordering::AcqRel);
        result
    }

    /// Registers the link and passes frames both ways until it fails or times out.
    async fn run_link(self: &Arc<Net>, socket: Socket, peer: ProcessInfo) -> Result<()> {
        if peer.name == self.own.name {
            return Err(Error::SelfConnection);
        }
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let (queue, queued) = queue::new(&self.queued);
        let (end, ended) = bounded(1);
        let link = Link { serial, peer: peer.clone(), queue, end };
        let name = peer.name.clone();
        {
            let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
            if self.stopping.load(Ordering::Acquire) {
                return Err(Error::Closed); // `stop` has closed the links that it found
            }
            links.entry(name.clone()).or_default().push(link);
        }
        info!("link.up peer={name} incarnation={:016x} serial={serial}", peer.incarnation);
        if peer.control_address.is_some() {
            self.add_addresses([peer.peer_address], false);
        }
        let announced = self.notify(Event::LinkUp(peer.clone()));
        let (sink, stream) = socket.split();
        let result = if announced.is_err() {
            announced
        } else {
            let mut write = pin!(write_frames(sink, queued).fuse());
            let mut read = pin!(self.read_frames(stream, &peer).fuse());
            let mut ended = pin!(ended.recv().fuse());
            futures::select! {
                result = write => result,
                result = read => result,
                reason = ended => Err(reason.unwrap_or(Error::Closed)),
            }
        };
        let reason = result.as_ref().err().map_or("ended".to_string(), ToString::to_string);
        info!("link.down peer={name} serial={serial} reason={reason:?}");
        self.record_seen(peer.peer_address); // before the link is removed and `dial` looks
        if self.remove_link(&peer, serial) {
            let _ = self.notify(Event::LinkDown(peer)); // the link is down already
        }
        result
    }

    /// Calls the event handler. Its panic must not end the task of the link, which would leave a
    /// link that nobody serves and an address that nobody dials.
    fn notify(&self, event: Event) -> Result<()> {
        catch_unwind(AssertUnwindSafe(|| (self.event_handler)(event))).map_err(|_| {
            error!("link.handler_panicked: the event is lost");
            Error::HandlerPanicked
        })
    }

    /// Removes the link. Returns whether it was the last one to this incarnation of
    /// the process.
    fn remove_link(&self, peer: &ProcessInfo, serial: u64) -> bool {
        let mut links_by_name = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let Some(links) = links_by_name.get_mut(&peer.name) else { return false };
        links.retain(|link| link.serial != serial);
        let was_last = !links.iter().any(|link| link.peer.incarnation == peer.incarnation);
        if links.is_empty() {
            links_by_name.remove(&peer.name);
        }
        was_last
    }

    /// Reports received frames until the link fails or the peer falls silent. A frame that may have
    /// waited for longer than that, since this process stood still, is not reported.
    async fn read_frames(&self, mut stream: SplitStream<Socket>, from: &ProcessInfo) -> Result<()> {
        let mut read_at = self.clock.now();
        loop {
            let message = timeout(PEER_TIMEOUT, stream.next()).await?.ok_or(Error::Closed)??;
            let now = self.clock.now();
            if now > read_at + PEER_TIMEOUT {
                return Err(Error::Timeout);
            }
            read_at = now;
            let Message::Binary(bytes) = message else { continue };
            match Frame::decode(&bytes)? {
                Frame::Ping | Frame::Hello(_) => {}
                frame => self.notify(Event::Frame(from.clone(), frame))?,
            }
        }
    }

    /// Returns the peer addresses of all linked core processes.
    pub fn core_addresses(&self) -> BTreeSet<SocketAddr> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let linked = links.values().flatten().map(|link| &link.peer);
        linked.filter(|peer| peer.control_address.is_some()).map(|peer| peer.peer_address).collect()
    }
}

/// Accepts a WebSocket connection and reads who the peer is.
async fn accept_hello(stream: TcpStream) -> Result<(Socket, ProcessInfo)> {
    stream.set_nodelay(true)?;
    let small = websocket_config(MAX_HELLO_BYTES);
    let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), small);
    let mut socket = timeout(HANDSHAKE_TIMEOUT, upgrade).await??;
    let peer = receive_hello(&mut socket).await?;
    // The peer sends nothing further until it is answered, so no byte is lost with the buffer.
    let (stream, large) = (socket.into_inner(), websocket_config(MAX_FRAME_BYTES));
    Ok((WebSocketStream::from_raw_socket(stream, Role::Server, large).await, peer))
}

fn websocket_config(max_bytes: usize) -> Option<WebSocketConfig> {
    let mut websocket_config = WebSocketConfig::default();
    websocket_config.read_buffer_size = READ_BUFFER_BYTES;
    websocket_config.write_buffer_size = 0;
    websocket_config.max_message_size = Some(max_bytes);
    websocket_config.max_frame_size = Some(max_bytes);
    Some(websocket_config)
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, socket.send(Message::Binary(frame.encode().into()))).await??;
    Ok(())
}

async fn receive_hello(socket: &mut Socket) -> Result<ProcessInfo> {
    let message = timeout(HANDSHAKE_TIMEOUT, socket.next()).await?.ok_or(Error::Closed)??;
    match Frame::decode(&message.into_data())? {
        Frame::Hello(peer) => Ok(peer),
        _ => Err(Error::UnexpectedFrame),
    }
}

/// Ends the fullest links until the others hold at most [`queue::MAX_TOTAL_BYTES`].
fn end_fullest_links<'a>(links: impl Iterator<Item = &'a Link>, queued_bytes: usize) {
    let mut links: Vec<&Link> = links.collect();
    links.sort_by_key(|link| Reverse(link.queue.bytes()));
    let mut remaining = queued_bytes;
    for link in links {
        if remaining <= queue::MAX_TOTAL_BYTES {
            return;
        }
        remaining = remaining.saturating_sub(link.queue.bytes());
        end_full_link(link);
    }
}

/// Ends a link whose peer reads too slowly.
fn end_full_link(link: &Link) {
    let queued_bytes = link.queue.bytes();
    if link.end(Error::Full) {
        warn!("link.full peer={} queued_bytes={queued_bytes}", link.peer.name);
        metrics::counter!("links_full_total").increment(1);
    }
}

/// Sends queued frames, and pings while there are none, until the queue is closed.
async fn write_frames(
    mut sink: SplitSink<Socket, Message>,
    queued: Receiver<Queued>,
) -> Result<()> {
    loop {
        match timeout(PING_INTERVAL, queued.recv()).await {
            Ok(Ok(frame)) => sink.feed(Message::Binary(frame.content())).await?,
            Ok(Err(_)) => return Err(Error::Closed),
            Err(_) => sink.feed(Message::Binary(Frame::Ping.encode().into())).await?,
        }
        while let Ok(frame) = queued.try_recv() {
            sink.feed(Message::Binary(frame.content())).await?;
        }
        sink.flush().await?;
    }
}
