//! Outcome of a submission.

use crate::Index;
use record::{FieldError, Key, OperatorId, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::SystemTime;

/// Final outcome of a submission. A resend gets the same one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// Every change of the batch is accepted.
    Accepted {
        /// Log index of the submission.
        index: Index,
        /// New revision of each record.
        revisions: Vec<Revised>,
    },
    /// The change names another revision than the one in force, for instance because
    /// another operator changed the record first.
    Conflict {
        /// Record in conflict.
        key: Key,
        /// Revision that the operator's change was based on; `None` for a new record.
        #[serde(rename = "stated")]
        expected: Option<Revision>,
        /// The change that is in force.
        winner: Winner,
    },
    /// The submission is invalid; nothing was changed.
    Refused {
        /// Every error found.
        #[serde(rename = "faults")]
        field_errors: Vec<FieldError>,
    },
}

/// New revision of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revised {
    /// Record that was changed.
    pub key: Key,
    /// Revision of the record after the change.
    pub revision: Revision,
}

/// The change in force that a conflicting submission did not take into account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Winner {
    /// Operator who made it; `None` if the record does not exist.
    pub operator: Option<OperatorId>,
    /// Revision in force; 0 if the record does not exist.
    pub revision: Revision,
    /// Whether the record is withdrawn.
    pub withdrawn: bool,
    /// When it was made; `None` if the record does not exist.
    pub at: Option<SystemTime>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Accepted { index, revisions } => {
                write!(f, "accepted at index {index}")?;
                for revised in revisions {
                    write!(f, "\n  {} revision {}", revised.key, revised.revision)?;
                }
                Ok(())
            }
            Outcome::Conflict { key, expected, winner } => {
                write_conflict(f, key, *expected, winner)
            }
            Outcome::Refused { field_errors } => {
                f.write_str("refused")?;
                for field_error in field_errors {
                    write!(f, "\n  {field_error}")?;
                }
                Ok(())
            }
        }
    }
}

fn write_conflict(
    f: &mut fmt::Formatter<'_>,
    key: &Key,
    expected: Option<Revision>,
    winner: &Winner,
) -> fmt::Result {
    let base = match expected {
        Some(revision) => format!("the change rests on revision {revision}"),
        None => "the change names no revision".to_string(),
    };
    let Some(operator) = &winner.operator else {
        return write!(f, "conflict on {key}: {base}, but the record does not exist");
    };
    let state = if winner.withdrawn { "withdrawn" } else { "in force" };
    write!(
        f,
        "conflict on {key}: {base}, but revision {} by operator \"{operator}\" is {state}",
        winner.revision
    )
}
