//! The Raft node: its state, queries and inputs. Elections, following and leading are in
//! the submodules.

mod elect;
mod follow;
mod lead;

use crate::log::{Entry, Log, Payload, Snapshot};
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use crate::{Id, Index, Membership, Term};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Result of a proposal to the node.
pub type Result<T> = std::result::Result<T, Error>;

const MAX_ENTRIES_PER_APPEND: usize = 256;
/// Size of the entries of one append request, in bytes. A single entry may be larger.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Size of the entries sent to one node and not answered, in bytes, above which it gets no
/// more. The requests are in the leader's memory until the link has taken them, so that a slow
/// node costs the leader at most this much and one request.
const MAX_IN_FLIGHT_BYTES: usize = 4 << 20;
/// Time without an answer after which a snapshot is sent again.
const INSTALL_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Reason why a proposal was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This node is not the leader.
    #[error("this entry does not lead")]
    NotLeader {
        /// The leader, if this node knows it.
        leader: Option<Id>,
    },
    /// No majority has answered this leader within the lease duration.
    #[error("the leader's lease is over")]
    NoLease,
    /// An earlier change of voters isn't committed, the leader has committed no entry of
    /// its term yet, or the proposal doesn't add or remove exactly one voter.
    #[error("voters change one at a time, after the last change has committed")]
    VotersBusy,
}

/// Heartbeat intervals and timeouts, on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats to voters.
    pub heartbeat_interval: Duration,
    /// Time between heartbeats to learners, which receive the log but don't vote.
    pub learner_heartbeat_interval: Duration,
    /// Shortest time without a leader after which a voter starts an election.
    pub election_timeout: Duration,
    /// How long a leader may act after a majority answered a request, counted from the
    /// sending of the request. Shorter than `election_timeout`, to allow for clock drift.
    pub lease_duration: Duration,
    /// Shortest time between two requests that carry only a higher commit index. Requests
    /// with entries and heartbeats carry it too.
    pub commit_interval: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(300),
            learner_heartbeat_interval: Duration::from_millis(1000),
            election_timeout: Duration::from_millis(1200),
            lease_duration: Duration::from_millis(1000),
            commit_interval: Duration::ZERO,
        }
    }
}

/// Role of a node in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Receives entries from a leader and, if it has a disk and is a voter, votes.
    Follower,
    /// Asks the voters in a pre-vote whether they would elect it.
    #[serde(rename = "trial")]
    PreCandidate,
    /// Asks the voters for their votes.
    Candidate,
    /// Leader of the term.
    Leader,
}

/// Term and vote, synced before any message that depends on them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this node voted for in that term.
    pub vote: Option<Id>,
}

/// Durable state of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Stored term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; the default one has index 0.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Last index known to be committed; may lag behind the cluster's.
    pub commit_index: Index,
}

impl State {
    /// Index of the last entry, or of the snapshot if there is none.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns what has to be written to make `id` the only voter of a new cluster that
    /// keeps all entries and the snapshot of this state. Used for disaster recovery, when
    /// a majority of the voters is lost for good.
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

/// Work for the caller, to be done in the order of the fields except where a field says
/// otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Replace the stored snapshot and log by this snapshot.
    pub install_snapshot: Option<Snapshot>,
    /// Write this term and vote.
    pub hard_state: Option<HardState>,
    /// Remove the stored entries from this index on.
    pub truncate: Option<Index>,
    /// Append these entries.
    pub append: Vec<Entry>,
    /// Write this commit index. Optional: a restarted node learns it from the leader.
    pub commit_index: Option<Index>,
    /// Send these messages after all of the above is synced. A leader's append requests may
    /// go out before, since its own entries count only after [`Node::output_persisted`].
    pub messages: Vec<Envelope>,
    /// Apply these entries.
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

/// One node of a Raft cluster.
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
    /// Difference between the term of an election and the one before.
    term_step: Term,
    /// On a leader, the term of the last entry before its own.
    preceding_term: Term,
    log: Log,
    snapshot: Snapshot,
    commit_index: Index,
    /// Last index that was put out as committed.
    delivered_index: Index,
    /// Last commit index that was put out to be written.
    written_commit_index: Index,
    /// Last index that the caller has synced.
    persisted_index: Index,
    leader: Option<Id>,
    /// When a leader's message last arrived.
    leader_contact_at: Option<Duration>,
    /// After a restart, votes are refused until this time as if a leader were alive.
    no_votes_before: Duration,
    leader_since: Duration,
    /// When the next election starts unless a message of a leader or candidate arrives first.
    election_deadline: Duration,
    /// Voters that granted their vote of the current term; empty unless this node is a candidate of
    /// that term or leads it.
    granted_by: BTreeSet<Id>,
    /// Voters that granted the current pre-vote.
    pre_granted_by: BTreeSet<Id>,
    /// On a leader, the progress of the other nodes.
    progress_by_id: BTreeMap<Id, Progress>,
    connected: BTreeSet<Id>,
    output: Output,
    /// Last index of the output that the caller has taken and may still be syncing.
    persisting_index: Index,
    /// Whether the leader asked for the election that is starting.
    leadership_transfer: bool,
    /// Whether this leader has appended entries since it last sent to all nodes.
    has_unsent_entries: bool,
    /// Commit index that this leader last sent to all nodes, and when.
    commit_sent_index: Index,
    commit_sent_at: Duration,
}

