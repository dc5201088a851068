//! Starts an entry process from its settings and stops it gracefully.

use crate::agreement::{Agreement, COMPACT_ENTRIES, Input, Setup, View};
use crate::clock::{Clock, System};
use crate::forward::Forwarder;
use crate::gate::Gate;
use crate::http::{Tide, callers, operators, targets};
use crate::idempotency::Keys;
use crate::peers::{self, Registry};
use crate::relay::Pending;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::tasks::Tasks;
use crate::{background, settings};
use arc_swap::ArcSwap;
use async_std::net::{SocketAddr, TcpListener};
use async_std::task::{self, JoinHandle};
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use quorum::{Id, Node, State};
use route::{Directory, Table};
use serve::budget::Budget;
use serve::{Limits, Listener, StopHandle};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex, RwLock};
use std::thread;
use store::{DiskFolder, Store};
use wire::proof::Identity;

/// Result of starting an entry.
pub type Result<T> = std::result::Result<T, Error>;

/// Capacity of the agreement thread's input queue. A full queue slows peers down and
/// refuses proposals of this process.
const INPUT_QUEUE_LEN: usize = 4096;
/// Longest wait for the cluster to record that a stopping entry leaves.
const LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

/// Errors that keep an entry from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Binding a listener failed.
    #[error("{field}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting.
        field: &'static str,
        /// Address that the setting names.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Opening or reading the data folder failed.
    #[error("data_folder: {0}")]
    Store(#[from] store::Error),
    /// The operating system refused to start a thread.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Bound sockets of an entry, taken over by [`Process::start`].
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers and the health check.
    pub callers: TcpListener,
    /// Announcements of targets.
    pub targets: TcpListener,
    /// Submissions and queries of operators.
    pub operators: TcpListener,
    /// Connections of other entries.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings. Fails on the first that can't be bound.
    pub async fn bind(settings: &Settings) -> Result<Listeners> {
        let listen = &settings.listen;
        Ok(Listeners {
            callers: bind("listen.callers", listen.callers).await?,
            targets: bind("listen.targets", listen.targets).await?,
            operators: bind("listen.operators", listen.operators).await?,
            peers: bind("entries.address", settings.own().address).await?,
        })
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { field, address, source })
}

/// A running entry process.
pub struct Process {
    shared: Arc<Shared>,
    agreement: thread::JoinHandle<()>,
    stop_handles: Vec<StopHandle>,
    listener_tasks: Vec<JoinHandle<()>>,
    background_tasks: Vec<JoinHandle<()>>,
    peer_listener: JoinHandle<()>,
    dialers: Vec<JoinHandle<()>>,
}

impl Process {
    /// Recovers the state in the data folder and starts serving on the bound sockets.
    pub fn start(
        settings: Settings,
        sockets: Listeners,
        metrics: PrometheusHandle,
    ) -> Result<Process> {
        let clock: Arc<dyn Clock> = Arc::new(System::new());
        let process_incarnation = rand::random();
        let (store, incarnation, state) = open_store(&settings, process_incarnation)?;
        let identity = identity(&settings, incarnation, process_incarnation);
        let (inputs, queue) = sync_channel(INPUT_QUEUE_LEN);
        let (rebuild_sender, rebuild_receiver) = async_std::channel::bounded(1);
        let announce = &settings.announce;
        let directory =
            Directory::new(identity.data_centre.clone(), announce.interval, announce.expiry);
        let table = Arc::new(ArcSwap::from_pointee(Table::default()));
        let gate = Arc::new(Gate::new(clock.clone(), table.clone()));
        let forwarder = Forwarder::new(
            clock.clone(),
            settings.name.clone(),
            process_incarnation,
            settings.limits.max_answer_bytes,
            gate.clone(),
        );
        let shared = Arc::new(Shared {
            identity,
            clock,
            table,
            gate,
            directory: Mutex::new(directory),
            fleet: Arc::new(RwLock::default()),
            view: ArcSwap::from_pointee(View::initial()),
            links: RwLock::new(BTreeMap::new()),
            applied_history: Mutex::default(),
            forwarder,
            local_pools: ArcSwap::default(),
            peer_pools: Mutex::default(),
            idempotency_keys: Keys::new(settings.name.clone(), process_incarnation),
            pending_relays: Pending::new(process_incarnation),
            relay_tasks: Tasks::default(),
            connection_tasks: Tasks::default(),
            stopping: AtomicBool::new(false),
            inputs,
            rebuild_sender,
            rebuild_receiver,
            settings,
        });
        let agreement = start_agreement(shared.clone(), store, state, queue)?;
        Ok(serve_on(shared, agreement, sockets, metrics))
    }

