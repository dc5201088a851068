//! What the tasks of one process share.

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

/// Applied indices remembered for each entry.
const IN_FORCE_HISTORY: usize = 256;

/// When each entry was seen to have an index in force.
pub type AppliedHistory = BTreeMap<fleet::Index, SystemTime>;

/// What the tasks of one process share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// What this process says of itself.
    pub identity: Identity,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Routing table that requests read.
    pub table: Arc<ArcSwap<Table>>,
    /// Slots and queues.
    pub gate: Arc<Gate>,
    /// Targets heard of.
    pub directory: Mutex<Directory>,
    /// Replicated state, written by the agreement thread only.
    pub fleet: Arc<RwLock<Fleet>>,
    /// Where the agreement stands.
    pub view: ArcSwap<View>,
    /// Open connections to peers.
    pub links: RwLock<BTreeMap<Id, Link>>,
    /// Since when each entry has which index in force, as seen here.
    pub applied_history: Mutex<BTreeMap<String, AppliedHistory>>,
    /// Connections to targets.
    pub forwarder: Forwarder,
    /// Pools that have targets in this data centre.
    pub serving_here: ArcSwap<BTreeSet<PoolId>>,
    /// Pools that have targets where each peer is.
    pub serving: Mutex<BTreeMap<Id, BTreeSet<PoolId>>>,
    /// Requests that must not run twice.
    pub idempotency_keys: Keys,
    /// Requests handed to peers and not answered yet.
    pub relaying: Pending,
    /// Requests that peers handed over.
    pub relays: Tasks,
    /// Connections that peers made.
    pub connections: Tasks,
    /// Whether a stop has begun.
    pub stopping: AtomicBool,
    /// Input of the agreement thread.
    pub inputs: SyncSender<Input>,
    /// Wakes the task that rebuilds the routing table.
    pub changes: Sender<()>,
    /// Its other end.
    pub changed: Receiver<()>,
}

impl Shared {
    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Asks for a new routing table.
    pub fn touch(&self) {
        let _ = self.changes.try_send(()); // one waiting wake-up is enough
    }

    /// The directory of targets.
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().expect("no holder panics")
    }

    /// Open connections to peers.
    pub fn links(&self) -> Vec<Link> {
        self.links.read().expect("no holder panics").values().cloned().collect()
    }

    /// Takes in a new connection; an older one to the same peer is closed.
    pub fn link_up(&self, link: Link) {
        let old = self.links.write().expect("no holder panics").insert(link.id(), link);
        if let Some(old) = old {
            old.close();
        }
    }

    /// Takes in the end of a connection; tells whether no newer one took its place.
    pub fn link_down(&self, id: &Id, serial: u64) -> bool {
        let mut links = self.links.write().expect("no holder panics");
        let last = links.get(id).is_some_and(|link| link.serial == serial);
        if last {
            links.remove(id);
            self.relaying.on_peer_lost(id);
            self.serving.lock().expect("no holder panics").remove(id);
        }
        last
    }

    /// Queues a frame for a peer, if there is a connection to it.
    pub fn send_to(&self, to: &Id, frame: wire::Frame) {
        if let Some(link) = self.links.read().expect("no holder panics").get(to) {
            link.send(frame);
        }
    }

    /// Has a command agreed on, by this entry or through the leader.
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

    fn changed(&self) {
        self.touch();
    }

    fn in_force(&self, entry: &str, index: fleet::Index) {
        let mut all = self.applied_history.lock().expect("no holder panics");
        let history = all.entry(entry.to_string()).or_default();
        if history.last_key_value().is_none_or(|(last, _)| *last < index) {
            history.insert(index, self.clock.wall());
        }
        while history.len() > IN_FORCE_HISTORY {
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
