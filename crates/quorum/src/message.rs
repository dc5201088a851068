//! Messages between nodes.

use crate::{Entry, Id, Index, Snapshot, Term};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or in a pre-vote whether it would be granted.
    #[serde(rename = "Poll")]
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    #[serde(rename = "Ballot")]
    VoteResponse(VoteResponse),
    /// Replicates entries; without entries it is a heartbeat.
    #[serde(rename = "Append")]
    AppendRequest(AppendRequest),
    /// Answers an append request or a snapshot.
    #[serde(rename = "Appended")]
    AppendResponse(AppendResponse),
    /// Replaces the state of a node that lacks entries which the leader has compacted.
    #[serde(rename = "Install")]
    InstallSnapshot(InstallSnapshot),
    /// Sent by a leader that steps down: the voter starts an election at once. Holds the
    /// leader's term.
    #[serde(rename = "TakeOver")]
    TimeoutNow(Term),
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term that the candidate wants to lead.
    pub term: Term,
    /// Index of the candidate's last entry.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// Whether this is a pre-vote, which changes the term and vote of neither node.
    #[serde(rename = "trial")]
    pub pre_vote: bool,
    /// The leader itself asked for the election, so the vote isn't refused because a
    /// leader is alive.
    #[serde(default)]
    #[serde(rename = "asked")]
    pub leadership_transfer: bool,
}

/// Answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Term of a pre-vote that is granted, else term of the answering node.
    pub term: Term,
    /// Whether the request was a pre-vote.
    #[serde(rename = "trial")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries of the leader's log, or a heartbeat without entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: Term,
    /// Index of the entry before the first one in the request.
    pub prev_index: Index,
    /// Term of that entry.
    pub prev_term: Term,
    /// Entries to append after `prev_index`; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    #[serde(rename = "commit")]
    pub commit_index: Index,
    /// Leader's monotonic clock when the request was sent. The answer repeats it.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// Answer to an [`AppendRequest`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Term of the answering node.
    pub term: Term,
    /// Whether the node's log contains the entry at `prev_index`, so that the entries were
    /// appended.
    pub accepted: bool,
    /// Last index up to which the node's log agrees with the leader's. If not accepted,
    /// the last index up to which it may agree.
    #[serde(rename = "matched")]
    pub match_index: Index,
    /// `sent_at` of the request.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// Snapshot that replaces the state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: Term,
    /// Snapshot to install.
    pub snapshot: Snapshot,
    /// Leader's monotonic clock when the snapshot was sent. The answer repeats it.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// A message with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Receiving node.
    pub to: Id,
    /// Message to deliver.
    pub message: Message,
}