/// Construction and queries.
impl Node {
    /// Creates a node without state. A node that isn't `durable` never votes or leads.
    pub fn new(id: Id, durable: bool, timing: Timing, seed: u64) -> Node {
        Node::restore(id, durable, timing, seed, State::default(), Duration::ZERO)
    }

    /// Creates a node with the state of its disk, for a process that starts at the time `now`.
    pub fn restore(
        id: Id,
        durable: bool,
        timing: Timing,
        seed: u64,
        state: State,
        now: Duration,
    ) -> Node {
        let State { hard_state, snapshot, entries, commit_index } = state;
        let log = Log::new(&snapshot, entries);
        let last = log.last_index();
        // Before the restart this node may have answered a leader. That leader's lease is
        // valid only if this node grants no vote for an election timeout.
        let no_votes_before = if last == 0 { now } else { now + timing.election_timeout };
        let mut node = Node {
            id,
            durable,
            timing,
            rng: StdRng::seed_from_u64(seed),
            now,
            role: Role::Follower,
            hard_state,
            term_step: 1,
            preceding_term: 0,
            commit_index: commit_index.clamp(snapshot.index, last.max(snapshot.index)),
            delivered_index: snapshot.index,
            written_commit_index: commit_index,
            persisted_index: last,
            persisting_index: last,
            log,
            snapshot,
            leader: None,
            leader_contact_at: None,
            no_votes_before,
            leader_since: Duration::ZERO,
            election_deadline: Duration::ZERO,
            granted_by: BTreeSet::new(),
            pre_granted_by: BTreeSet::new(),
            progress_by_id: BTreeMap::new(),
            connected: BTreeSet::new(),
            output: Output::default(),
            leadership_transfer: false,
            has_unsent_entries: false,
            commit_sent_index: 0,
            commit_sent_at: Duration::ZERO,
        };
        node.reset_election_deadline();
        node
    }

    /// Identity of this node.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Role of the node in its current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this node is the leader of its term. Its lease may have expired.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Leader of the current term, if this node knows it.
    pub fn leader(&self) -> Option<&Id> {
        self.leader.as_ref()
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Sets by how much the term rises with each election of this node, at least 1. The terms
    /// that are passed over have no leader.
    pub fn set_term_step(&mut self, step: Term) {
        self.term_step = step.max(1);
    }

    /// Highest term of an earlier leader that may have had a lease, if this node leads with one:
    /// each has committed an entry of its own term before.
    pub fn preceding_term(&self) -> Term {
        self.preceding_term
    }

    /// Last committed index.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the last entry that the snapshot covers.
    pub fn base_index(&self) -> Index {
        self.log.base_index()
    }

    /// Voters by the last entry that sets them, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Whether the node has no state of any cluster.
    pub fn is_uninitialized(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Time since the last message of a leader. On the leader itself, time since a
    /// majority is known to have followed it. None if there was no contact yet.
    pub fn time_since_contact(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader => self.lease_base().map(|base| now.saturating_sub(base)),
            _ => self.leader_contact_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Whether this node leads, has committed an entry of its own term, so that it knows
    /// every entry committed in earlier terms, and was answered by a majority within the
    /// lease duration.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.is_leader()
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
            && self.lease_base().is_some_and(|base| now < base + self.timing.lease_duration)
    }

    /// Last index that each other node is known to have stored; empty unless this node
    /// leads.
    pub fn match_indexes(&self) -> BTreeMap<Id, Index> {
        self.progress_by_id
            .iter()
            .map(|(id, progress)| (id.clone(), progress.match_index))
            .collect()
    }

    fn is_voter(&self) -> bool {
        self.durable && self.log.membership().voters.contains(&self.id)
    }
}

/// Inputs.
impl Node {
    /// Forms a new cluster. Only for an uninitialized node whose caller made sure that no
    /// cluster exists.
    pub fn bootstrap(&mut self, membership: Membership) {
        debug_assert!(self.is_uninitialized());
        self.hard_state.term = 1;
        self.output.hard_state = Some(self.hard_state.clone());
        self.append_payload(Payload::Voters(membership));
    }

    /// Advances the clock and does what is due: an election, heartbeats, or stepping down
    /// as leader without a majority. Time never goes back.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.reset_election_deadline();
            if self.is_voter() {
                self.campaign(true);
            }
        }
    }

    /// Records a new connection to another node. A leader starts replicating to it.
    pub fn connect(&mut self, id: Id) {
        if id == self.id {
            return;
        }
        self.connected.insert(id.clone());
        if self.is_leader() {
            let next = self.log.last_index() + 1;
            let progress =
                self.progress_by_id.entry(id.clone()).or_insert_with(|| Progress::new(next));
            progress.restart(progress.match_index.max(next - 1) + 1);
            self.send_append(&id);
        }
    }

