//! The log in memory: a snapshot's position and the entries after it.

use crate::{Index, Membership, Term};
use serde::{Deserialize, Serialize};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by a new leader, so that entries of earlier terms commit.
    Noop,
    /// Voters from this entry on.
    Voters(Membership),
    /// A command of the state machine above.
    Data(Vec<u8>),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// State of the machine above after all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Voters at that entry.
    pub membership: Membership,
    /// Serialised state.
    pub data: Vec<u8>,
}

/// Entries after the snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    base_membership: Membership,
    entries: Vec<Entry>,
}

impl Log {
    /// Builds the log from what the disk holds.
    ///
    /// ```
    /// let log = quorum::Log::new(&quorum::Snapshot::default(), Vec::new());
    /// assert_eq!(log.last_index(), 0);
    /// ```
    pub fn new(snapshot: &Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log::default();
        log.reset(snapshot);
        log.entries = entries.into_iter().filter(|e| e.index > snapshot.index).collect();
        log
    }

    /// Position of the last entry, or of the snapshot when there is none.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Last index that the snapshot covers.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Term of an entry, if it is the snapshot's last or later.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index { Some(self.base_term) } else { Some(self.get(index)?.term) }
    }

    /// Entry at an index, unless the snapshot covers it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, at most `max`.
    pub fn entries_from(&self, index: Index, max: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    /// Appends an entry behind the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Forgets entries up to an index that a snapshot now covers.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        self.base_membership = self.membership_at(index);
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
    }

    /// Replaces everything by a snapshot.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_membership = snapshot.membership.clone();
        self.entries.clear();
    }

    /// Voters by the last entry that names them, committed or not.
    pub fn membership(&self) -> Membership {
        self.membership_at(self.last_index())
    }

    /// Voters by the last entry up to an index.
    pub fn membership_at(&self, index: Index) -> Membership {
        let named = self.entries.iter().rev().filter(|e| e.index <= index).find_map(|entry| {
            match &entry.payload {
                Payload::Voters(membership) => Some(membership),
                _ => None,
            }
        });
        named.unwrap_or(&self.base_membership).clone()
    }

    /// Position of the last entry that names voters.
    pub fn membership_index(&self) -> Index {
        let named = |entry: &&Entry| matches!(entry.payload, Payload::Voters(_));
        self.entries.iter().rev().find(named).map_or(self.base_index, |entry| entry.index)
    }
}
