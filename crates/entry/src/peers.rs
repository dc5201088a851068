//! Connections between entries: of each pair, the lower name connects.

use crate::agreement::Input;
use crate::dispatch;
use crate::link::{Link, QUEUE_FRAMES, Traffic};
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

/// Result of work on one connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Silence after which a connection is given up and made anew.
const SILENCE: Duration = Duration::from_millis(2000);
/// Silence after which this end shows that it is alive.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Silence after which nothing more is taken from a connection. Shorter than
/// `SILENCE` less `PING_AFTER`: the peer may have given it up, and what waits in
/// it, by then.
const STALE: Duration = Duration::from_millis(1200);
/// Longest wait for each step before the peer has proved the key.
const HANDSHAKE: Duration = Duration::from_millis(1000);
/// Time between two tries to connect.
const REDIAL: Duration = Duration::from_millis(300);
/// Frame size before the peer has proved the key.
const MAX_HANDSHAKE_BYTES: usize = 4096;

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
    /// The peer is not who it should be.
    #[error("entry \"{0}\" of data centre \"{1}\" is not in the settings")]
    Stranger(String, String),
    /// The peer could not prove the key, or names another cluster.
    #[error(transparent)]
    Wire(#[from] wire::Error),
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

/// Serial numbers of connections and the last refusal of each address.
#[derive(Default)]
pub struct Registry {
    next: AtomicU64,
    refused: Mutex<BTreeMap<SocketAddr, String>>,
}

/// Accepts connections of other entries until the listener's task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener, registry: Arc<Registry>) {
    while let Ok((stream, address)) = listener.accept().await {
        let (parent, registry) = (shared.clone(), registry.clone());
        shared.connections.spawn(async move {
            let result = accept(&parent, &registry, stream).await;
            note_refusal(&parent, &registry, address, result);
        });
    }
}

/// Keeps a connection to one peer until the stop.
pub async fn dial(shared: Arc<Shared>, address: SocketAddr, registry: Arc<Registry>) {
    while !shared.is_stopping() {
        let result = connect(&shared, &registry, address).await;
        note_refusal(&shared, &registry, address, result);
        task::sleep(REDIAL).await;
    }
}

/// Counts a refused peer; logs it once for each reason in a row.
fn note_refusal(shared: &Shared, registry: &Registry, address: SocketAddr, result: Result<()>) {
    let Err(error) = result else { return };
    if !matches!(error, Error::Wire(_) | Error::Stranger(..) | Error::Unexpected) {
        return;
    }
    let name = shared.identity.name.clone();
    metrics::counter!("peers_refused_total", "entry" => name).increment(1);
    let reason = error.to_string();
    let host = SocketAddr::new(address.ip(), 0);
    let before = registry.refused.lock().expect("no holder panics").insert(host, reason.clone());
    if before.as_ref() != Some(&reason) {
        warn!("refused a peer at {}: {reason}", address.ip());
    }
}

async fn connect(shared: &Arc<Shared>, registry: &Registry, address: SocketAddr) -> Result<()> {
    let stream = timeout(HANDSHAKE, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let config = Some(config(MAX_FRAME_BYTES));
    let upgrade = tokio_tungstenite::client_async_with_config(url, stream.compat(), config);
    let (mut socket, _) = timeout(HANDSHAKE, upgrade).await??;
    let hello = Hello { identity: shared.identity.clone(), nonce: proof::nonce() };
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let theirs = read_hello(shared, &mut socket).await?;
    let key = shared.settings.peer_key.bytes();
    let nonces = Nonces { caller: hello.nonce, listener: theirs.nonce };
    let proof = nonces.prove(key, Side::Caller, &shared.identity);
    send(&mut socket, &Frame::Proof(proof)).await?;
    let proof = read_proof(&mut socket).await?;
    nonces.verify(key, Side::Listener, &theirs.identity, &proof)?;
    run(shared, registry, socket, theirs.identity).await
}

async fn accept(shared: &Arc<Shared>, registry: &Registry, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let small = Some(config(MAX_HANDSHAKE_BYTES));
    let upgrade = tokio_tungstenite::accept_async_with_config(stream.compat(), small);
    let mut socket = timeout(HANDSHAKE, upgrade).await??;
    let theirs = read_hello(shared, &mut socket).await?;
    let hello = Hello { identity: shared.identity.clone(), nonce: proof::nonce() };
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let key = shared.settings.peer_key.bytes();
    let nonces = Nonces { caller: theirs.nonce, listener: hello.nonce };
    let proof = read_proof(&mut socket).await?;
    nonces.verify(key, Side::Caller, &theirs.identity, &proof)?;
    // The caller sends nothing before our proof, so no byte is lost here.
    let large = Some(config(MAX_FRAME_BYTES));
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, large).await;
    let proof = nonces.prove(key, Side::Listener, &shared.identity);
    send(&mut socket, &Frame::Proof(proof)).await?;
    run(shared, registry, socket, theirs.identity).await
}

