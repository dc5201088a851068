//! Links to other processes: dialled, accepted, kept alive, made anew.

use crate::frame::{Frame, MAX_FRAME_BYTES, ProcessInfo};
use crate::{Clock, frame};
use async_std::channel::{Receiver, Sender, TrySendError, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Result of work on one connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Silence after which a connection is given up and made anew; three pings.
const SILENCE: Duration = Duration::from_millis(1600);
/// Silence after which this end shows that it is alive.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for each step of making a connection.
const HANDSHAKE: Duration = Duration::from_millis(1000);
/// Time between two tries to connect.
const REDIAL: Duration = Duration::from_millis(250);
/// Time after which an address that never answered is given up, unless it is a
/// seed or learnt anew.
const FORGET: Duration = Duration::from_secs(60);
/// Frames that wait for a slow peer before its connection is given up.
const QUEUE_FRAMES: usize = 2048;
/// Buffer for reading; the library's default of 128 KiB counts for each link.
const READ_BUFFER_BYTES: usize = 8 << 10;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Why a connection ended or was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection ended.
    #[error("the connection ended")]
    Closed,
    /// The peer sent what does not belong here.
    #[error("unexpected frame")]
    Unexpected,
    /// This process is its own peer.
    #[error("the address is this process's own")]
    Own,
    /// The bytes are no frame.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] Box<tungstenite::Error>),
    /// The operating system refused.
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

/// What happens on the links.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection was made.
    Up(ProcessInfo),
    /// The last connection to a process was lost.
    Down(ProcessInfo),
    /// A frame arrived.
    Frame(ProcessInfo, Frame),
}

/// Takes events; must not block for long.
pub type Sink = Box<dyn Fn(Event) + Send + Sync>;

struct Link {
    serial: u64,
    hello: ProcessInfo,
    queue: Sender<Frame>,
}

struct Target {
    dialling: bool,
    seed: bool,
    learnt: Duration,
}

/// Links of this process.
pub struct Net {
    own: ProcessInfo,
    clock: Arc<dyn Clock>,
    sink: Sink,
    serial: AtomicU64,
    links: RwLock<BTreeMap<String, Vec<Link>>>,
    targets: Mutex<BTreeMap<SocketAddr, Target>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    stopping: AtomicBool,
}

impl Net {
    /// No links yet.
    pub fn new(own: ProcessInfo, clock: Arc<dyn Clock>, sink: Sink) -> Arc<Net> {
        Arc::new(Net {
            own,
            clock,
            sink,
            serial: AtomicU64::new(1),
            links: RwLock::default(),
            targets: Mutex::default(),
            tasks: Mutex::default(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Queues a frame for a process by its name. Tells whether a link took it.
    pub fn send(&self, to: &str, frame: Frame) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.get(to).and_then(|links| links.last()) else { return false };
        match link.queue.try_send(frame) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                warn!("link.full peer={to}");
                link.queue.close(); // a peer that takes nothing is as good as silent
                false
            }
            Err(TrySendError::Closed(_)) => false,
        }
    }

    /// Processes that are linked.
    pub fn peers(&self) -> Vec<ProcessInfo> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().filter_map(|links| links.last()).map(|link| link.hello.clone()).collect()
    }

