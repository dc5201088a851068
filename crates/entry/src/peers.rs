//! WebSocket connections between entries. Of each pair, the entry with the lower name
//! connects, so that there is one connection.
//!
//! Both ends prove knowledge of the shared key before any other frame is read. A
//! connection without traffic is closed and opened again.

use crate::agreement::Input;
use crate::dispatch;
use crate::link::{Link, MAX_QUEUED_FRAMES, Traffic};
use crate::shared::Shared;
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use log::warn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use wire::Frame;
use wire::frame::{Hello, MAX_FRAME_BYTES};
use wire::proof::{self, Identity, Nonce, Side};

/// Result of a step on one connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Time without received data after which a connection is closed and opened again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without a sent frame after which this end sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without received data after which frames that arrive are discarded and the
/// connection is closed. Shorter than `IDLE_TIMEOUT` less `PING_INTERVAL`: after a
/// longer gap the peer may have closed the connection and treated the frames in transit
/// as lost.
const MAX_RECEIVE_GAP: Duration = Duration::from_millis(1200);
/// Longest wait for each step of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two attempts to connect.
const REDIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Largest frame accepted before the peer has proved the key.
const MAX_HANDSHAKE_BYTES: usize = 4096;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Errors that end or refuse a connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection ended.
    #[error("the connection ended")]
    Closed,
    /// The peer sent another frame than the handshake expects.
    #[error("unexpected frame")]
    Unexpected,
    /// The settings list no entry of this name in this data centre, or it is this one.
    #[error("entry \"{0}\" of data centre \"{1}\" is not in the settings")]
    UnknownEntry(String, String),
    /// The peer could not prove the key, or names another cluster.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] Box<tungstenite::Error>),
    /// A call to the operating system failed.
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

/// Serial numbers of connections, and the last refusal reason of each peer host.
#[derive(Default)]
pub struct Registry {
    next_serial: AtomicU64,
    /// By address with port 0, since a peer's port changes with each connection.
    last_refusals: Mutex<BTreeMap<SocketAddr, String>>,
}

/// Accepts connections of other entries until this task is cancelled.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener, registry: Arc<Registry>) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("peer.accept error={error}");
                task::sleep(REDIAL_INTERVAL).await;
                continue;
            }
        };
        let (task_shared, registry) = (shared.clone(), registry.clone());
        shared.connection_tasks.spawn(async move {
            let result = accept(&task_shared, &registry, stream).await;
            record_refusal(&task_shared, &registry, address, result);
        });
    }
}

/// Keeps a connection to one peer open until the process stops.
pub async fn dial(shared: Arc<Shared>, address: SocketAddr, registry: Arc<Registry>) {
    while !shared.is_stopping() {
        let result = connect(&shared, &registry, address).await;
        record_refusal(&shared, &registry, address, result);
        task::sleep(REDIAL_INTERVAL).await;
    }
}

/// Counts a refused peer, and logs it unless the previous refusal of the same host had
/// the same reason.
fn record_refusal(shared: &Shared, registry: &Registry, address: SocketAddr, result: Result<()>) {
    let Err(error) = result else { return };
    if !matches!(error, Error::Wire(_) | Error::UnknownEntry(..) | Error::Unexpected) {
        return;
    }
    let name = shared.identity.name.clone();
    metrics::counter!("peers_refused_total", "entry" => name).increment(1);
    let reason = error.to_string();
    let host = SocketAddr::new(address.ip(), 0);
    let previous =
        registry.last_refusals.lock().expect("no holder panics").insert(host, reason.clone());
    if previous.as_ref() != Some(&reason) {
        warn!("refused peer at {}: {reason}", address.ip());
    }
}

