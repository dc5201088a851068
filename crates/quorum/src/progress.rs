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
    /// How entries are sent to it.
    pub flow: Flow,
}

/// How entries are sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// As they come, without waiting for answers.
    Streaming,
    /// One message at a time, since the node lacked what it was sent.
    Probing {
        /// When the last one was sent; none while the next is due.
        sent: Option<Duration>,
    },
}

impl Progress {
    /// Starts with the entry that the node would miss if it were up to date.
    ///
    /// ```
    /// assert_eq!(quorum::progress::Progress::new(8).matched, 0);
    /// ```
    pub fn new(next: Index) -> Progress {
        Progress {
            next,
            matched: 0,
            answered: None,
            sent: None,
            installing: None,
            flow: Flow::Streaming,
        }
    }

    /// Takes in that the node holds all entries up to an index.
    pub fn accept(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.installing = None;
        self.flow = Flow::Streaming;
    }

    /// Takes in that the node lacks the entry before the ones sent at a time.
    pub fn reject(&mut self, hint: Index, sent: Duration) {
        match self.flow {
            Flow::Probing { sent: Some(probe) } if sent < probe => return, // answered already
            _ => self.flow = Flow::Probing { sent: None },
        }
        self.next = (hint + 1).min(self.next.saturating_sub(1)).max(self.matched + 1);
        self.installing = None;
    }
}
