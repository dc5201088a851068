//! The replicated state, its queries and its snapshots.

mod members;
mod notes;
mod place;
mod submit;

use crate::check::LiveSpecs;
use crate::moves::Move;
use crate::{Change, Incarnation, Index, Journal, Outcome};
use record::{DataCentre, Document, EntryId, InstanceId, Key, OperatorId, PoolId, Revision, Spec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::SystemTime;

/// Result of applying a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of outcomes kept to answer resent submissions. An older resend
/// goes through the revision check like a new submission.
pub const RETAINED_OUTCOMES: usize = 10_000; // three days at 3,000 changes a day

const MOVE_RULE: &str = "one-pool";
const MEMBERSHIP_RULE: &str = "entry-membership";

/// A command that this version cannot apply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The schema is newer than this version. Skipping the command would let this entry's
    /// state diverge from the others'.
    #[error("{key} at index {index} has schema {schema}, which this version does not know")]
    UnknownSchema {
        /// Key of the record.
        key: Key,
        /// Log index of the command.
        index: Index,
        /// Schema version of the document.
        schema: u32,
    },
    /// The bytes are not a snapshot of this version.
    #[error("cannot read the state: {0}")]
    Unreadable(String),
}

/// A record with its last accepted document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Last accepted document.
    pub document: Document,
    /// Current revision. Every accepted document and every withdrawal adds 1.
    pub revision: Revision,
    /// Whether the record is a tombstone.
    pub withdrawn: bool,
    /// Operator who made the last change.
    pub operator: OperatorId,
    /// When the last change was made.
    pub at: SystemTime,
    /// Log index of the last change.
    pub index: Index,
}

/// Pool assignment of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The only pool that it belongs to; the old one while it is being moved.
    pub pool: PoolId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Move in progress, if any.
    #[serde(rename = "step")]
    pub pending_move: Option<Move>,
}

/// An entry process that routes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Current incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Id of its data folder; `None` if it has none.
    #[serde(rename = "disk")]
    pub data_folder_id: Option<u64>,
}

/// Outcome of a submission, kept to answer resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredOutcome {
    index: Index,
    digest: Vec<u8>,
    outcome: Outcome,
}

/// Identifies a submission; a resend has the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct SubmissionKey {
    operator: OperatorId,
    id: String,
}

/// Records, pool assignments of instances, entries and the journal.
///
/// ```
/// use fleet::{Change, Command, Fleet, Outcome, Submission};
/// let text = "{kind: team, schema: 1, name: gate, spec: {quota: 3, weight: 1}}";
/// let documents = record::document::parse_all(text).unwrap();
/// let submission = Submission {
///     operator: "ana".into(),
///     id: "1".into(),
///     at: std::time::SystemTime::UNIX_EPOCH,
///     changes: documents.into_iter().map(Change::Put).collect(),
/// };
/// let mut fleet = Fleet::default();
/// let outcome = fleet.apply(1, &Command::Submit(submission)).unwrap();
/// assert!(matches!(outcome, Some(Outcome::Accepted { .. })));
/// assert_eq!(fleet.journal().len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    applied: Index,
    records: BTreeMap<Key, StoredRecord>,
    /// Typed content of the live records, rebuilt when a snapshot is read.
    #[serde(skip)]
    live: LiveSpecs,
    placements: BTreeMap<InstanceId, Placement>,
    members: BTreeMap<EntryId, Member>,
    #[serde(rename = "answers")]
    outcomes: BTreeMap<SubmissionKey, StoredOutcome>,
    /// Keys of `outcomes` by log index, to drop the oldest first.
    #[serde(rename = "answer_order")]
    outcome_order: BTreeMap<Index, SubmissionKey>,
    journal: Journal,
}

/// Queries.
impl Fleet {
    /// Returns the last log index applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns all records, including withdrawn ones.
    pub fn records(&self) -> &BTreeMap<Key, StoredRecord> {
        &self.records
    }

    /// Returns a record, also if it is withdrawn.
    pub fn record(&self, key: &Key) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// Returns the pool assignments of all instances.
    pub fn placements(&self) -> &BTreeMap<InstanceId, Placement> {
        &self.placements
    }

    /// Returns the entries that have joined and not left.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// Returns the journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the typed content of a live record; `None` if it is withdrawn or unknown.
    pub fn spec(&self, key: &Key) -> Option<&Spec> {
        self.live.get(key)
    }

    /// Returns the entries that have not released a moving instance. Empty if the
    /// instance is not being moved.
    pub fn missing_releases(&self, instance: &str) -> Vec<EntryId> {
        let Some(placement) = self.placements.get(instance) else { return Vec::new() };
        let Some(pending_move) = &placement.pending_move else { return Vec::new() };
        let entries = self
            .members
            .iter()
            .filter(|(_, member)| member.data_centre == placement.data_centre)
            .map(|(entry, member)| (entry.clone(), member.incarnation));
        pending_move.missing_releases(entries)
    }
}

/// Snapshots.
impl Fleet {
    /// Serialises the state as CBOR.
    ///
    /// ```
    /// let fleet = fleet::Fleet::default();
    /// assert_eq!(fleet::Fleet::read(&fleet.write()).unwrap(), fleet);
    /// ```
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a state serialises to memory");
        bytes
    }

    /// Reads a state that [`Fleet::write`] serialised.
    ///
    /// Fails with [`Error::Unreadable`] if the bytes are not a state of this version.
    pub fn read(bytes: &[u8]) -> Result<Fleet> {
        let mut fleet: Fleet =
            ciborium::from_reader(bytes).map_err(|error| Error::Unreadable(error.to_string()))?;
        let live = fleet.records.iter().filter(|(_, stored)| !stored.withdrawn);
        let typed = |(key, stored): (&Key, &StoredRecord)| {
            Some((key.clone(), stored.document.check().ok()?))
        };
        fleet.live = live.filter_map(typed).collect();
        Ok(fleet)
    }
}

/// Returns the key of the record that a change concerns; `None` for a dismissal.
fn change_key(change: &Change) -> Option<Key> {
    match change {
        Change::Put(document) => Some(document.key()),
        Change::Withdraw(withdrawal) => Some(withdrawal.key.clone()),
        Change::Dismiss(_) => None,
    }
}
