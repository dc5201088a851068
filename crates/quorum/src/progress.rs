//! A leader's record of how far another node has replicated the log.

use crate::{Entry, Index};
use std::collections::VecDeque;
use std::time::Duration;

/// Leader's view of how far the log is replicated to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Index of the next entry to send.
    pub next_index: Index,
    /// Index of the last entry that the node is known to have stored.
    pub match_index: Index,
    /// `sent_at` of the newest request that the node answered. The leader's lease counts
    /// from it.
    pub acked_sent_at: Option<Duration>,
    /// When the leader last sent to the node. The next heartbeat is due an interval later.
    pub last_sent_at: Option<Duration>,
    /// When the snapshot that the node hasn't answered yet was sent; none without one.
    pub snapshot_sent_at: Option<Duration>,
    /// How entries are sent to the node.
    pub mode: Mode,
    /// Requests with entries that the node has not answered, oldest first: the index of the last
    /// entry and the size of all entries in bytes.
    in_flight: VecDeque<(Index, usize)>,
    /// Sum of the sizes in `in_flight`.
    in_flight_bytes: usize,
}

/// How entries are sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As they are appended, without waiting for answers.
    Replicating,
    /// One request at a time, to find the last entry that both logs have in common. Used
    /// after the node rejected a request.
    Probing {
        /// When the unanswered request was sent; none when the next one may be sent.
        sent_at: Option<Duration>,
    },
}

impl Progress {
    /// Creates the progress of a node whose log is not known yet. Sending starts at
    /// `next_index`.
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
            snapshot_sent_at: None,
            mode: Mode::Replicating,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Size in bytes of the entries that were sent and are not answered.
    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    /// Records that entries, starting with the one at `next_index`, are sent.
    pub fn record_sent(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else { return };
        self.next_index = last.index + 1;
        let bytes = entries.iter().map(Entry::size).sum();
        self.in_flight.push_back((last.index, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Sends from `next_index` on as to a node that has just connected. Requests in flight and
    /// their answers may be lost.
    pub fn restart(&mut self, next_index: Index) {
        self.next_index = next_index;
        self.snapshot_sent_at = None;
        self.mode = Mode::Replicating;
        self.forget_in_flight();
    }

    fn forget_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Records that the node's log agrees up to an index, and returns to replicating.
    pub fn accept(&mut self, match_index: Index) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.snapshot_sent_at = None;
        self.mode = Mode::Replicating;
        while let Some((_, bytes)) = self.in_flight.pop_front_if(|(last, _)| *last <= match_index) {
            self.in_flight_bytes -= bytes;
        }
    }

    /// Records that the node rejected the request sent at `sent_at`, and goes back to the
    /// node's hint.
    pub fn reject(&mut self, hint: Index, sent_at: Duration) {
        match self.mode {
            Mode::Probing { sent_at: Some(probe) } if sent_at < probe => return, // answers an older request
            _ => self.mode = Mode::Probing { sent_at: None },
        }
        self.next_index =
            (hint + 1).min(self.next_index.saturating_sub(1)).max(self.match_index + 1);
        self.snapshot_sent_at = None;
        self.forget_in_flight();
    }
}
