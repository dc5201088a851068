//! Messages between the nodes.

use crate::{Entry, Id, Index, Snapshot, Term};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or in a trial round whether one would be given.
    Poll(Poll),
    /// Answers a poll.
    Ballot(Ballot),
    /// Carries entries, or a heartbeat when there are none.
    Append(Append),
    /// Answers an append or a snapshot.
    Appended(Appended),
    /// Replaces the state of a node that is too far behind.
    Install(Install),
    /// The leader leaves and asks this voter to take its place at once.
    TakeOver(Term),
}

/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Term that the candidate would lead.
    pub term: Term,
    /// Its last entry.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// A trial round changes nothing at either node.
    pub trial: bool,
    /// The leader itself asked for the election, so none has to be protected.
    #[serde(default)]
    pub asked: bool,
}

/// Answers a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Term of the poll, or a higher one of the answering node.
    pub term: Term,
    /// Whether the poll was a trial.
    pub trial: bool,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Carries entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Term of the leader.
    pub term: Term,
    /// Entry before the first one carried.
    pub prev_index: Index,
    /// Its term.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Last committed index that the leader knows.
    pub commit: Index,
    /// Leader's monotonic clock when it was sent; the answer repeats it.
    pub sent: Duration,
}

/// Answers an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Term of the answering node.
    pub term: Term,
    /// Whether the entries follow on the node's log.
    pub accepted: bool,
    /// Last entry that agrees with the leader; when not accepted, a hint.
    pub matched: Index,
    /// Clock value of the append.
    pub sent: Duration,
}

/// Replaces the state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// Term of the leader.
    pub term: Term,
    /// The state.
    pub snapshot: Snapshot,
    /// Leader's monotonic clock when it was sent.
    pub sent: Duration,
}

/// A message with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The node that it goes to.
    pub to: Id,
    /// The message.
    pub message: Message,
}
