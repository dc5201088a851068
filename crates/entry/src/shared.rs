//! State shared by the tasks and threads of one entry process.

use crate::agreement::{Environment, Input, View};
use crate::clock::Clock;
use crate::forward::Forwarder;
use crate::gate::Gate;
use crate::idempotency::Keys;
use crate::link::Link;
use crate::relay::Pending;
use crate::settings::Settings;
use crate::tasks::Tasks;
use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use fleet::{Command, Fleet};
use quorum::Id;
use record::PoolId;
use route::{Directory, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, SystemTime};
use wire::frame::Answer;
use wire::proof::Identity;

/// Longest wait for the answer to a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of applied indexes remembered for each entry.
const MAX_APPLIED_HISTORY: usize = 256;

/// Applied indexes of one entry, with the local wall-clock time at which this process
/// first saw each.
pub type AppliedHistory = BTreeMap<fleet::Index, SystemTime>;

/// State shared by the tasks and threads of one entry process.
pub struct Shared {
    /// Settings that the process started with.
    pub settings: Settings,
    /// Identity that this process presents to peers.
    pub identity: Identity,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Current routing table; replaced as a whole by a background task.
    pub table: Arc<ArcSwap<Table>>,
    /// Admission control: slots and queues of each pool.
    pub gate: Arc<Gate>,
    /// Targets that announced themselves, here or at an entry of this data centre.
    pub directory: Mutex<Directory>,
    /// Replicated state; only the agreement thread writes it.
    pub fleet: Arc<RwLock<Fleet>>,
    /// State of the agreement as last published by its thread.
    pub view: ArcSwap<View>,
    /// Open connections to peers, one for each peer.
    pub links: RwLock<BTreeMap<Id, Link>>,
    /// When each entry was seen to have applied which index, by entry name.
    pub applied_history: Mutex<BTreeMap<String, AppliedHistory>>,
    /// Sends requests to targets.
    pub forwarder: Forwarder,
    /// Pools that have targets in this data centre, as last sent to the peers.
    pub local_pools: ArcSwap<BTreeSet<PoolId>>,
    /// Pools that have targets in each peer's data centre, as the peer last sent them.
    pub peer_pools: Mutex<BTreeMap<Id, BTreeSet<PoolId>>>,
    /// Requests that must not run twice, by idempotency key.
    pub idempotency_keys: Keys,
    /// Requests relayed to peers and not answered yet.
    pub pending_relays: Pending,
    /// Tasks that serve requests relayed by peers.
    pub relay_tasks: Tasks,
    /// Tasks that serve connections accepted from peers.
    pub connection_tasks: Tasks,
    /// Set once a graceful stop has begun; never cleared.
    pub stopping: AtomicBool,
    /// Input queue of the agreement thread.
    pub inputs: SyncSender<Input>,
    /// Wakes the task that rebuilds the routing table. Holds one message, since
    /// one rebuild covers all requests made before it.
    pub rebuild_sender: Sender<()>,
    /// Receiving end of `rebuild_sender`.
    pub rebuild_receiver: Receiver<()>,
}

impl Shared {
    /// Returns whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Requests a rebuild of the routing table.
    pub fn request_rebuild(&self) {
        let _ = self.rebuild_sender.try_send(()); // if full, a rebuild is already due
    }

    /// Locks the directory of targets.
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().expect("no holder panics")
    }

    /// Returns the open connections to peers.
    pub fn links(&self) -> Vec<Link> {
        self.links.read().expect("no holder panics").values().cloned().collect()
    }

    /// Adds a new connection and closes an older one to the same peer.
    pub fn add_link(&self, link: Link) {
        let old = self.links.write().expect("no holder panics").insert(link.id(), link);
        if let Some(old) = old {
            old.close();
        }
    }

    /// Removes a connection that has ended. Returns false if a newer connection to the
    /// same peer has replaced it.
    pub fn remove_link(&self, id: &Id, serial: u64) -> bool {
        let mut links = self.links.write().expect("no holder panics");
        let is_current = links.get(id).is_some_and(|link| link.serial == serial);
        if is_current {
            links.remove(id);
            self.pending_relays.on_peer_lost(id);
            self.peer_pools.lock().expect("no holder panics").remove(id);
        }
        is_current
    }

    /// Queues a frame for a peer; drops it if there is no connection.
    pub fn send_to(&self, to: &Id, frame: wire::Frame) {
        if let Some(link) = self.links.read().expect("no holder panics").get(to) {
            link.send(frame);
        }
    }

    /// Proposes a command, on this entry or through the leader, and waits for its
    /// outcome.
    pub async fn propose(&self, command: Command) -> Answer {
        let (reply, answer) = async_std::channel::bounded(1);
        if self.inputs.try_send(Input::Propose(command, reply)).is_err() {
            return Answer::NotTaken("this entry is overloaded or stopping".to_string());
        }
        match async_std::future::timeout(PROPOSAL_TIMEOUT, answer.recv()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Answer::Unknown("this entry stopped".to_string()),
            Err(_) => Answer::Unknown("no answer from the leader in time".to_string()),
        }
    }
}

impl Environment for Shared {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    fn send(&self, to: &Id, frame: wire::Frame) {
        self.send_to(to, frame);
    }

    fn peers(&self) -> Vec<Identity> {
        self.links().into_iter().map(|link| link.identity).collect()
    }

    fn state_changed(&self) {
        self.request_rebuild();
    }

    fn record_applied(&self, entry: &str, index: fleet::Index) {
        let mut all = self.applied_history.lock().expect("no holder panics");
        let history = all.entry(entry.to_string()).or_default();
        if history.last_key_value().is_none_or(|(last, _)| *last < index) {
            history.insert(index, self.clock.wall());
        }
        while history.len() > MAX_APPLIED_HISTORY {
            history.pop_first();
        }
    }

    fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    fn count(&self, name: &'static str) {
        metrics::counter!(name, "entry" => self.identity.name.clone()).increment(1);
    }
}