/// Connects to a peer, runs the handshake as caller and serves the connection.
async fn connect(shared: &Arc<Shared>, registry: &Registry, address: SocketAddr) -> Result<()> {
    let stream = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let config = Some(websocket_config(MAX_FRAME_BYTES));
    let upgrade = tokio_tungstenite::client_async_with_config(url, stream.compat(), config);
    let (mut socket, _) = timeout(HANDSHAKE_TIMEOUT, upgrade).await??;
    let hello = Hello { identity: shared.identity.clone(), nonce: proof::nonce() };
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let theirs = read_hello(shared, &mut socket).await?;
    let key = shared.settings.peer_key.bytes();
    let nonces = Nonces { caller: hello.nonce, listener: theirs.nonce };
    let proof = nonces.prove(key, Side::Caller, &shared.identity);
    send(&mut socket, &Frame::Proof(proof)).await?;
    let proof = read_proof(&mut socket).await?;
    nonces.verify(key, Side::Listener, &theirs.identity, &proof)?;
    serve_link(shared, registry, socket, theirs.identity).await
}

/// Runs the handshake as listener on an accepted connection and serves it.
async fn accept(shared: &Arc<Shared>, registry: &Registry, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let small = Some(websocket_config(MAX_HANDSHAKE_BYTES));
    let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), small);
    let mut socket = timeout(HANDSHAKE_TIMEOUT, upgrade).await??;
    let theirs = read_hello(shared, &mut socket).await?;
    let hello = Hello { identity: shared.identity.clone(), nonce: proof::nonce() };
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let key = shared.settings.peer_key.bytes();
    let nonces = Nonces { caller: theirs.nonce, listener: hello.nonce };
    let proof = read_proof(&mut socket).await?;
    nonces.verify(key, Side::Caller, &theirs.identity, &proof)?;
    // Rewraps the stream with the larger frame limit. The caller sends nothing before
    // it has our proof, so no buffered bytes are lost.
    let large = Some(websocket_config(MAX_FRAME_BYTES));
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, large).await;
    let proof = nonces.prove(key, Side::Listener, &shared.identity);
    send(&mut socket, &Frame::Proof(proof)).await?;
    serve_link(shared, registry, socket, theirs.identity).await
}

/// Random bytes of both ends, which make a recorded proof useless for another
/// connection.
struct Nonces {
    caller: Nonce,
    listener: Nonce,
}

impl Nonces {
    fn prove(&self, key: &[u8], side: Side, identity: &Identity) -> Vec<u8> {
        proof::prove(key, side, &self.caller, &self.listener, identity)
    }

    fn verify(&self, key: &[u8], side: Side, identity: &Identity, proof: &[u8]) -> Result<()> {
        proof::verify(key, side, &self.caller, &self.listener, identity, proof)?;
        Ok(())
    }
}

fn websocket_config(max_bytes: usize) -> WebSocketConfig {
    let mut config = WebSocketConfig::default();
    config.read_buffer_size = 8 << 10; // the default is 128 KiB for each connection
    config.write_buffer_size = 0;
    config.max_message_size = Some(max_bytes);
    config.max_frame_size = Some(max_bytes);
    config
}

/// Sends one frame of the handshake.
async fn send(socket: &mut Socket, frame: &Frame) -> Result<()> {
    timeout(HANDSHAKE_TIMEOUT, socket.send(Message::Binary(frame.encode().into()))).await??;
    Ok(())
}

/// Receives one frame of the handshake.
async fn receive(socket: &mut Socket) -> Result<Frame> {
    let message = timeout(HANDSHAKE_TIMEOUT, socket.next()).await?.ok_or(Error::Closed)??;
    Ok(Frame::decode(&message.into_data())?)
}

/// Reads the peer's hello and checks its cluster, name and data centre.
async fn read_hello(shared: &Shared, socket: &mut Socket) -> Result<Hello> {
    let Frame::Hello(hello) = receive(socket).await? else { return Err(Error::Unexpected) };
    let Identity { cluster, name, data_centre, .. } = &hello.identity;
    if *cluster != shared.identity.cluster {
        let (name, cluster) = (name.clone(), cluster.clone());
        return Err(wire::Error::WrongCluster { name, cluster }.into());
    }
    let known = shared.settings.entries.iter().any(|peer| {
        peer.name == *name && peer.data_centre == *data_centre && *name != shared.identity.name
    });
    if known { Ok(hello) } else { Err(Error::UnknownEntry(name.clone(), data_centre.clone())) }
}

async fn read_proof(socket: &mut Socket) -> Result<Vec<u8>> {
    match receive(socket).await? {
        Frame::Proof(proof) => Ok(proof),
        _ => Err(Error::Unexpected),
    }
}

