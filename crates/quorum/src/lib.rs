//! Raft consensus as a state machine without I/O.
//!
//! The caller feeds messages and the time to a [`Node`] and takes an [`Output`]: what to
//! sync to disk, then what to send, then which entries are committed. A voter is
//! identified by name and incarnation, so that a process whose disk was replaced never
//! votes under its old identity. Processes without a disk receive the log but don't vote.

pub mod log;
pub mod message;
pub mod node;
pub mod progress;

pub use log::{Entry, Log, Payload, Snapshot};
pub use message::{Envelope, Message};
pub use node::{Error, Node, Output, Result, Role, State, Timing};

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Position in the log; the first entry has index 1.
pub type Index = u64;
/// Number of a term, which has at most one leader; every election starts a higher one.
pub type Term = u64;

/// One incarnation of a process. It is new for each data folder, or for each start of a
/// process without one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Name of the process.
    pub name: String,
    /// Incarnation of that process, drawn at random.
    pub incarnation: u64,
}

impl Id {
    /// Creates an identity.
    ///
    /// ```
    /// let id = quorum::Id::new("a", 255);
    /// assert_eq!(id.to_string(), "a/00000000000000ff");
    /// ```
    pub fn new(name: impl Into<String>, incarnation: u64) -> Id {
        Id { name: name.into(), incarnation }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.name, self.incarnation)
    }
}

/// Voters of a cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Random number drawn when the cluster was formed; 0 before.
    pub cluster: u64,
    /// Nodes whose majority elects leaders and commits entries.
    pub voters: BTreeSet<Id>,
}

impl Membership {
    /// Number of votes that make a majority.
    ///
    /// ```
    /// let voters = (0..5).map(|n| quorum::Id::new("v", n)).collect();
    /// assert_eq!(quorum::Membership { cluster: 1, voters }.majority(), 3);
    /// ```
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
