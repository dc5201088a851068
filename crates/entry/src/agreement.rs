//! The thread that owns the agreement, the disk and the replicated state.

use async_std::channel::Sender;
use fleet::{Command, Fleet, Incarnation, Member, Slot};
use log::{error, info, warn};
use quorum::{Id, Index, Membership, Node, Output, Payload, Role, Term};
use record::{Key, Kind};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime};
use store::Store;
use wire::Frame;
use wire::frame::{Answer, Propose, Proposed, RequestId, Status};
use wire::proof::Identity;

/// Longest wait between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);
/// Inputs taken together before their entries are synced.
const BATCH_INPUTS: usize = 512;
/// Entries after which the log is replaced by a snapshot.
pub const COMPACT_ENTRIES: u64 = 1024;
/// Operator name under which the founding voters are recorded.
const FOUNDING: &str = "founding";

/// What the agreement needs of the process around it.
pub trait Outside: Send + Sync {
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
    pub outside: Arc<dyn Outside>,
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
    pub silence: Option<Duration>,
    /// Whether no state of any cluster is known here.
    pub blank: bool,
    /// Why commands are no longer applied, if so.
    pub held: Option<String>,
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
            silence: None,
            blank: true,
            held: None,
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
    outside: Arc<dyn Outside>,
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
    held: Option<String>,
    disk_failure: Option<String>,
    announced: Index,
    leader: Option<Id>,
    founders_proposed: Option<Term>,
}

