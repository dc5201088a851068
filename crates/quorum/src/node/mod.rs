//! The node: elections, replication, commitment, membership.

mod elect;
mod follow;
mod lead;

use crate::log::{Entry, Log, Payload, Snapshot};
use crate::message::{Envelope, Message};
use crate::progress::{Mode, Progress};
use crate::{Id, Index, Membership, Term};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Result of a request to the node.
pub type Result<T> = std::result::Result<T, Error>;

const MAX_ENTRIES_PER_APPEND: usize = 256;
const INSTALL_RETRY: Duration = Duration::from_secs(10);

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another node leads, or none does.
    #[error("this entry does not lead")]
    NotLeader {
        /// The leader, if one is known.
        leader: Option<Id>,
    },
    /// The leader has not heard from a majority within its lease.
    #[error("the leader's lease is over")]
    NoLease,
    /// Another change of voters has not committed, or this is more than one.
    #[error("voters change one at a time, after the last change has committed")]
    VotersBusy,
}

/// Spans that govern elections, on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats to voters.
    pub heartbeat_interval: Duration,
    /// Time between heartbeats to nodes that only learn.
    pub learner_heartbeat_interval: Duration,
    /// Shortest silence after which a voter tries to lead.
    pub election_timeout: Duration,
    /// Part of `election_timeout` for which an answer of the majority lets a leader
    /// act; the rest covers the drift of clocks.
    pub lease_duration: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(300),
            learner_heartbeat_interval: Duration::from_millis(1000),
            election_timeout: Duration::from_millis(1200),
            lease_duration: Duration::from_millis(1000),
        }
    }
}

/// What the node does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes entries from a leader; with a disk it votes.
    Follower,
    /// Asks whether it would be elected.
    #[serde(rename = "trial")]
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Term and vote, synced before any answer that rests on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub vote: Option<Id>,
}

/// Durable state of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Last index known to be committed.
    pub commit_index: Index,
}

impl State {
    /// Position of the last entry.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// What has to be written to make one identity the only voter of a new
    /// founding, with everything that this state holds.
    ///
    /// ```
    /// let state = quorum::State::default();
    /// let output = state.force_new_cluster(quorum::Id::new("a", 1), 9);
    /// assert_eq!(output.append[0].index, 1);
    /// ```
    pub fn force_new_cluster(&self, id: Id, cluster: u64) -> Output {
        let term = self.hard_state.term + 1;
        let membership = Membership { cluster: cluster.max(1), voters: [id].into() };
        let index = self.last_index() + 1;
        let entry = Entry { index, term, payload: Payload::Voters(membership) };
        Output {
            hard_state: Some(HardState { term, vote: None }),
            append: vec![entry],
            ..Output::default()
        }
    }
}

/// What the caller has to do, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Replace the disk's state by this snapshot.
    pub install_snapshot: Option<Snapshot>,
    /// Write term and vote.
    pub hard_state: Option<HardState>,
    /// Remove entries from this index on.
    pub truncate: Option<Index>,
    /// Append these entries.
    pub append: Vec<Entry>,
    /// Write that everything up to this index is committed.
    pub commit_index: Option<Index>,
    /// After all of the above is synced: send these.
    pub messages: Vec<Envelope>,
    /// Apply these.
    pub committed_entries: Vec<Entry>,
}

impl Output {
    /// Whether something has to be synced before messages go out.
    pub fn needs_sync(&self) -> bool {
        self.install_snapshot.is_some()
            || self.hard_state.is_some()
            || self.truncate.is_some()
            || !self.append.is_empty()
            || self.commit_index.is_some()
    }

    fn is_empty(&self) -> bool {
        !self.needs_sync() && self.messages.is_empty() && self.committed_entries.is_empty()
    }
}

/// One member of the agreement.
///
/// ```
/// use quorum::{Id, Membership, Node, Timing, Snapshot};
/// use std::time::Duration;
/// let id = Id::new("a", 1);
/// let mut node = Node::new(id.clone(), true, Timing::default(), 7);
/// node.bootstrap(Membership { cluster: 1, voters: [id].into() });
/// node.tick(Duration::from_secs(60));
/// while let Some(_) = node.take_output() {
///     node.output_persisted();
/// }
/// assert!(node.is_leader());
/// ```
pub struct Node {
    id: Id,
    durable: bool,
    timing: Timing,
    rng: StdRng,
    now: Duration,
    role: Role,
    hard_state: HardState,
    log: Log,
    snapshot: Snapshot,
    commit_index: Index,
    handed_over: Index,
    commit_on_disk: Index,
    persisted: Index,
    leader: Option<Id>,
    heard: Option<Duration>,
    quiet_until: Duration,
    led_since: Duration,
    deadline: Duration,
    grants: BTreeSet<Id>,
    others: BTreeMap<Id, Progress>,
    connected: BTreeSet<Id>,
    output: Output,
    unsynced: Index,
    /// The leader asked for the election that is being prepared.
    leadership_transfer: bool,
}

