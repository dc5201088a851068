//! The log in memory: position of the last snapshot and the entries after it.

use crate::{Index, Membership, Term};
use serde::{Deserialize, Serialize};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader: entries of earlier terms commit only together with an
    /// entry of the leader's own term.
    Noop,
    /// Voters in effect from this entry on, committed or not.
    Voters(Membership),
    /// A command of the caller's state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Size in memory and, about, in a message, in bytes.
    ///
    /// ```
    /// use quorum::{Entry, Payload};
    /// let entry = Entry { index: 1, term: 1, payload: Payload::Data(vec![0; 100]) };
    /// assert!(entry.size() > 100);
    /// ```
    pub fn size(&self) -> usize {
        let data = match &self.payload {
            Payload::Data(data) => data.len(),
            Payload::Voters(_) | Payload::Noop => 0,
        };
        size_of::<Entry>() + data
    }
}

/// State of the caller's state machine after all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Voters as of that entry.
    pub membership: Membership,
    /// Serialized state.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Entries after the last snapshot, and the snapshot's position, term and voters.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    base_membership: Membership,
    entries: Vec<Entry>,
    /// Index of the last entry that sets the voters; `base_index` if there is none.
    membership_index: Index,
    membership: Membership,
}

impl Log {
    /// Creates the log from a snapshot and the stored entries. Entries that the snapshot
    /// covers are left out.
    ///
    /// ```
    /// let log = quorum::Log::new(&quorum::Snapshot::default(), Vec::new());
    /// assert_eq!(log.last_index(), 0);
    /// ```
    pub fn new(snapshot: &Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log::default();
        log.reset(snapshot);
        log.entries = entries.into_iter().filter(|e| e.index > snapshot.index).collect();
        log.update_membership();
        log
    }

    /// Index of the last entry, or of the snapshot if there is none.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry, or of the snapshot if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Index of the last entry that the snapshot covers.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Term of the entry at an index. None before the snapshot's last entry and after the
    /// last entry of the log.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index { Some(self.base_term) } else { Some(self.get(index)?.term) }
    }

    /// Entry at an index. None if the snapshot covers it or the log ends before it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns at most `max` entries from an index on, whose size is at most `max_bytes` unless
    /// the first one alone is larger.
    pub fn entries_from(&self, index: Index, max: usize, max_bytes: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.size();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(skip).take(max).take_while(fits).cloned().collect()
    }

    /// Appends an entry, whose index has to follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Voters(membership) = &entry.payload {
            self.membership_index = entry.index;
            self.membership = membership.clone();
        }
        self.entries.push(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        if from <= self.membership_index {
            self.update_membership();
        }
    }

    /// Drops the entries up to an index that a snapshot now covers.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        self.base_membership = self.membership_at(index);
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
        self.membership_index = self.membership_index.max(index);
    }

    /// Drops all entries and starts after a snapshot.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_membership = snapshot.membership.clone();
        self.entries.clear();
        self.update_membership();
    }

    /// Voters by the last entry that sets them, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Voters by the last entry up to an index that sets them.
    pub fn membership_at(&self, index: Index) -> Membership {
        let latest = self.entries.iter().rev().filter(|e| e.index <= index).find_map(|entry| {
            match &entry.payload {
                Payload::Voters(membership) => Some(membership),
                _ => None,
            }
        });
        latest.unwrap_or(&self.base_membership).clone()
    }

    /// Index of the last entry that sets the voters.
    pub fn membership_index(&self) -> Index {
        self.membership_index
    }

    /// Finds the last entry that sets the voters.
    fn update_membership(&mut self) {
        let sets_voters = |entry: &&Entry| matches!(entry.payload, Payload::Voters(_));
        let last = self.entries.iter().rev().find(sets_voters);
        self.membership_index = last.map_or(self.base_index, |entry| entry.index);
        self.membership = self.membership_at(self.last_index());
    }
}