    /// Returns the shared state, for tests and the demo.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops gracefully: fails the health check, finishes requests in flight, leaves
    /// the cluster and joins every task and thread.
    pub async fn stop(self) {
        let shared = self.shared;
        info!("stopping");
        shared.stopping.store(true, Ordering::Release);
        task::sleep(shared.settings.limits.stop_notice).await;
        drop(self.stop_handles);
        for listener in self.listener_tasks {
            listener.await;
        }
        shared.relay_tasks.join().await;
        background::hand_over_claims(&shared);
        let leave = async_std::future::timeout(LEAVE_TIMEOUT, background::leave(&shared)).await;
        if leave.is_err() {
            info!("could not leave the cluster in time, this entry may be cut off");
        }
        self.peer_listener.cancel().await;
        for dialer in self.dialers {
            dialer.cancel().await;
        }
        for link in shared.links() {
            link.close();
        }
        shared.connection_tasks.join().await;
        let _ = shared.inputs.send(Input::Stop);
        for background_task in self.background_tasks {
            background_task.cancel().await;
        }
        let _ = task::spawn_blocking(move || self.agreement.join()).await;
        info!("stopped");
    }
}

fn identity(settings: &Settings, incarnation: u64, process_incarnation: u64) -> Identity {
    Identity {
        cluster: settings.cluster.clone(),
        name: settings.name.clone(),
        data_centre: settings.own().data_centre.clone(),
        incarnation,
        process_incarnation,
        durable: settings.data_folder.is_some(),
    }
}

/// Opens the data folder. Without one, the process incarnation also serves as the
/// incarnation in the agreement.
fn open_store(
    settings: &Settings,
    process_incarnation: u64,
) -> Result<(Option<Store>, u64, State)> {
    let Some(folder) = &settings.data_folder else {
        return Ok((None, process_incarnation, State::default()));
    };
    let disk = DiskFolder::open(folder)?;
    let (store, recovered) = Store::open(Box::new(disk))?;
    Ok((Some(store), recovered.incarnation, recovered.state))
}

fn start_agreement(
    shared: Arc<Shared>,
    store: Option<Store>,
    state: State,
    queue: Receiver<Input>,
) -> Result<thread::JoinHandle<()>> {
    let id = Id::new(shared.identity.name.clone(), shared.identity.incarnation);
    let snapshot = state.snapshot.data.clone();
    let timing = quorum::Timing::default();
    let now = shared.clock.now();
    let node = Node::restore(id, store.is_some(), timing, rand::random(), state, now);
    let founders = shared.settings.entries.iter().filter(|entry| entry.voter);
    let founders = founders.map(|entry| entry.name.clone()).collect();
    let setup = Setup {
        identity: shared.identity.clone(),
        founders,
        fleet: shared.fleet.clone(),
        compact_entries: COMPACT_ENTRIES,
        environment: shared,
    };
    let agreement = Agreement::new(setup, node, store, &snapshot);
    thread::Builder::new()
        .name("agreement".to_string())
        .spawn(move || agreement.run(queue))
        .map_err(Error::Thread)
}

/// Starts the listeners, the peer connections and the background tasks.
fn serve_on(
    shared: Arc<Shared>,
    agreement: thread::JoinHandle<()>,
    sockets: Listeners,
    metrics: PrometheusHandle,
) -> Process {
    let mut stop_handles = Vec::new();
    let mut listener_tasks = Vec::new();
    let apps = [
        (sockets.callers, callers::app(shared.clone())),
        (sockets.targets, targets::app(shared.clone())),
        (sockets.operators, operators::app(shared.clone(), metrics)),
    ];
    let limits = &shared.settings.limits;
    let limits = Limits {
        process_name: shared.identity.name.clone(),
        max_connections: limits.max_connections,
        max_body_bytes: limits.max_body_bytes,
        idle_timeout: limits.idle,
        budget: Budget::new(limits.request_memory_bytes()),
    };
    for (socket, app) in apps {
        let (listener, stop_handle) = Listener::new(socket, Arc::new(Tide(app)), limits.clone());
        stop_handles.push(stop_handle);
        listener_tasks.push(task::spawn(listener.run()));
    }
    let registry = Arc::new(Registry::default());
    let peer_listener = task::spawn(peers::listen(shared.clone(), sockets.peers, registry.clone()));
    // Of each pair of entries, the one with the lower name connects.
    let has_higher_name = |peer: &&settings::Peer| peer.name > shared.identity.name;
    let dialers = shared
        .settings
        .entries
        .iter()
        .filter(has_higher_name)
        .map(|peer| task::spawn(peers::dial(shared.clone(), peer.address, registry.clone())))
        .collect();
    let background_tasks = vec![
        task::spawn(background::refresh_table(shared.clone())),
        task::spawn(background::confirm_releases(shared.clone())),
        task::spawn(background::share_sightings(shared.clone())),
        task::spawn(background::join_cluster(shared.clone())),
    ];
    info!("entry {} of data centre {} started", shared.identity.name, shared.identity.data_centre);
    Process {
        shared,
        agreement,
        stop_handles,
        listener_tasks,
        background_tasks,
        peer_listener,
        dialers,
    }
}
