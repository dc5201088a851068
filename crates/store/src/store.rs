//! Reads and writes the durable state of one node: identity, snapshot and log.

use crate::{Error, Folder, Result, frame};
use quorum::node::{HardState, State};
use quorum::{Entry, Index, Output, Snapshot, Term};
use serde::{Deserialize, Serialize};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// A log record, stored as one frame of the log file. Reading the records in order rebuilds
/// the state.
#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    /// New term and vote.
    Hard(HardState),
    /// Removes the entries from this index on.
    Truncate(Index),
    Entry(Entry),
    /// Commit index.
    Commit(Index),
    /// Position of the snapshot that the following entries continue.
    Base(Base),
}

/// Index and term of the last entry that a snapshot covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    index: Index,
    term: Term,
}

/// Content of the identity file.
#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    incarnation: u64,
}

/// Content of the data folder when the store was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Random number of the data folder, drawn when the folder was first opened.
    pub incarnation: u64,
    /// State to restore the node with.
    pub state: State,
}

/// Writes the log and the snapshot of one node to its data folder.
///
/// ```
/// use store::{DiskFolder, Store};
/// let path = tempfile::tempdir().unwrap();
/// let (store, recovered) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
/// drop(store);
/// let (_, reopened) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
/// assert_eq!(recovered.incarnation, reopened.incarnation);
/// ```
pub struct Store {
    folder: Box<dyn Folder>,
    hard_state: HardState,
    /// Set by the first failed write or sync; from then on every write is refused.
    failed: bool,
    log_bytes: u64,
}

impl Store {
    /// Reads the folder, truncates a torn tail of the log and draws the identity of a new
    /// folder. Also completes a compaction that a crash interrupted. What is returned is durable.
    pub fn open(mut folder: Box<dyn Folder>) -> Result<(Store, Recovered)> {
        let incarnation = read_or_create_identity(folder.as_mut())?;
        let snapshot = match folder.read(SNAPSHOT_FILE)? {
            Some(bytes) => frame::decode_one(SNAPSHOT_FILE, &bytes)?,
            None => Snapshot::default(),
        };
        let bytes = folder.read(LOG_FILE)?.unwrap_or_default();
        let decoded = frame::decode::<LogRecord>(LOG_FILE, &bytes)?;
        if decoded.intact_bytes < bytes.len() as u64 {
            folder.truncate(LOG_FILE, decoded.intact_bytes)?;
        } else if !bytes.is_empty() {
            // A process that was killed may have written what it did not sync any more.
            folder.sync(LOG_FILE)?;
        }
        let replayed = replay(snapshot, decoded.values)?;
        let state = replayed.state;
        let hard_state = state.hard_state.clone();
        let mut store =
            Store { folder, hard_state, failed: false, log_bytes: decoded.intact_bytes };
        if replayed.log_predates_snapshot {
            store.rewrite_log(&state.snapshot, &state.entries, state.commit_index)?;
        }
        Ok((store, Recovered { incarnation, state }))
    }

    /// Writes and syncs the durable part of an output. After an error every further call
    /// fails with [`Error::Failed`].
    pub fn save(&mut self, output: &Output) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = self.write(output);
        self.failed = result.is_err();
        result
    }

    /// Replaces the stored snapshot and reduces the log to `entries`, which follow the
    /// snapshot. Fails as [`Store::save`] does.
    pub fn compact(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<()> {
        if self.failed {
            return Err(Error::Failed);
        }
        let result = self.replace_snapshot(snapshot, entries);
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
            self.replace_snapshot(snapshot, &[])?;
        }
        let mut bytes = Vec::new();
        if let Some(hard_state) = &output.hard_state {
            bytes.extend(frame::encode(&LogRecord::Hard(hard_state.clone())));
        }
        if let Some(from) = output.truncate {
            bytes.extend(frame::encode(&LogRecord::Truncate(from)));
        }
        for entry in &output.append {
            bytes.extend(frame::encode(&LogRecord::Entry(entry.clone())));
        }
        if let Some(commit_index) = output.commit_index {
            bytes.extend(frame::encode(&LogRecord::Commit(commit_index)));
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.folder.append(LOG_FILE, &bytes)?;
        self.folder.sync(LOG_FILE)?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Writes the snapshot first and the log after it: [`replay`] handles a log that
    /// predates the snapshot.
    fn replace_snapshot(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<()> {
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
        let mut bytes = frame::encode(&LogRecord::Hard(self.hard_state.clone()));
        bytes.extend(frame::encode(&LogRecord::Base(base)));
        for entry in entries {
            bytes.extend(frame::encode(&LogRecord::Entry(entry.clone())));
        }
        bytes.extend(frame::encode(&LogRecord::Commit(commit_index)));
        self.folder.replace(LOG_FILE, &bytes)?;
        self.log_bytes = bytes.len() as u64;
        Ok(())
    }
}

/// Result of [`replay`].
struct Replayed {
    state: State,
    /// The process crashed after it wrote the snapshot and before it rewrote the log.
    log_predates_snapshot: bool,
}

/// Computes the state from the snapshot and the records of the log.
///
/// The log may predate the snapshot if the process crashed between writing the two. Then
/// entries that the snapshot covers are skipped, and later ones are kept only if the log
/// contains the snapshot's last entry with the same term.
fn replay(snapshot: Snapshot, records: Vec<LogRecord>) -> Result<Replayed> {
    let mut hard_state = HardState::default();
    let mut commit_index = snapshot.index;
    let mut base = Base { index: 0, term: 0 };
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        match record {
            LogRecord::Hard(written) => hard_state = written,
            LogRecord::Truncate(from) => entries.retain(|entry| entry.index < from),
            LogRecord::Commit(index) => commit_index = commit_index.max(index),
            LogRecord::Base(written) => {
                base = written;
                entries.clear();
            }
            LogRecord::Entry(entry) => {
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
    let log_predates_snapshot = base.index != snapshot.index;
    let state = State { hard_state, commit_index: commit_index.min(last), snapshot, entries };
    Ok(Replayed { state, log_predates_snapshot })
}

/// Term of the log's entry at an index, or of its base.
fn term_at(base: &Base, entries: &[Entry], index: Index) -> Option<Term> {
    if index == base.index {
        return Some(base.term);
    }
    entries.iter().find(|entry| entry.index == index).map(|entry| entry.term)
}

/// Returns the incarnation in the identity file, which is created in a new folder.
fn read_or_create_identity(folder: &mut dyn Folder) -> Result<u64> {
    if let Some(bytes) = folder.read(IDENTITY_FILE)? {
        let identity: Identity = frame::decode_one(IDENTITY_FILE, &bytes)?;
        return Ok(identity.incarnation);
    }
    let incarnation = getrandom::u64().map_err(|error| Error::Io {
        action: "draw a random number for",
        file: IDENTITY_FILE.to_string(),
        source: error.into(),
    })?;
    folder.replace(IDENTITY_FILE, &frame::encode(&Identity { incarnation }))?;
    Ok(incarnation)
}