/// Transfers frames in both directions until one end fails or stops sending.
async fn serve_link(
    shared: &Arc<Shared>,
    registry: &Registry,
    socket: Socket,
    identity: Identity,
) -> Result<()> {
    let serial = registry.next_serial.fetch_add(1, Ordering::Relaxed);
    let (queue, queued) = bounded(MAX_QUEUED_FRAMES);
    let link = Link::new(identity, serial, shared.clock.now(), queue);
    let (id, traffic) = (link.id(), link.traffic.clone());
    let reader = link.clone();
    let (sink, stream) = socket.split();
    let identity = link.identity.clone();
    if identity.data_centre == shared.identity.data_centre {
        let sightings = shared.directory().sightings(shared.clock.now());
        link.send(Frame::Sightings(sightings));
    }
    link.send(Frame::Serving((**shared.local_pools.load()).clone()));
    shared.add_link(link);
    push(shared, Input::Up(identity)).await?;
    {
        let write = write_frames(sink, queued, &traffic);
        let read = read_frames(shared, &reader, stream);
        futures::pin_mut!(write, read);
        futures::future::select(write, read).await;
    }
    if shared.remove_link(&id, serial) {
        push(shared, Input::Down(id)).await?;
    }
    Ok(())
}

/// Sends queued frames, and a ping whenever none was queued for a while.
async fn write_frames(
    mut sink: SplitSink<Socket, Message>,
    queued: Receiver<Frame>,
    traffic: &Traffic,
) -> Result<()> {
    loop {
        let frame = match timeout(PING_INTERVAL, queued.recv()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(_)) => return Err(Error::Closed),
            Err(_) => Frame::Ping,
        };
        let bytes = frame.encode();
        traffic.record_sent(bytes.len());
        sink.send(Message::Binary(bytes.into())).await?;
    }
}

/// Receives frames and passes each to the part of the process that handles it.
async fn read_frames(
    shared: &Arc<Shared>,
    link: &Link,
    mut stream: SplitStream<Socket>,
) -> Result<()> {
    let id = &link.id();
    loop {
        let message = timeout(IDLE_TIMEOUT, stream.next()).await?.ok_or(Error::Closed)??;
        let now = shared.clock.now();
        if link.idle_time(now) > MAX_RECEIVE_GAP {
            return Err(Error::Timeout); // this process was paused: the waiting frames are stale
        }
        link.record_activity(now);
        let Message::Binary(bytes) = message else { continue };
        link.traffic.record_received(bytes.len());
        match Frame::decode(&bytes)? {
            Frame::Ping => {}
            Frame::Sightings(sightings) => record_sightings(shared, sightings),
            Frame::Relay(relay) => {
                let (task_shared, from) = (shared.clone(), id.clone());
                shared
                    .relay_tasks
                    .spawn(async move { dispatch::serve_relay(&task_shared, from, relay).await });
            }
            Frame::Serving(pools) => {
                shared.peer_pools.lock().expect("no holder panics").insert(id.clone(), pools);
            }
            Frame::RelayReply(reply) => shared.pending_relays.on_reply(reply),
            Frame::Claims(claims) => shared.idempotency_keys.inherit(claims),
            frame => push(shared, Input::Frame(id.clone(), frame)).await?,
        }
    }
}

/// Queues an input for the agreement thread. Waits while the queue is full, so that a
/// burst slows its sender instead of being lost.
async fn push(shared: &Shared, mut input: Input) -> Result<()> {
    use std::sync::mpsc::TrySendError;
    loop {
        match shared.inputs.try_send(input) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(rejected)) => input = rejected,
            Err(TrySendError::Disconnected(_)) => return Err(Error::Closed),
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}

/// Records targets that a peer has seen.
fn record_sightings(shared: &Shared, sightings: Vec<route::target::Sighting>) {
    let now = shared.clock.now();
    let mut directory = shared.directory();
    let mut changed = false;
    for sighting in sightings {
        changed |= directory.record_announcement(now, sighting.age, sighting.announcement);
    }
    drop(directory);
    if changed {
        shared.request_rebuild();
    }
}