/// Construction and queries.
impl Node {
    /// A node with no state.
    pub fn new(id: Id, durable: bool, timing: Timing, seed: u64) -> Node {
        Node::restore(id, durable, timing, seed, State::default())
    }

    /// A node with the state of its disk.
    pub fn restore(id: Id, durable: bool, timing: Timing, seed: u64, state: State) -> Node {
        let State { hard_state, snapshot, entries, commit_index } = state;
        let log = Log::new(&snapshot, entries);
        let last = log.last_index();
        // The life before may have promised a leader its lease.
        let quiet_until = if last == 0 { Duration::ZERO } else { timing.election_timeout };
        let mut node = Node {
            id,
            durable,
            timing,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            role: Role::Follower,
            hard_state,
            commit_index: commit_index.clamp(snapshot.index, last.max(snapshot.index)),
            handed_over: snapshot.index,
            commit_on_disk: commit_index,
            persisted: last,
            unsynced: last,
            log,
            snapshot,
            leader: None,
            heard: None,
            quiet_until,
            led_since: Duration::ZERO,
            deadline: Duration::ZERO,
            grants: BTreeSet::new(),
            others: BTreeMap::new(),
            connected: BTreeSet::new(),
            output: Output::default(),
            leadership_transfer: false,
        };
        node.reset_deadline();
        node
    }

    /// This node's identity.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// What the node does at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the node leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader that the node last heard of in this term.
    pub fn leader(&self) -> Option<&Id> {
        self.leader.as_ref()
    }

    /// Present term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Last committed index.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Position of the last entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Last index that the snapshot covers.
    pub fn base_index(&self) -> Index {
        self.log.base_index()
    }

    /// Voters, by the newest entry that names them.
    pub fn membership(&self) -> Membership {
        self.log.membership()
    }

    /// Whether the node holds no state of any cluster.
    pub fn is_uninitialized(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Time since a leader was heard from; zero while this node leads within
    /// its lease.
    pub fn time_since_contact(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader => self.lease_base().map(|base| now.saturating_sub(base)),
            _ => self.heard.map(|heard| now.saturating_sub(heard)),
        }
    }

    /// Whether the node leads, knows all that is committed, and has heard from a
    /// majority within the lease.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.is_leader()
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
            && self.lease_base().is_some_and(|base| now < base + self.timing.lease_duration)
    }

    /// Entries that each other node is known to hold, while this node leads.
    pub fn match_indexes(&self) -> BTreeMap<Id, Index> {
        self.others.iter().map(|(id, progress)| (id.clone(), progress.match_index)).collect()
    }

    fn votes(&self) -> bool {
        self.durable && self.log.membership().voters.contains(&self.id)
    }
}

/// Inputs.
impl Node {
    /// Starts a new cluster; only for a blank node whose caller made sure that
    /// no cluster exists.
    pub fn bootstrap(&mut self, membership: Membership) {
        debug_assert!(self.is_uninitialized());
        self.hard_state.term = 1;
        self.output.hard_state = Some(self.hard_state.clone());
        self.push(Payload::Voters(membership));
    }

