//! The agreement thread. It owns the consensus node and the data folder, and is the
//! only writer of the replicated state.
//!
//! Inputs are handled in batches so that one disk sync covers many proposals.

mod effects;
mod proposals;
mod voters;

use async_std::channel::Sender;
use fleet::{Command, Fleet, Member};
use log::{info, warn};
use quorum::{Id, Index, Membership, Node, Role, Term};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime};
use store::Store;
use wire::Frame;
use wire::frame::{Answer, RequestId, Status};
use wire::proof::Identity;

/// Longest wait for an input before the node's timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of inputs handled, after the first, before their log entries are
/// synced.
const MAX_BATCH_INPUTS: usize = 512;
/// Number of applied log entries after which the log is replaced by a snapshot.
pub const COMPACT_ENTRIES: u64 = 1024;

/// Clock, network and observers of the agreement thread; tests replace it.
pub trait Environment: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Duration;
    /// Wall-clock time, only for showing to people.
    fn wall(&self) -> SystemTime;
    /// Queues a frame for a peer; drops it if there is no connection.
    fn send(&self, to: &Id, frame: Frame);
    /// Returns the connected peers.
    fn peers(&self) -> Vec<Identity>;
    /// Called after the replicated state has changed.
    fn state_changed(&self);
    /// Records that an entry has applied the log up to an index.
    fn record_applied(&self, entry: &str, index: Index);
    /// Replaces the view that queries read.
    fn publish(&self, view: View);
    /// Increments a metrics counter.
    fn count(&self, name: &'static str);
}

/// Input of the agreement thread.
pub enum Input {
    /// A connection to a peer was established; it may replace an older one.
    Up(Identity),
    /// The last connection to a peer was lost.
    Down(Id),
    /// A peer sent a frame.
    Frame(Id, Frame),
    /// A task of this process proposes a command; the channel gets the answer.
    Propose(Command, Sender<Answer>),
    /// The process is stopping; the thread returns.
    Stop,
}

/// Parameters of [`Agreement::new`], besides the node and the store.
pub struct Setup {
    /// Clock, network and observers.
    pub environment: Arc<dyn Environment>,
    /// Identity that this process presents to peers.
    pub identity: Identity,
    /// Names of the founding voters, from the settings.
    pub founders: Vec<String>,
    /// Replicated state; only the agreement thread writes it.
    pub fleet: Arc<RwLock<Fleet>>,
    /// Number of applied log entries after which the log is replaced by a snapshot.
    pub compact_entries: u64,
}

/// State of the agreement as published for queries.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// Role of this entry in the consensus group.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// The leader, if one is known.
    pub leader: Option<Id>,
    /// Last committed index.
    #[serde(rename = "commit")]
    pub commit_index: Index,
    /// Last index in the log.
    pub last_index: Index,
    /// Last index that the snapshot covers.
    pub base_index: Index,
    /// Voters and cluster number.
    pub membership: Membership,
    /// Time since the last message from a leader that was in contact with a majority.
    /// None before the first such message.
    #[serde(rename = "silence")]
    pub leader_silence: Option<Duration>,
    /// Whether this entry holds no state of any cluster yet.
    #[serde(rename = "blank")]
    pub uninitialized: bool,
    /// Error after which commands are no longer applied.
    #[serde(rename = "held")]
    pub apply_failure: Option<String>,
    /// Error after which nothing more is written to disk.
    pub disk_failure: Option<String>,
    /// Size of the log file in bytes; none without a data folder.
    pub log_bytes: Option<u64>,
}

impl View {
    /// Returns the view used before the agreement thread has started.
    pub fn initial() -> View {
        View {
            role: Role::Follower,
            term: 0,
            leader: None,
            commit_index: 0,
            last_index: 0,
            base_index: 0,
            membership: Membership::default(),
            leader_silence: None,
            uninitialized: true,
            apply_failure: None,
            disk_failure: None,
            log_bytes: None,
        }
    }
}

/// Where the result of a proposal goes.
enum Waiter {
    Local(Sender<Answer>),
    Remote(Id, RequestId),
}

/// A proposal in the log of this leader that has not been applied yet.
struct PendingProposal {
    term: Term,
    waiter: Waiter,
}

/// A proposal that was sent to the leader and not answered yet.
struct ForwardedProposal {
    leader: Id,
    reply: Sender<Answer>,
}

/// Consensus node, store and proposals of one process.
pub struct Agreement {
    environment: Arc<dyn Environment>,
    identity: Identity,
    founders: Vec<String>,
    fleet: Arc<RwLock<Fleet>>,
    compact_entries: u64,
    node: Node,
    store: Option<Store>,
    pending_proposals: BTreeMap<Index, PendingProposal>,
    forwarded_proposals: BTreeMap<RequestId, ForwardedProposal>,
    last_request_id: RequestId,
    /// Last status frame of each connected peer.
    statuses: BTreeMap<Id, Status>,
    apply_failure: Option<String>,
    disk_failure: Option<String>,
    /// Last applied index that was sent to the peers.
    announced_index: Index,
    /// Leader in the last published view.
    published_leader: Option<Id>,
    /// Term in which the records of the founding voters were last proposed.
    founders_proposed_term: Option<Term>,
}