impl Agreement {
    /// Takes over the node and its disk, and puts the recovered state in force.
    pub fn new(setup: Setup, node: Node, store: Option<Store>, state: &[u8]) -> Agreement {
        let mut agreement = Agreement {
            outside: setup.outside,
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
            held: None,
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
        let now = self.outside.now();
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
        let now = self.outside.now();
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
        self.outside.send(&id, Frame::Status(self.status()));
        info!("connected to entry {id}");
        self.node.connect(id);
    }

    fn down(&mut self, id: &Id) {
        if self.outside.peers().iter().any(|peer| id_of(peer) == *id) {
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
            Frame::Proposed(proposed) => self.finish_forwarded(proposed.id, proposed.answer),
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
        self.outside.in_force(&from.name, status.applied);
        self.statuses.insert(from.clone(), status);
        if self.is_foreign(&from) {
            self.outside.count("peer_foreign_cluster_total");
            warn!("entry {from} belongs to another founding of this cluster; it is ignored");
        }
    }
}

/// Proposals.
impl Agreement {
    fn propose(&mut self, now: Duration, command: Command, reply: Sender<Answer>) {
        match self.node.propose(now, encode(&command)) {
            Ok(index) => {
                let pending = Pending { term: self.node.term(), waiter: Waiter::Local(reply) };
                self.pending.insert(index, pending);
            }
            Err(quorum::Error::NotLeader { leader: Some(leader) }) => {
                self.forward(leader, command, reply);
            }
            Err(error) => {
                let _ = reply.try_send(Answer::NotTaken(format!("{error}, and none is known")));
            }
        }
    }

    fn forward(&mut self, leader: Id, command: Command, reply: Sender<Answer>) {
        if !self.outside.peers().iter().any(|peer| id_of(peer) == leader) {
            let reason = format!("no connection to the leader, entry {}", leader.name);
            let _ = reply.try_send(Answer::NotTaken(reason));
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        self.outside.send(&leader, Frame::Propose(Propose { id, command }));
        self.forwarded.retain(|_, forwarded| !forwarded.reply.is_closed());
        self.forwarded.insert(id, Forwarded { leader, reply });
    }

    fn finish_forwarded(&mut self, id: RequestId, answer: Answer) {
        if let Some(forwarded) = self.forwarded.remove(&id) {
            let _ = forwarded.reply.try_send(answer);
        }
    }

    fn propose_for(&mut self, now: Duration, from: Id, propose: Propose) {
        let waiter = Waiter::Remote(from, propose.id);
        match self.node.propose(now, encode(&propose.command)) {
            Ok(index) => {
                self.pending.insert(index, Pending { term: self.node.term(), waiter });
            }
            Err(error) => self.answer(waiter, Answer::NotTaken(error.to_string())),
        }
    }

    fn answer(&self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Local(reply) => {
                let _ = reply.try_send(answer);
            }
            Waiter::Remote(to, id) => {
                self.outside.send(&to, Frame::Proposed(Proposed { id, answer }));
            }
        }
    }

    /// Proposals of a lost term may still commit under the next leader.
    fn give_up_pending(&mut self) {
        let lost = !self.node.leads();
        let term = self.node.term();
        let given_up: Vec<Index> = self
            .pending
            .iter()
            .filter(|(_, pending)| lost || pending.term != term)
            .map(|(index, _)| *index)
            .collect();
        for index in given_up {
            let Some(pending) = self.pending.remove(&index) else { continue };
            let reason = "the leader lost its lead; resend with the same submission id";
            self.answer(pending.waiter, Answer::Unknown(reason.to_string()));
        }
    }
}

/// Carrying out what the node decides.
impl Agreement {
    /// Syncs, sends and applies until the node has nothing more to do.
    fn settle(&mut self) {
        while let Some(output) = self.node.take() {
            if !self.save(&output) {
                break;
            }
            self.node.persisted();
            if let Some(snapshot) = &output.install {
                self.restore(&snapshot.data);
            }
            for envelope in output.messages {
                self.outside.send(&envelope.to, Frame::Quorum(envelope.message));
            }
            self.apply(output.committed);
        }
        self.give_up_pending();
        self.compact();
        self.publish();
    }

    /// Makes an output durable. After a failure nothing that rests on the disk
    /// is said any more.
    fn save(&mut self, output: &Output) -> bool {
        let Some(store) = &mut self.store else { return true };
        if !output.needs_sync() {
            return !store.has_failed();
        }
        match store.save(output) {
            Ok(()) => true,
            Err(store::Error::Failed) => false,
            Err(error) => {
                error!("disk failed, this entry takes no more part in agreement: {error}");
                self.disk_failure = Some(error.to_string());
                self.outside.count("disk_failures_total");
                false
            }
        }
    }

    fn restore(&mut self, state: &[u8]) {
        if state.is_empty() {
            return;
        }
        match Fleet::read(state) {
            Ok(fleet) => *self.fleet.write().expect("no holder panics") = fleet,
            Err(error) => self.hold(error.to_string()),
        }
        self.outside.changed();
    }

    fn hold(&mut self, reason: String) {
        error!("this entry keeps what it has in force: {reason}");
        self.held = Some(reason);
    }

    fn apply(&mut self, committed: Vec<quorum::Entry>) {
        if committed.is_empty() {
            return;
        }
        let state = self.fleet.clone();
        let mut fleet = state.write().expect("no holder panics");
        let mut answers = Vec::new();
        for entry in committed {
            if self.held.is_some() {
                break;
            }
            let outcome = match apply_entry(&mut fleet, &entry) {
                Ok(outcome) => outcome,
                Err(reason) => {
                    self.hold(reason);
                    break;
                }
            };
            if let Some(pending) = self.pending.remove(&entry.index) {
                answers.push((pending, entry.term, outcome));
            }
        }
        drop(fleet);
        for (pending, term, outcome) in answers {
            let answer = if pending.term == term {
                Answer::Applied(outcome)
            } else {
                Answer::NotTaken("another leader's entry took its place".to_string())
            };
            self.answer(pending.waiter, answer);
        }
        self.outside.changed();
    }

    fn compact(&mut self) {
        let fleet = self.fleet.read().expect("no holder panics");
        let applied = fleet.applied();
        if self.held.is_some() || applied < self.node.base_index() + self.compact_entries {
            return;
        }
        let data = fleet.write();
        drop(fleet);
        let Some(snapshot) = self.node.compact(data, applied) else { return };
        let Some(store) = &mut self.store else { return };
        let entries = self.node.entries_after(snapshot.index);
        if let Err(error) = store.compact(&snapshot, &entries) {
            error!("disk failed while writing a snapshot: {error}");
            self.disk_failure = Some(error.to_string());
        }
    }

    fn publish(&mut self) {
        let now = self.outside.now();
        let view = View {
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader().cloned(),
            commit: self.node.commit(),
            last_index: self.node.last_index(),
            base_index: self.node.base_index(),
            membership: self.node.membership(),
            silence: self.node.silence(now),
            blank: self.node.is_blank(),
            held: self.held.clone(),
            disk_failure: self.disk_failure.clone(),
            log_bytes: self.store.as_ref().map(Store::log_bytes),
        };
        self.outside.publish(view);
        if self.leader.as_ref() != self.node.leader() {
            self.leader = self.node.leader().cloned();
            let name = self.leader.as_ref().map_or("none", |leader| leader.name.as_str());
            info!("leader of term {} is {name}", self.node.term());
        }
        let applied = self.fleet.read().expect("no holder panics").applied();
        if applied > self.announced {
            self.announced = applied;
            self.outside.in_force(&self.identity.name, applied);
            let status = self.status();
            for peer in self.outside.peers() {
                self.outside.send(&id_of(&peer), Frame::Status(status.clone()));
            }
        }
    }

    fn status(&self) -> Status {
        Status {
            applied: self.fleet.read().expect("no holder panics").applied(),
            blank: self.node.is_blank(),
            cluster: self.node.membership().cluster,
            founders: self.founders.clone(),
        }
    }
}

/// Founding and voters.
impl Agreement {
    fn housekeeping(&mut self, now: Duration) {
        if self.node.is_blank() {
            self.found_if_first();
        }
        if self.node.has_lease(now) {
            self.record_founders(now);
            self.step_voters(now);
        }
    }

    /// Founds the cluster when this is the first of the founding voters by name,
    /// every founding voter is connected and blank, and no peer knows a cluster.
    fn found_if_first(&mut self) {
        let founders = &self.founders;
        let first = founders.iter().min() == Some(&self.identity.name);
        let known = self.statuses.values().any(|status| !status.blank);
        if !first || known || self.store.is_none() {
            return;
        }
        let mut voters = BTreeSet::from([self.node.id().clone()]);
        for peer in self.outside.peers() {
            let id = id_of(&peer);
            let agrees = self.statuses.get(&id).is_some_and(|s| s.founders == *founders);
            if agrees && peer.durable && founders.contains(&peer.name) {
                voters.insert(id);
            }
        }
        if voters.len() < founders.len() {
            return;
        }
        let cluster = rand::random::<u64>().max(1);
        info!("founding cluster {cluster:016x} with {} voters", voters.len());
        self.node.found(Membership { cluster, voters });
    }

    /// Writes the founding voters down as records, once.
    fn record_founders(&mut self, now: Duration) {
        let fleet = self.fleet.read().expect("no holder panics");
        let recorded = voter_records(&fleet).next().is_some();
        drop(fleet);
        if recorded || self.founders_proposed == Some(self.node.term()) {
            return;
        }
        self.founders_proposed = Some(self.node.term());
        let voters = self.node.membership().voters;
        let changes = voters.iter().map(|id| fleet::Change::Put(voter_document(id))).collect();
        let submission = fleet::Submission {
            operator: FOUNDING.to_string(),
            id: FOUNDING.to_string(),
            at: self.outside.wall(),
            changes,
        };
        let (reply, _) = async_std::channel::bounded(1);
        self.propose(now, Command::Submit(submission), reply);
    }

    /// Brings the voters one step closer to the voter records.
    fn step_voters(&mut self, now: Duration) {
        let wanted = self.wanted_voters(&self.node.membership().voters);
        let mut durable = self.outside.peers();
        durable.retain(|peer| peer.durable);
        let durable = durable.iter().map(id_of).collect();
        if self.node.steer_voters(now, &wanted, &durable).is_ok_and(|proposed| proposed) {
            info!("proposed a change of voters");
        }
    }

    fn wanted_voters(&self, present: &BTreeSet<Id>) -> BTreeSet<Id> {
        let fleet = self.fleet.read().expect("no holder panics");
        let mut wanted = present.clone();
        for (key, _) in voter_records(&fleet) {
            wanted.retain(|id| id.name != key.name);
            if let Some(record::Spec::VoterV1(voter)) = fleet.spec(key) {
                wanted.extend(voter.number().map(|number| Id::new(key.name.clone(), number)));
            }
        }
        wanted
    }
}

/// Whether this life of an entry is a member of the cluster.
pub fn has_joined(fleet: &Fleet, identity: &Identity) -> bool {
    let member = fleet.members().get(&identity.name);
    member.is_some_and(|member| member.incarnation == identity.life)
}

/// Whether an entry may route requests with this state: no move ends without a
/// member of its data centre. An entry that can't join in this life may go on
/// with the state of a disk that has joined, which is no older than what it had
/// in force; any other state could be older.
pub fn may_route(fleet: &Fleet, identity: &Identity) -> bool {
    let disk = identity.durable.then_some(identity.incarnation);
    let member = fleet.members().get(&identity.name);
    let same_disk = |member: &Member| disk.is_some() && member.disk == disk;
    has_joined(fleet, identity) || member.is_some_and(same_disk)
}

fn id_of(identity: &Identity) -> Id {
    Id::new(identity.name.clone(), identity.incarnation)
}

fn apply_entry(fleet: &mut Fleet, entry: &quorum::Entry) -> Result<Option<fleet::Outcome>, String> {
    match &entry.payload {
        Payload::Noop => {
            fleet.skip(entry.index);
            Ok(None)
        }
        Payload::Voters(membership) => {
            let voters = membership.voters.iter().map(Id::to_string).collect();
            fleet.note_voters(entry.index, voters);
            Ok(None)
        }
        Payload::Data(data) => {
            let command: Command = ciborium::from_reader(data.as_slice())
                .map_err(|error| format!("cannot read index {}: {error}", entry.index))?;
            fleet.apply(entry.index, &command).map_err(|error| error.to_string())
        }
    }
}

fn voter_records(fleet: &Fleet) -> impl Iterator<Item = (&Key, &Slot)> {
    fleet.records().range(Key::new(Kind::Voter, "")..).filter(|(key, _)| key.kind == Kind::Voter)
}

fn voter_document(id: &Id) -> record::Document {
    let incarnation: Incarnation = id.incarnation;
    record::Document {
        kind: Kind::Voter,
        schema: 1,
        name: id.name.clone(),
        revision: None,
        spec: serde_json::json!({ "incarnation": format!("{incarnation:016x}") }),
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("values serialise to memory");
    bytes
}
