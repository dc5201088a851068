//! Commands that change the replicated state.

use crate::{Incarnation, Index};
use record::{DataCentre, Document, EntryId, InstanceId, Key, OperatorId, Revision};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::SystemTime;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// An operator's batch of changes.
    Submit(Submission),
    /// An entry process has started and will route requests.
    Join(Join),
    /// An entry sends no more work to a moving instance and has none in flight.
    Release(Release),
    /// An entry process has stopped for good or is about to.
    Leave(Leave),
}

/// A batch of changes, applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Operator who made it.
    pub operator: OperatorId,
    /// Chosen by the operator's client; a resend repeats it.
    pub id: String,
    /// When the entry that took it received it.
    pub at: SystemTime,
    /// The changes, each on a different record.
    pub changes: Vec<Change>,
}

impl Submission {
    /// Digest of the changes, which tells a resend from a reused id.
    pub fn digest(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.changes, &mut bytes).expect("changes serialise to memory");
        Sha256::digest(&bytes).to_vec()
    }
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates the record, or replaces the revision that the document names.
    Put(Document),
    /// Withdraws the record.
    Withdraw(Withdrawal),
    /// Declares that an entry was stopped for good.
    Dismiss(EntryId),
}

/// Withdrawal of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Record to withdraw.
    pub key: Key,
    /// Revision that the operator saw.
    pub revision: Revision,
}

/// Announces an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Join {
    /// Name of the entry.
    pub entry: EntryId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its life.
    pub incarnation: Incarnation,
    /// Identity of its data folder, if it has one.
    #[serde(rename = "disk")]
    pub data_folder_id: Option<u64>,
    /// When it asked to join.
    pub at: SystemTime,
}

/// Confirms that an entry let go of a moving instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Name of the entry.
    pub entry: EntryId,
    /// Life of the entry that confirms.
    pub incarnation: Incarnation,
    /// The instance.
    pub instance: InstanceId,
    /// Log index that began the move.
    #[serde(rename = "began")]
    pub start_index: Index,
    /// When it let go.
    pub at: SystemTime,
}

/// Announces the end of an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leave {
    /// Name of the entry.
    pub entry: EntryId,
    /// The life that ends.
    pub incarnation: Incarnation,
    /// When it asked to leave.
    pub at: SystemTime,
}
