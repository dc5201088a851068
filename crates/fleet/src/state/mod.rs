//! The state itself and how commands change it.

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

/// Answers kept for resends; an older resend meets the revision check instead.
pub const RETAINED_ANSWERS: usize = 10_000; // three days at 3,000 changes a day

const MOVE_RULE: &str = "one-pool";
const MEMBERSHIP_RULE: &str = "entry-membership";

/// A command that this version cannot apply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Going on would let this entry differ from the others.
    #[error("{key} at index {index} has schema {schema}, which this version does not know")]
    UnknownSchema {
        /// The record.
        key: Key,
        /// Log index of the command.
        index: Index,
        /// Its schema version.
        schema: u32,
    },
    /// The bytes are no state of this version.
    #[error("cannot read the state: {0}")]
    Unreadable(String),
}

/// One record with its last accepted document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Last accepted document.
    pub document: Document,
    /// Revision; counts withdrawals too.
    pub revision: Revision,
    /// Whether the record is a tombstone.
    pub withdrawn: bool,
    /// Who made the last change.
    pub operator: OperatorId,
    /// When the last change was made.
    pub at: SystemTime,
    /// Log index of the last change.
    pub index: Index,
}

/// Where an instance sits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// A move that has not ended.
    #[serde(rename = "step")]
    pub pending_move: Option<Move>,
}

/// An entry process that routes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Identity of its data folder, if it has one.
    #[serde(rename = "disk")]
    pub data_folder_id: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answer {
    index: Index,
    digest: Vec<u8>,
    outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct SubmissionKey {
    operator: OperatorId,
    id: String,
}

/// Records in force, placements, entries and the journal.
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
    /// Typed content of the live records.
    #[serde(skip)]
    live: LiveSpecs,
    placements: BTreeMap<InstanceId, Placement>,
    members: BTreeMap<EntryId, Member>,
    answers: BTreeMap<SubmissionKey, Answer>,
    answer_order: BTreeMap<Index, SubmissionKey>,
    journal: Journal,
}

/// Queries.
impl Fleet {
    /// Log index of the last command applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// All records, withdrawn ones included.
    pub fn records(&self) -> &BTreeMap<Key, StoredRecord> {
        &self.records
    }

    /// One record, also when it is withdrawn.
    pub fn record(&self, key: &Key) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// Where every instance sits.
    pub fn placements(&self) -> &BTreeMap<InstanceId, Placement> {
        &self.placements
    }

    /// Entry processes that have joined.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// The journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Typed content of a live record.
    pub fn spec(&self, key: &Key) -> Option<&Spec> {
        self.live.get(key)
    }

    /// Entries that have not let go of a moving instance.
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
    /// Serialises the state.
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

    /// Reads a serialised state.
    pub fn read(bytes: &[u8]) -> Result<Fleet> {
        let mut fleet: Fleet =
            ciborium::from_reader(bytes).map_err(|error| Error::Unreadable(error.to_string()))?;
        let live = fleet.records.iter().filter(|(_, slot)| !slot.withdrawn);
        let typed =
            |(key, slot): (&Key, &StoredRecord)| Some((key.clone(), slot.document.check().ok()?));
        fleet.live = live.filter_map(typed).collect();
        Ok(fleet)
    }
}

fn change_key(change: &Change) -> Option<Key> {
    match change {
        Change::Put(document) => Some(document.key()),
        Change::Withdraw(withdrawal) => Some(withdrawal.key.clone()),
        Change::Dismiss(_) => None,
    }
}
