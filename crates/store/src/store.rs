//! The durable state of one node.

use crate::{Error, Folder, Result, frame};
use quorum::node::{HardState, State};
use quorum::{Entry, Index, Output, Snapshot, Term};
use serde::{Deserialize, Serialize};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// One frame of the log file.
#[derive(Debug, Serialize, Deserialize)]
enum Line {
    Hard(HardState),
    Truncate(Index),
    Entry(Entry),
    Commit(Index),
    /// The snapshot that the entries behind this line follow on.
    Base(Base),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    index: Index,
    term: Term,
}

#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    incarnation: u64,
}

/// What the disk held at start.
#[derive(Debug)]
pub struct Recovered {
    /// Identity of the data folder.
    pub incarnation: u64,
    /// State of the node.
    pub state: State,
}

/// Log and snapshots of one node.
///
/// ```
/// use store::{DiskFolder, Store};
/// let path = tempfile::tempdir().unwrap();
/// let (store, recovered) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
/// drop(store);
/// let (_, again) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
/// assert_eq!(recovered.incarnation, again.incarnation);
/// ```
pub struct Store {
    folder: Box<dyn Folder>,
    hard_state: HardState,
    failed: bool,
    log_bytes: u64,
}

impl Store {
    /// Reads the folder, cuts a torn tail and gives a new folder its identity.
    pub fn open(mut folder: Box<dyn Folder>) -> Result<(Store, Recovered)> {
        let incarnation = identity(folder.as_mut())?;
        let snapshot = match folder.read(SNAPSHOT_FILE)? {
            Some(bytes) => frame::decode_one(SNAPSHOT_FILE, &bytes)?,
            None => Snapshot::default(),
        };
        let bytes = folder.read(LOG_FILE)?.unwrap_or_default();
        let decoded = frame::decode::<Line>(LOG_FILE, &bytes)?;
        if decoded.intact_bytes < bytes.len() as u64 {
            folder.truncate(LOG_FILE, decoded.intact_bytes)?;
        }
        let replayed = replay(snapshot, decoded.values)?;
        let state = replayed.state;
        let hard_state = state.hard_state.clone();
        let mut store =
            Store { folder, hard_state, failed: false, log_bytes: decoded.intact_bytes };
        if replayed.log_is_older {
            store.rewrite_log(&state.snapshot, &state.entries, state.commit_index)?;
        }
        Ok((store, Recovered { incarnation, state }))
    }

    /// Makes an output's term, vote and entries durable.
    pub fn save(&mut self, output: &Output) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = self.write(output);
        self.failed = result.is_err();
        result
    }

    /// Makes a snapshot durable and keeps only the entries after it.
    pub fn compact(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = self.rewrite(snapshot, entries);
        self.failed = result.is_err();
        result
    }

    /// Whether an earlier write or sync failed.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    fn write(&mut self, output: &Output) -> Result<()> {
        if let Some(hard_state) = &output.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &output.install_snapshot {
            self.rewrite(snapshot, &[])?;
        }
        let mut bytes = Vec::new();
        if let Some(hard_state) = &output.hard_state {
            bytes.extend(frame::encode(&Line::Hard(hard_state.clone())));
        }
        if let Some(from) = output.truncate {
            bytes.extend(frame::encode(&Line::Truncate(from)));
        }
        for entry in &output.append {
            bytes.extend(frame::encode(&Line::Entry(entry.clone())));
        }
        if let Some(commit_index) = output.commit_index {
            bytes.extend(frame::encode(&Line::Commit(commit_index)));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.folder.append(LOG_FILE, &bytes)?;
        self.folder.sync(LOG_FILE)?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    fn rewrite(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<()> {
        self.folder.replace(SNAPSHOT_FILE, &frame::encode(snapshot))?;
        self.rewrite_log(snapshot, entries, snapshot.index)
    }

    fn rewrite_log(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        commit_index: Index,
    ) -> Result<()> {
        let base = Base { index: snapshot.index, term: snapshot.term };
        let mut bytes = frame::encode(&Line::Hard(self.hard_state.clone()));
        bytes.extend(frame::encode(&Line::Base(base)));
        for entry in entries {
            bytes.extend(frame::encode(&Line::Entry(entry.clone())));
        }
        bytes.extend(frame::encode(&Line::Commit(commit_index)));
        self.folder.replace(LOG_FILE, &bytes)?;
        self.log_bytes = bytes.len() as u64;
        Ok(())
    }
}

/// What the snapshot and the log amount to.
struct Replayed {
    state: State,
    /// The process died after writing the snapshot and before the log.
    log_is_older: bool,
}

/// State that the snapshot and the lines of the log amount to.
///
/// The log may be older than the snapshot when the process died between writing
/// the two: entries that the snapshot covers are passed over, and the others
/// count only if the log agrees with the snapshot's last entry.
fn replay(snapshot: Snapshot, lines: Vec<Line>) -> Result<Replayed> {
    let mut hard_state = HardState::default();
    let mut commit_index = snapshot.index;
    let mut base = Base { index: 0, term: 0 };
    let mut entries: Vec<Entry> = Vec::new();
    for line in lines {
        match line {
            Line::Hard(written) => hard_state = written,
            Line::Truncate(from) => entries.retain(|entry| entry.index < from),
            Line::Commit(index) => commit_index = commit_index.max(index),
            Line::Base(written) => {
                base = written;
                entries.clear();
            }
            Line::Entry(entry) => {
                let last = entries.last().map_or(base.index, |entry| entry.index);
                if entry.index != last + 1 {
                    let reason = format!("entry {} follows entry {last}", entry.index);
                    return Err(Error::Damaged { file: LOG_FILE.to_string(), offset: 0, reason });
                }
                entries.push(entry);
            }
        }
    }
    if term_at(&base, &entries, snapshot.index) == Some(snapshot.term) {
        entries.retain(|entry| entry.index > snapshot.index);
    } else {
        entries.clear();
    }
    let last = entries.last().map_or(snapshot.index, |entry| entry.index);
    let log_is_older = base.index != snapshot.index;
    let state = State { hard_state, commit_index: commit_index.min(last), snapshot, entries };
    Ok(Replayed { state, log_is_older })
}

fn term_at(base: &Base, entries: &[Entry], index: Index) -> Option<Term> {
    if index == base.index {
        return Some(base.term);
    }
    entries.iter().find(|entry| entry.index == index).map(|entry| entry.term)
}

fn identity(folder: &mut dyn Folder) -> Result<u64> {
    if let Some(bytes) = folder.read(IDENTITY_FILE)? {
        let identity: Identity = frame::decode_one(IDENTITY_FILE, &bytes)?;
        return Ok(identity.incarnation);
    }
    let incarnation = getrandom::u64().map_err(|error| Error::Io {
        action: "draw the identity for",
        file: IDENTITY_FILE.to_string(),
        source: error.into(),
    })?;
    folder.replace(IDENTITY_FILE, &frame::encode(&Identity { incarnation }))?;
    Ok(incarnation)
}
