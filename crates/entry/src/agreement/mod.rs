//! The thread that owns the agreement, the disk and the replicated state.

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

/// Longest wait between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);
/// Inputs taken together before their entries are synced.
const BATCH_INPUTS: usize = 512;
/// Entries after which the log is replaced by a snapshot.
pub const COMPACT_ENTRIES: u64 = 1024;

/// What the agreement needs of the process around it.
pub trait Environment: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Duration;
    /// Time of day, for people only.
    fn wall(&self) -> SystemTime;
    /// Queues a frame for a peer, if there is a connection to it.
    fn send(&self, to: &Id, frame: Frame);
    /// Peers that are connected.
    fn peers(&self) -> Vec<Identity>;
    /// Replicated state has changed.
    fn changed(&self);
    /// An entry has everything up to an index in force.
    fn in_force(&self, entry: &str, index: Index);
    /// Where the agreement stands now.
    fn publish(&self, view: View);
    /// Counts an event.
    fn count(&self, name: &'static str);
}

/// Input of the agreement thread.
pub enum Input {
    /// A connection was made, for the first time or anew.
    Up(Identity),
    /// The only connection to a peer was lost.
    Down(Id),
    /// A peer sent a frame.
    Frame(Id, Frame),
    /// A task wants a command agreed on.
    Propose(Command, Sender<Answer>),
    /// The process ends.
    Stop,
}

/// What an agreement starts with, besides its node and its disk.
pub struct Setup {
    /// The process around it.
    pub environment: Arc<dyn Environment>,
    /// What the process says of itself.
    pub identity: Identity,
    /// Voters of a cluster to found, by the settings.
    pub founders: Vec<String>,
    /// Replicated state, written by the agreement only.
    pub fleet: Arc<RwLock<Fleet>>,
    /// Entries after which the log is replaced by a snapshot.
    pub compact_entries: u64,
}

/// Where the agreement stands, for queries.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// What this entry does.
    pub role: Role,
    /// Present term.
    pub term: Term,
    /// The leader, if one is known.
    pub leader: Option<Id>,
    /// Last committed index.
    pub commit: Index,
    /// Last index in the log.
    pub last_index: Index,
    /// Last index that the snapshot covers.
    pub base_index: Index,
    /// Voters and cluster number.
    pub membership: Membership,
    /// Time since a leader in touch with a majority was heard from.
    #[serde(rename = "silence")]
    pub leader_silence: Option<Duration>,
    /// Whether no state of any cluster is known here.
    pub blank: bool,
    /// Why commands are no longer applied, if so.
    #[serde(rename = "held")]
    pub apply_failure: Option<String>,
    /// Why the disk takes nothing more, if so.
    pub disk_failure: Option<String>,
    /// Bytes of the log file; none without a data folder.
    pub log_bytes: Option<u64>,
}

impl View {
    /// The view before the agreement has started.
    pub fn blank() -> View {
        View {
            role: Role::Follower,
            term: 0,
            leader: None,
            commit: 0,
            last_index: 0,
            base_index: 0,
            membership: Membership::default(),
            leader_silence: None,
            blank: true,
            apply_failure: None,
            disk_failure: None,
            log_bytes: None,
        }
    }
}

/// Who waits for a proposal.
enum Waiter {
    Local(Sender<Answer>),
    Remote(Id, RequestId),
}

struct Pending {
    term: Term,
    waiter: Waiter,
}

struct Forwarded {
    leader: Id,
    reply: Sender<Answer>,
}

/// The agreement of one process.
pub struct Agreement {
    environment: Arc<dyn Environment>,
    identity: Identity,
    founders: Vec<String>,
    fleet: Arc<RwLock<Fleet>>,
    compact_entries: u64,
    node: Node,
    store: Option<Store>,
    pending: BTreeMap<Index, Pending>,
    forwarded: BTreeMap<RequestId, Forwarded>,
    next_request: RequestId,
    statuses: BTreeMap<Id, Status>,
    apply_failure: Option<String>,
    disk_failure: Option<String>,
    announced: Index,
    leader: Option<Id>,
    founders_proposed: Option<Term>,
}