impl Agreement {
    /// Creates the agreement from a restored node and its store. `state` is the data
    /// of the recovered snapshot, from which the replicated state is restored.
    pub fn new(setup: Setup, node: Node, store: Option<Store>, state: &[u8]) -> Agreement {
        // A reply to an earlier process of this entry may arrive; it must match no id of this one.
        let last_request_id = setup.identity.process_incarnation >> 1;
        let mut agreement = Agreement {
            environment: setup.environment,
            identity: setup.identity,
            founders: setup.founders,
            fleet: setup.fleet,
            compact_entries: setup.compact_entries,
            node,
            store,
            pending_proposals: BTreeMap::new(),
            forwarded_proposals: BTreeMap::new(),
            last_request_id,
            statuses: BTreeMap::new(),
            apply_failure: None,
            disk_failure: None,
            announced_index: 0,
            published_leader: None,
            founders_proposed_term: None,
        };
        agreement.restore(state);
        agreement.process_output();
        agreement
    }

    /// Handles inputs and timers until [`Input::Stop`] or until every sender of inputs
    /// is dropped.
    pub fn run(mut self, inputs: Receiver<Input>) {
        loop {
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(MAX_BATCH_INPUTS) {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle(input);
            }
            self.tick();
        }
    }

    /// Handles one input. Its output is synced, sent and applied by the next
    /// [`Agreement::tick`].
    pub fn handle(&mut self, input: Input) {
        let now = self.environment.now();
        match input {
            Input::Up(identity) => self.on_peer_connected(&identity),
            Input::Down(id) => self.on_peer_lost(&id),
            Input::Frame(from, frame) => self.on_frame(now, from, frame),
            Input::Propose(command, reply) => self.propose(now, command, reply),
            Input::Stop => {}
        }
    }

    /// Runs the timers, then syncs, sends and applies the node's output.
    pub fn tick(&mut self) {
        let now = self.environment.now();
        self.node.tick(now);
        self.manage_voters(now);
        self.process_output();
    }

    /// Returns the consensus node, for inspection.
    pub fn node(&self) -> &Node {
        &self.node
    }

    fn on_peer_connected(&mut self, identity: &Identity) {
        let id = id_of(identity);
        // Proposals sent on an older connection may have been lost with it.
        self.fail_forwarded(&id);
        self.environment.send(&id, Frame::Status(self.status()));
        info!("connected to entry {id}");
        self.node.connect(id);
    }

    fn on_peer_lost(&mut self, id: &Id) {
        if self.environment.peers().iter().any(|peer| id_of(peer) == *id) {
            return; // a newer connection was made before this input was handled
        }
        info!("disconnected from entry {id}");
        self.node.disconnect(id);
        self.statuses.remove(id);
        self.fail_forwarded(id);
    }

    /// Answers every proposal forwarded to a leader: its outcome is unknown, since the
    /// reply may be lost with the connection.
    fn fail_forwarded(&mut self, leader: &Id) {
        let request_ids: Vec<RequestId> = self
            .forwarded_proposals
            .iter()
            .filter(|(_, forwarded)| forwarded.leader == *leader)
            .map(|(id, _)| *id)
            .collect();
        for id in request_ids {
            self.complete_forwarded(id, Answer::Unknown("the leader was lost".to_string()));
        }
    }

    fn on_frame(&mut self, now: Duration, from: Id, frame: Frame) {
        if self.is_foreign(&from) {
            return;
        }
        match frame {
            Frame::Quorum(message) => self.node.receive(now, &from, message),
            Frame::Propose(propose) => self.propose_for_peer(now, from, propose),
            Frame::ProposeReply(reply) => self.complete_forwarded(reply.id, reply.answer),
            Frame::Status(status) => self.record_status(from, status),
            _ => {}
        }
    }

    /// Returns whether a peer belongs to a cluster of the same name that was founded
    /// separately. Its log is unrelated, so its frames are ignored.
    fn is_foreign(&self, from: &Id) -> bool {
        let own = self.node.membership().cluster;
        let theirs = self.statuses.get(from).map_or(0, |status| status.cluster);
        own != 0 && theirs != 0 && own != theirs
    }

    fn record_status(&mut self, from: Id, status: Status) {
        self.environment.record_applied(&from.name, status.applied);
        self.statuses.insert(from.clone(), status);
        if self.is_foreign(&from) {
            self.environment.count("peer_foreign_cluster_total");
            warn!("ignoring entry {from}: its cluster has this name but was founded separately");
        }
    }
}

/// Returns whether this process incarnation of an entry is a member of the cluster.
pub fn has_joined(fleet: &Fleet, identity: &Identity) -> bool {
    let member = fleet.members().get(&identity.name);
    member.is_some_and(|member| member.incarnation == identity.process_incarnation)
}

/// Returns whether an entry may route requests with this state.
///
/// A move does not end before every member in the instance's data centre has
/// released the instance, so a member's state is safe to route with. An entry whose
/// current process can't join may continue with the state of a data folder that has
/// joined, because that state is no older than what the entry had applied before.
/// Any other state could be older.
pub fn may_route(fleet: &Fleet, identity: &Identity) -> bool {
    let data_folder_id = identity.durable.then_some(identity.incarnation);
    let member = fleet.members().get(&identity.name);
    let same_folder =
        |member: &Member| data_folder_id.is_some() && member.data_folder_id == data_folder_id;
    has_joined(fleet, identity) || member.is_some_and(same_folder)
}

fn id_of(identity: &Identity) -> Id {
    Id::new(identity.name.clone(), identity.incarnation)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoding to memory does not fail");
    bytes
}