/// The fresh bytes of both ends.
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

fn config(max_bytes: usize) -> WebSocketConfig {
    let mut config = WebSocketConfig::default();
    config.read_buffer_size = 8 << 10; // the default of 128 KiB counts for each peer
    config.write_buffer_size = 0;
    config.max_message_size = Some(max_bytes);
    config.max_frame_size = Some(max_bytes);
    config
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<()> {
    timeout(HANDSHAKE, socket.send(Message::Binary(frame.encode().into()))).await??;
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame> {
    let message = timeout(HANDSHAKE, socket.next()).await?.ok_or(Error::Closed)??;
    Ok(Frame::decode(&message.into_data())?)
}

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
    if known { Ok(hello) } else { Err(Error::Stranger(name.clone(), data_centre.clone())) }
}

async fn read_proof(socket: &mut Socket) -> Result<Vec<u8>> {
    match receive(socket).await? {
        Frame::Proof(proof) => Ok(proof),
        _ => Err(Error::Unexpected),
    }
}

/// Passes frames both ways until one end fails or falls silent.
async fn run(
    shared: &Arc<Shared>,
    registry: &Registry,
    socket: Socket,
    identity: Identity,
) -> Result<()> {
    let serial = registry.next.fetch_add(1, Ordering::Relaxed);
    let (queue, queued) = bounded(QUEUE_FRAMES);
    let link = Link::new(identity, serial, shared.clock.now(), queue);
    let (id, traffic) = (link.id(), link.traffic.clone());
    let heard = link.clone();
    let (sink, stream) = socket.split();
    let identity = link.identity.clone();
    if identity.data_centre == shared.identity.data_centre {
        let sightings = shared.directory().sightings(shared.clock.now());
        link.send(Frame::Sightings(sightings));
    }
    link.send(Frame::Serving((**shared.serving_here.load()).clone()));
    shared.link_up(link);
    push(shared, Input::Up(identity)).await?;
    {
        let write = write_frames(sink, queued, &traffic);
        let read = read_frames(shared, &heard, stream);
        futures::pin_mut!(write, read);
        futures::future::select(write, read).await;
    }
    if shared.link_down(&id, serial) {
        push(shared, Input::Down(id)).await?;
    }
    Ok(())
}

async fn write_frames(
    mut sink: SplitSink<Socket, Message>,
    queued: Receiver<Frame>,
    traffic: &Traffic,
) -> Result<()> {
    loop {
        let frame = match timeout(PING_AFTER, queued.recv()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(_)) => return Err(Error::Closed),
            Err(_) => Frame::Ping,
        };
        let bytes = frame.encode();
        traffic.record_sent(bytes.len());
        sink.send(Message::Binary(bytes.into())).await?;
    }
}

async fn read_frames(
    shared: &Arc<Shared>,
    link: &Link,
    mut stream: SplitStream<Socket>,
) -> Result<()> {
    let id = &link.id();
    loop {
        let message = timeout(SILENCE, stream.next()).await?.ok_or(Error::Closed)??;
        let now = shared.clock.now();
        if link.idle_time(now) > STALE {
            return Err(Error::Timeout); // this process was frozen: what waited is too old
        }
        link.record_activity(now);
        let Message::Binary(bytes) = message else { continue };
        link.traffic.record_received(bytes.len());
        match Frame::decode(&bytes)? {
            Frame::Ping => {}
            Frame::Sightings(sightings) => hear(shared, sightings),
            Frame::Relay(relay) => {
                let (parent, from) = (shared.clone(), id.clone());
                shared
                    .relays
                    .spawn(async move { dispatch::serve_relay(&parent, from, relay).await });
            }
            Frame::Serving(pools) => {
                shared.serving.lock().expect("no holder panics").insert(id.clone(), pools);
            }
            Frame::RelayReply(relayed) => shared.relaying.on_reply(relayed),
            Frame::Claims(settled) => shared.idempotency_keys.take_over(settled),
            frame => push(shared, Input::Frame(id.clone(), frame)).await?,
        }
    }
}

/// Waits for room, so that a burst slows its sender instead of being lost.
async fn push(shared: &Shared, mut input: Input) -> Result<()> {
    use std::sync::mpsc::TrySendError;
    loop {
        match shared.inputs.try_send(input) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(back)) => input = back,
            Err(TrySendError::Disconnected(_)) => return Err(Error::Closed),
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}

fn hear(shared: &Shared, sightings: Vec<route::target::Sighting>) {
    let now = shared.clock.now();
    let mut directory = shared.directory();
    let mut changed = false;
    for sighting in sightings {
        changed |= directory.record_announcement(now, sighting.age, sighting.announcement);
    }
    drop(directory);
    if changed {
        shared.touch();
    }
}