    /// Records the loss of a connection. A leader drops the progress of a node that is no
    /// voter.
    pub fn disconnect(&mut self, id: &Id) {
        self.connected.remove(id);
        if !self.log.membership().voters.contains(id) {
            self.progress_by_id.remove(id);
        }
    }

    /// Advances the clock and handles a message.
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

    /// Transfers leadership to the connected voter with the highest match index. Does
    /// nothing if this node doesn't lead or no voter is connected; else it steps down at
    /// once, whether or not that voter wins the election.
    pub fn transfer_leadership(&mut self) {
        if !self.is_leader() {
            return;
        }
        let voters = &self.log.membership().voters;
        let successor = self
            .progress_by_id
            .iter()
            .filter(|(id, _)| voters.contains(*id) && self.connected.contains(*id))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(id, _)| id.clone());
        let Some(successor) = successor else { return };
        self.send_append(&successor);
        self.send(&successor, Message::TimeoutNow(self.hard_state.term));
        self.become_follower(self.hard_state.term, None);
    }

    /// Appends a command to the log and returns its index. It is sent with the next output,
    /// together with all others that were proposed until then. The command takes effect when
    /// an entry with this index and the current term comes out as committed.
    pub fn propose(&mut self, now: Duration, data: Vec<u8>) -> Result<Index> {
        self.tick(now);
        self.check_leadership()?;
        Ok(self.append_payload(Payload::Data(data)))
    }

    /// Appends a change that adds or removes exactly one voter, and returns its index.
    pub fn propose_voters(&mut self, now: Duration, voters: BTreeSet<Id>) -> Result<Index> {
        self.tick(now);
        self.check_leadership()?;
        let current = self.log.membership();
        let changed = current.voters.symmetric_difference(&voters).count();
        let pending = self.log.membership_index() > self.commit_index;
        let own_term = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if changed != 1 || voters.is_empty() || pending || !own_term {
            return Err(Error::VotersBusy);
        }
        let membership = Membership { cluster: current.cluster, voters };
        Ok(self.append_payload(Payload::Voters(membership)))
    }

    /// Proposes one step from the current voters towards the wanted ones: first the
    /// removal of one, then the addition of one that has a disk and has stored all
    /// committed entries. Proposes no voters of which a majority hasn't answered lately.
    /// Returns whether a step was proposed.
    pub fn propose_voter_step(
        &mut self,
        now: Duration,
        wanted: &BTreeSet<Id>,
        durable: &BTreeSet<Id>,
    ) -> Result<bool> {
        let mut next = self.log.membership().voters.clone();
        let removed = next.difference(wanted).next().cloned();
        let is_caught_up = |id: &&Id| {
            let match_index =
                self.progress_by_id.get(id).map_or(0, |progress| progress.match_index);
            durable.contains(*id) && match_index >= self.commit_index
        };
        let added = wanted.difference(&next).find(is_caught_up).cloned();
        let is_changed = match (removed, added) {
            (Some(removed), _) => next.remove(&removed),
            (None, Some(added)) => next.insert(added),
            (None, None) => false,
        };
        if !is_changed || !self.is_quorum_active(&next) {
            return Ok(false);
        }
        self.propose_voters(now, next).map(|_| true)
    }

    /// Replaces the entries up to an applied index by the caller's serialized state, and
    /// returns the snapshot to store. None if the index isn't delivered yet or a snapshot
    /// covers it already.
    pub fn compact(&mut self, data: Vec<u8>, index: Index) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        if index > self.delivered_index || index <= self.log.base_index() {
            return None;
        }
        let membership = self.log.membership_at(index);
        self.snapshot = Snapshot { index, term, membership, data };
        self.log.compact(index);
        Some(self.snapshot.clone())
    }

    /// Returns the entries after an index, for the caller to write after a snapshot.
    pub fn entries_after(&self, index: Index) -> Vec<Entry> {
        self.log.entries_from(index + 1, usize::MAX, usize::MAX)
    }

    /// Whether a majority of these voters, this node included, has answered this leader
    /// within the election timeout.
    pub fn is_quorum_active(&self, voters: &BTreeSet<Id>) -> bool {
        let answered_recently = |id: &&Id| {
            **id == self.id
                || self
                    .progress_by_id
                    .get(id)
                    .and_then(|progress| progress.acked_sent_at)
                    .is_some_and(|at| self.now < at + self.timing.election_timeout)
        };
        voters.iter().filter(answered_recently).count() > voters.len() / 2
    }

    /// Returns the next work for the caller, or none. The caller calls
    /// [`Node::output_persisted`] once it has synced the output.
    pub fn take_output(&mut self) -> Option<Output> {
        if self.is_leader() {
            self.send_unsent();
        }
        self.deliver_committed();
        if self.output.is_empty() {
            return None;
        }
        self.persisting_index = self.log.last_index();
        Some(std::mem::take(&mut self.output))
    }

    /// Records that the last output is synced. Entries in it count towards a majority from
    /// here on.
    pub fn output_persisted(&mut self) {
        self.persisted_index = self.persisting_index;
        if self.is_leader() {
            self.advance_commit_index();
        }
    }
}
