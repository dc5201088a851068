//! What became of a submission.

use crate::Index;
use record::{FieldError, Key, OperatorId, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::SystemTime;

/// Final answer to a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// Every change of the batch is accepted.
    Accepted {
        /// Log index that accepted it.
        index: Index,
        /// New revision of each record.
        revisions: Vec<Revised>,
    },
    /// Another change of the same record came first.
    Conflict {
        /// The record.
        key: Key,
        /// Revision that the operator's change rested on.
        #[serde(rename = "stated")]
        expected: Option<Revision>,
        /// The change that stands.
        winner: Winner,
    },
    /// Nothing was changed, for all of these reasons.
    Refused {
        /// Every reason.
        #[serde(rename = "faults")]
        field_errors: Vec<FieldError>,
    },
}

/// New revision of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revised {
    /// The record.
    pub key: Key,
    /// Its revision after the change.
    pub revision: Revision,
}

/// The change that a conflicting one lost to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Winner {
    /// Who made it; absent when the record does not exist.
    pub operator: Option<OperatorId>,
    /// Revision in force.
    pub revision: Revision,
    /// Whether the record is withdrawn.
    pub withdrawn: bool,
    /// When it was made.
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
                for fault in field_errors {
                    write!(f, "\n  {fault}")?;
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
    let rested = match expected {
        Some(revision) => format!("the change rests on revision {revision}"),
        None => "the change names no revision".to_string(),
    };
    let Some(operator) = &winner.operator else {
        return write!(f, "conflict on {key}: {rested}, but the record does not exist");
    };
    let state = if winner.withdrawn { "withdrawn" } else { "in force" };
    write!(
        f,
        "conflict on {key}: {rested}, but revision {} by operator \"{operator}\" is {state}",
        winner.revision
    )
}