    /// Takes in the time; elections, heartbeats and the end of leases follow.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.lead_on();
        } else if self.now >= self.deadline {
            self.reset_deadline();
            if self.votes() {
                self.campaign(true);
            }
        }
    }

    /// A connection to another node was made.
    pub fn connect(&mut self, id: Id) {
        if id == self.id {
            return;
        }
        self.connected.insert(id.clone());
        if self.is_leader() {
            let next = self.log.last_index() + 1;
            let progress = self.others.entry(id.clone()).or_insert_with(|| Progress::new(next));
            progress.next_index = progress.match_index.max(next - 1) + 1;
            progress.install_started_at = None;
            progress.mode = Mode::Replicating; // answers to what was sent before may be lost
            self.send_append(&id);
        }
    }

    /// The connection to another node was lost.
    pub fn disconnect(&mut self, id: &Id) {
        self.connected.remove(id);
        if !self.log.membership().voters.contains(id) {
            self.others.remove(id);
        }
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Duration, from: &Id, message: Message) {
        self.tick(now);
        match message {
            Message::VoteRequest(vote_request) => self.on_vote_request(from, vote_request),
            Message::VoteResponse(vote_response) => self.on_vote_response(from, vote_response),
            Message::AppendRequest(append) => self.on_append_request(from, append),
            Message::AppendResponse(append_response) => {
                self.on_append_response(from, append_response)
            }
            Message::InstallSnapshot(install_snapshot) => {
                self.on_install_snapshot(from, install_snapshot)
            }
            Message::TimeoutNow(term) => self.on_timeout_now(from, term),
        }
    }

    /// Hands the lead to the voter that holds most, if this node leads and one is
    /// connected. Nothing is led from here on, whether or not it takes it.
    pub fn transfer_leadership(&mut self) {
        if !self.is_leader() {
            return;
        }
        let voters = self.log.membership().voters;
        let heir = self
            .others
            .iter()
            .filter(|(id, _)| voters.contains(*id) && self.connected.contains(*id))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(id, _)| id.clone());
        let Some(heir) = heir else { return };
        self.send_append(&heir);
        self.send(&heir, Message::TimeoutNow(self.hard_state.term));
        self.follow(self.hard_state.term, None);
    }

    /// Appends a command; it is accepted once it comes out as committed.
    pub fn propose(&mut self, now: Duration, data: Vec<u8>) -> Result<Index> {
        self.tick(now);
        self.check_leadership()?;
        let index = self.push(Payload::Data(data));
        self.send_to_all();
        Ok(index)
    }

    /// Adds or removes one voter.
    pub fn propose_voters(&mut self, now: Duration, voters: BTreeSet<Id>) -> Result<Index> {
        self.tick(now);
        self.check_leadership()?;
        let present = self.log.membership();
        let changed = present.voters.symmetric_difference(&voters).count();
        let pending = self.log.membership_index() > self.commit_index;
        let own_term = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if changed != 1 || voters.is_empty() || pending || !own_term {
            return Err(Error::VotersBusy);
        }
        let membership = Membership { cluster: present.cluster, voters };
        let index = self.push(Payload::Voters(membership));
        self.send_to_all();
        Ok(index)
    }

    /// Proposes one step from the present voters towards the wanted ones: first
    /// the removal of one, then the addition of one that holds all that is
    /// committed and has a disk. Never steps to voters of which a majority does
    /// not answer. Tells whether a step was proposed.
    pub fn propose_voter_step(
        &mut self,
        now: Duration,
        wanted: &BTreeSet<Id>,
        durable: &BTreeSet<Id>,
    ) -> Result<bool> {
        let mut next = self.log.membership().voters;
        let gone = next.difference(wanted).next().cloned();
        let ready = |id: &&Id| {
            let held = self.others.get(id).map_or(0, |progress| progress.match_index);
            durable.contains(*id) && held >= self.commit_index
        };
        let new = wanted.difference(&next).find(ready).cloned();
        let stepped = match (gone, new) {
            (Some(gone), _) => next.remove(&gone),
            (None, Some(new)) => next.insert(new),
            (None, None) => false,
        };
        if !stepped || !self.is_quorum_active(&next) {
            return Ok(false);
        }
        self.propose_voters(now, next).map(|_| true)
    }

    /// Drops entries that the caller's snapshot covers.
    pub fn compact(&mut self, data: Vec<u8>, index: Index) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        if index > self.handed_over || index <= self.log.base_index() {
            return None;
        }
        let membership = self.log.membership_at(index);
        self.snapshot = Snapshot { index, term, membership, data };
        self.log.compact(index);
        Some(self.snapshot.clone())
    }

    /// Entries after an index, for the caller to write behind a snapshot.
    pub fn entries_after(&self, index: Index) -> Vec<Entry> {
        self.log.entries_from(index + 1, usize::MAX)
    }

    /// Whether a majority of these voters has answered this leader lately.
    pub fn is_quorum_active(&self, voters: &BTreeSet<Id>) -> bool {
        let fresh = |id: &&Id| {
            **id == self.id
                || self
                    .others
                    .get(id)
                    .and_then(|progress| progress.acked_sent_at)
                    .is_some_and(|at| self.now < at + self.timing.election_timeout)
        };
        voters.iter().filter(fresh).count() > voters.len() / 2
    }

    /// Takes what has to be done next, or nothing.
    pub fn take_output(&mut self) -> Option<Output> {
        self.hand_over();
        if self.output.is_empty() {
            return None;
        }
        self.unsynced = self.log.last_index();
        Some(std::mem::take(&mut self.output))
    }

    /// Takes in that the last output is synced.
    pub fn output_persisted(&mut self) {
        self.persisted = self.unsynced;
        if self.is_leader() {
            self.advance();
        }
    }
}
