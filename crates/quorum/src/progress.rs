//! What a leader knows of one other node.

use crate::Index;
use std::time::Duration;

/// Replication state of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Next entry to send.
    pub next_index: Index,
    /// Last entry known to be on the node's disk.
    pub match_index: Index,
    /// Clock value of the newest message that it answered.
    pub acked_sent_at: Option<Duration>,
    /// When something was last sent.
    pub last_sent_at: Option<Duration>,
    /// A snapshot is under way since then.
    pub install_started_at: Option<Duration>,
    /// How entries are sent to it.
    pub mode: Mode,
}

/// How entries are sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As they come, without waiting for answers.
    Replicating,
    /// One message at a time, since the node lacked what it was sent.
    Probing {
        /// When the last one was sent; none while the next is due.
        sent_at: Option<Duration>,
    },
}

impl Progress {
    /// Starts with the entry that the node would miss if it were up to date.
    ///
    /// ```
    /// assert_eq!(quorum::progress::Progress::new(8).match_index, 0);
    /// ```
    pub fn new(next_index: Index) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            acked_sent_at: None,
            last_sent_at: None,
            install_started_at: None,
            mode: Mode::Replicating,
        }
    }

    /// Takes in that the node holds all entries up to an index.
    pub fn accept(&mut self, match_index: Index) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.install_started_at = None;
        self.mode = Mode::Replicating;
    }

    /// Takes in that the node lacks the entry before the ones sent at a time.
    pub fn reject(&mut self, hint: Index, sent_at: Duration) {
        match self.mode {
            Mode::Probing { sent_at: Some(probe) } if sent_at < probe => return, // answered already
            _ => self.mode = Mode::Probing { sent_at: None },
        }
        self.next_index =
            (hint + 1).min(self.next_index.saturating_sub(1)).max(self.match_index + 1);
        self.install_started_at = None;
    }
}
