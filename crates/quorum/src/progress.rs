//! What a leader knows of one other node.

use crate::Index;
use std::time::Duration;

/// Replication state of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Next entry to send.
    pub next: Index,
    /// Last entry known to be on the node's disk.
    pub matched: Index,
    /// Clock value of the newest message that it answered.
    pub answered: Option<Duration>,
    /// When something was last sent.
    pub sent: Option<Duration>,
    /// A snapshot is under way since then.
    pub installing: Option<Duration>,
    /// The node lacked what it was sent; since then one message at a time goes to
    /// it, until it accepts one.
    pub probing: Option<Duration>,
}

impl Progress {
    /// Starts with the entry that the node would miss if it were up to date.
    ///
    /// ```
    /// assert_eq!(quorum::progress::Progress::new(8).matched, 0);
    /// ```
    pub fn new(next: Index) -> Progress {
        Progress { next, matched: 0, answered: None, sent: None, installing: None, probing: None }
    }

    /// Takes in that the node holds all entries up to an index.
    pub fn accept(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.installing = None;
        self.probing = None;
    }

    /// Takes in that the node lacks the entry before the ones sent.
    pub fn reject(&mut self, hint: Index) {
        self.next = (hint + 1).min(self.next.saturating_sub(1)).max(self.matched + 1);
        self.installing = None;
    }
}