    /// Keeps links to these addresses from now on.
    pub fn add_addresses(
        self: &Arc<Net>,
        addresses: impl IntoIterator<Item = SocketAddr>,
        seed: bool,
    ) {
        let now = self.clock.now();
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            if address == self.own.peer_address {
                continue;
            }
            let target = targets.entry(address).or_insert(Target {
                dialling: false,
                seed: false,
                learnt: now,
            });
            target.seed |= seed;
            target.learnt = now;
            if !target.dialling && !self.stopping.load(Ordering::Acquire) {
                target.dialling = true;
                let net = self.clone();
                self.spawn(async move { net.dial(address).await });
            }
        }
    }

    /// Accepts connections until stopped.
    pub async fn listen(self: Arc<Net>, listener: TcpListener) {
        while !self.stopping.load(Ordering::Acquire) {
            match timeout(REDIAL, listener.accept()).await {
                Ok(Ok((stream, _))) => {
                    let net = self.clone();
                    self.spawn(async move {
                        let _ = net.accept(stream).await; // the reason is logged with the link
                    });
                }
                Ok(Err(error)) => {
                    warn!("link.accept error={error}");
                    task::sleep(REDIAL).await;
                }
                Err(_) => {}
            }
        }
    }

    /// Ends all links and waits for their tasks.
    pub async fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        for links in self.links.read().unwrap_or_else(PoisonError::into_inner).values() {
            links.iter().for_each(|link| {
                link.queue.close();
            });
        }
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        for task in tasks {
            task.await;
        }
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let handle = task::spawn(future);
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
    }

    fn is_linked(&self, address: SocketAddr) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().flatten().any(|link| link.hello.peer_address == address)
    }

    async fn dial(self: Arc<Net>, address: SocketAddr) {
        while !self.stopping.load(Ordering::Acquire) {
            if self.is_linked(address) {
                task::sleep(REDIAL).await;
                continue;
            }
            if self.is_forgotten(address) {
                return;
            }
            match self.connect(address).await {
                Err(Error::Own) => return,
                Ok(()) | Err(_) => task::sleep(REDIAL).await,
            }
        }
    }

    fn is_forgotten(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let old = targets.get(&address).is_some_and(|t| !t.seed && now > t.learnt + FORGET);
        if old {
            targets.remove(&address);
        }
        old
    }

    async fn connect(self: &Arc<Net>, address: SocketAddr) -> Result<()> {
        let stream = timeout(HANDSHAKE, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let upgrade = tokio_tungstenite::client_async_with_config(url, stream.compat(), config());
        let (mut socket, _) = timeout(HANDSHAKE, upgrade).await??;
        send(&mut socket, &Frame::Hello(self.own.clone())).await?;
        let theirs = receive_hello(&mut socket).await?;
        self.run(socket, theirs).await
    }

    async fn accept(self: &Arc<Net>, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), config());
        let mut socket = timeout(HANDSHAKE, upgrade).await??;
        let theirs = receive_hello(&mut socket).await?;
        send(&mut socket, &Frame::Hello(self.own.clone())).await?;
        self.run(socket, theirs).await
    }

    /// Passes frames both ways until one end fails or falls silent.
    async fn run(self: &Arc<Net>, socket: Socket, hello: ProcessInfo) -> Result<()> {
        if hello.name == self.own.name {
            return Err(Error::Own);
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let (queue, queued) = bounded(QUEUE_FRAMES);
        let link = Link { serial, hello: hello.clone(), queue };
        let name = hello.name.clone();
        self.links
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(name.clone())
            .or_default()
            .push(link);
        info!("link.up peer={name} incarnation={:016x} serial={serial}", hello.incarnation);
        if hello.control_address.is_some() {
            self.add_addresses([hello.peer_address], false);
        }
        (self.sink)(Event::Up(hello.clone()));
        let (sink, stream) = socket.split();
        let ended = {
            let write = write_frames(sink, queued);
            let read = self.read_frames(stream, &hello);
            futures::pin_mut!(write, read);
            futures::future::select(write, read).await.factor_first().0
        };
        let reason = ended.as_ref().err().map_or("ended".to_string(), ToString::to_string);
        info!("link.down peer={name} serial={serial} reason={reason:?}");
        if self.drop_link(&hello, serial) {
            (self.sink)(Event::Down(hello));
        }
        ended
    }

    /// Tells whether it was the last link to this life of the process.
    fn drop_link(&self, hello: &ProcessInfo, serial: u64) -> bool {
        let mut all = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let Some(links) = all.get_mut(&hello.name) else { return false };
        links.retain(|link| link.serial != serial);
        let last = !links.iter().any(|link| link.hello.incarnation == hello.incarnation);
        if links.is_empty() {
            all.remove(&hello.name);
        }
        last
    }

    async fn read_frames(&self, mut stream: SplitStream<Socket>, from: &ProcessInfo) -> Result<()> {
        loop {
            let asked = self.clock.now();
            let message = timeout(SILENCE, stream.next()).await?.ok_or(Error::Closed)??;
            if self.clock.now() > asked + SILENCE * 2 {
                return Err(Error::Timeout); // this process was suspended meanwhile
            }
            let Message::Binary(bytes) = message else { continue };
            match Frame::decode(&bytes)? {
                Frame::Ping | Frame::Hello(_) => {}
                frame => (self.sink)(Event::Frame(from.clone(), frame)),
            }
        }
    }

    /// Addresses for other processes that are linked or were learnt lately.
    pub fn cores(&self) -> BTreeSet<SocketAddr> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let linked = links.values().flatten().map(|link| &link.hello);
        linked
            .filter(|hello| hello.control_address.is_some())
            .map(|hello| hello.peer_address)
            .collect()
    }
}

fn config() -> Option<WebSocketConfig> {
    let mut config = WebSocketConfig::default();
    config.read_buffer_size = READ_BUFFER_BYTES;
    config.write_buffer_size = 0;
    config.max_message_size = Some(MAX_FRAME_BYTES);
    config.max_frame_size = Some(MAX_FRAME_BYTES);
    Some(config)
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<()> {
    timeout(HANDSHAKE, socket.send(Message::Binary(frame.encode().into()))).await??;
    Ok(())
}

async fn receive_hello(socket: &mut Socket) -> Result<ProcessInfo> {
    let message = timeout(HANDSHAKE, socket.next()).await?.ok_or(Error::Closed)??;
    match Frame::decode(&message.into_data())? {
        Frame::Hello(hello) => Ok(hello),
        _ => Err(Error::Unexpected),
    }
}

async fn write_frames(mut sink: SplitSink<Socket, Message>, queued: Receiver<Frame>) -> Result<()> {
    loop {
        let frame = match timeout(PING_AFTER, queued.recv()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(_)) => return Err(Error::Closed),
            Err(_) => Frame::Ping,
        };
        sink.feed(Message::Binary(frame.encode().into())).await?;
        while let Ok(frame) = queued.try_recv() {
            sink.feed(Message::Binary(frame.encode().into())).await?;
        }
        sink.flush().await?;
    }
}
