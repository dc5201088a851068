//! Messages between the nodes.

use crate::{Entry, Id, Index, Snapshot, Term};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or in a trial round whether one would be given.
    #[serde(rename = "Poll")]
    VoteRequest(VoteRequest),
    /// Answers a poll.
    #[serde(rename = "Ballot")]
    VoteResponse(VoteResponse),
    /// Carries entries, or a heartbeat when there are none.
    #[serde(rename = "Append")]
    AppendRequest(AppendRequest),
    /// Answers an append or a snapshot.
    #[serde(rename = "Appended")]
    AppendResponse(AppendResponse),
    /// Replaces the state of a node that is too far behind.
    #[serde(rename = "Install")]
    InstallSnapshot(InstallSnapshot),
    /// The leader leaves and asks this voter to take its place at once.
    #[serde(rename = "TakeOver")]
    TimeoutNow(Term),
}

/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term that the candidate would lead.
    pub term: Term,
    /// Its last entry.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// A trial round changes nothing at either node.
    #[serde(rename = "trial")]
    pub pre_vote: bool,
    /// The leader itself asked for the election, so none has to be protected.
    #[serde(default)]
    #[serde(rename = "asked")]
    pub leadership_transfer: bool,
}

/// Answers a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Term of the poll, or a higher one of the answering node.
    pub term: Term,
    /// Whether the poll was a trial.
    #[serde(rename = "trial")]
    pub pre_vote: bool,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Carries entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: Term,
    /// Entry before the first one carried.
    pub prev_index: Index,
    /// Its term.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Last committed index that the leader knows.
    #[serde(rename = "commit")]
    pub commit_index: Index,
    /// Leader's monotonic clock when it was sent; the answer repeats it.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// Answers an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Term of the answering node.
    pub term: Term,
    /// Whether the entries follow on the node's log.
    pub accepted: bool,
    /// Last entry that agrees with the leader; when not accepted, a hint.
    #[serde(rename = "matched")]
    pub match_index: Index,
    /// Clock value of the append.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// Replaces the state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: Term,
    /// The state.
    pub snapshot: Snapshot,
    /// Leader's monotonic clock when it was sent.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// A message with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The node that it goes to.
    pub to: Id,
    /// The message.
    pub message: Message,
}
