//! Commands of the replicated log. Applying one changes the replicated state.

use crate::{Incarnation, Index};
use record::{DataCentre, Document, EntryId, InstanceId, Key, OperatorId, Revision};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::SystemTime;

/// Command of one log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Applies an operator's batch of changes.
    Submit(Submission),
    /// Reports that an entry process has started and will route requests.
    Join(Join),
    /// Reports that an entry sends no more work to a moving instance and has none in
    /// flight there.
    Release(Release),
    /// Reports that an entry process has stopped for good or is about to.
    Leave(Leave),
}

/// A batch of changes, applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Operator who made it.
    pub operator: OperatorId,
    /// Id that the operator's client chooses; a resend repeats it.
    pub id: String,
    /// When the entry that the operator contacted received it.
    pub at: SystemTime,
    /// Changes, each of a different record.
    pub changes: Vec<Change>,
}

impl Submission {
    /// Returns the SHA-256 digest of the changes. It distinguishes a resend from another
    /// submission with the same id.
    pub fn digest(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.changes, &mut bytes).expect("changes serialise to memory");
        Sha256::digest(&bytes).to_vec()
    }
}

/// A change of one record, or the removal of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates the record, or replaces the revision that the document names.
    Put(Document),
    /// Withdraws a record.
    Withdraw(Withdrawal),
    /// Removes an entry that an operator declares to be stopped for good.
    Dismiss(EntryId),
}

/// Withdrawal of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Key of the record to withdraw.
    pub key: Key,
    /// Revision that the operator saw; the withdrawal conflicts with any other.
    pub revision: Revision,
}

/// Announces an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Join {
    /// Name of the entry.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Id of its data folder; `None` if it has none.
    #[serde(rename = "disk")]
    pub data_folder_id: Option<u64>,
    /// When it asked to join.
    pub at: SystemTime,
}

/// Confirms that an entry has released a moving instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Name of the entry.
    pub entry: EntryId,
    /// Incarnation of the entry's process. A release of an earlier one is ignored.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Log index at which the move started. A release of an earlier move is ignored.
    #[serde(rename = "began")]
    pub start_index: Index,
    /// When the entry released it.
    pub at: SystemTime,
}

/// Announces the end of an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leave {
    /// Name of the entry.
    pub entry: EntryId,
    /// Incarnation of the process that ends. If the entry has joined with another since, the command
    /// is ignored.
    pub incarnation: Incarnation,
    /// When it asked to leave.
    pub at: SystemTime,
}