impl Agreement {
    /// Takes over the node and its disk, and puts the recovered state in force.
    pub fn new(setup: Setup, node: Node, store: Option<Store>, state: &[u8]) -> Agreement {
        let mut agreement = Agreement {
            environment: setup.environment,
            identity: setup.identity,
            founders: setup.founders,
            fleet: setup.fleet,
            compact_entries: setup.compact_entries,
            node,
            store,
            pending: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            next_request: 0,
            statuses: BTreeMap::new(),
            apply_failure: None,
            disk_failure: None,
            announced: 0,
            leader: None,
            founders_proposed: None,
        };
        agreement.restore(state);
        agreement.settle();
        agreement
    }

    /// Runs until [`Input::Stop`].
    pub fn run(mut self, inputs: Receiver<Input>) {
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.input(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(BATCH_INPUTS) {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.input(input);
            }
            self.tick();
        }
    }

    /// Takes in an input; its effects follow with the next [`Agreement::tick`].
    pub fn input(&mut self, input: Input) {
        let now = self.environment.now();
        match input {
            Input::Up(identity) => self.up(&identity),
            Input::Down(id) => self.down(&id),
            Input::Frame(from, frame) => self.frame(now, from, frame),
            Input::Propose(command, reply) => self.propose(now, command, reply),
            Input::Stop => {}
        }
    }

    /// Takes in the time, then syncs, sends and applies what is due.
    pub fn tick(&mut self) {
        let now = self.environment.now();
        self.node.tick(now);
        self.housekeeping(now);
        self.settle();
    }

    /// The node, for queries.
    pub fn node(&self) -> &Node {
        &self.node
    }

    fn up(&mut self, identity: &Identity) {
        let id = id_of(identity);
        self.lose_forwarded(&id); // an older connection may have taken them along
        self.environment.send(&id, Frame::Status(self.status()));
        info!("connected to entry {id}");
        self.node.connect(id);
    }

    fn down(&mut self, id: &Id) {
        if self.environment.peers().iter().any(|peer| id_of(peer) == *id) {
            return; // a newer connection was made before this was taken in
        }
        info!("disconnected from entry {id}");
        self.node.disconnect(id);
        self.statuses.remove(id);
        self.lose_forwarded(id);
    }

    fn lose_forwarded(&mut self, leader: &Id) {
        let lost: Vec<RequestId> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.leader == *leader)
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.finish_forwarded(request, Answer::Unknown("the leader was lost".to_string()));
        }
    }

    fn frame(&mut self, now: Duration, from: Id, frame: Frame) {
        if self.is_foreign(&from) {
            return;
        }
        match frame {
            Frame::Quorum(message) => self.node.receive(now, &from, message),
            Frame::Propose(propose) => self.propose_for(now, from, propose),
            Frame::ProposeReply(proposed) => self.finish_forwarded(proposed.id, proposed.answer),
            Frame::Status(status) => self.take_status(from, status),
            _ => {}
        }
    }

    /// Whether a peer belongs to another founding of a cluster of this name.
    fn is_foreign(&self, from: &Id) -> bool {
        let own = self.node.membership().cluster;
        let theirs = self.statuses.get(from).map_or(0, |status| status.cluster);
        own != 0 && theirs != 0 && own != theirs
    }

    fn take_status(&mut self, from: Id, status: Status) {
        self.environment.in_force(&from.name, status.applied);
        self.statuses.insert(from.clone(), status);
        if self.is_foreign(&from) {
            self.environment.count("peer_foreign_cluster_total");
            warn!("entry {from} belongs to another founding of this cluster; it is ignored");
        }
    }
}

/// Whether this life of an entry is a member of the cluster.
pub fn has_joined(fleet: &Fleet, identity: &Identity) -> bool {
    let member = fleet.members().get(&identity.name);
    member.is_some_and(|member| member.incarnation == identity.process_incarnation)
}

/// Whether an entry may route requests with this state: no move ends without a
/// member of its data centre. An entry that can't join in this life may go on
/// with the state of a disk that has joined, which is no older than what it had
/// in force; any other state could be older.
pub fn may_route(fleet: &Fleet, identity: &Identity) -> bool {
    let disk = identity.durable.then_some(identity.incarnation);
    let member = fleet.members().get(&identity.name);
    let same_disk = |member: &Member| disk.is_some() && member.data_folder_id == disk;
    has_joined(fleet, identity) || member.is_some_and(same_disk)
}

fn id_of(identity: &Identity) -> Id {
    Id::new(identity.name.clone(), identity.incarnation)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("values serialise to memory");
    bytes
}
