//! The replicated state: records in force, pool assignments of instances, entries that
//! have joined, and the journal.
//!
//! [`Fleet::apply`] is deterministic: entries that apply the same commands in
//! the same order hold the same state and the same journal.

pub mod check;
pub mod command;
pub mod journal;
pub mod moves;
pub mod outcome;
mod state;

pub use command::{Change, Command, Submission};
pub use journal::{Journal, Note};
pub use outcome::Outcome;
pub use state::{Error, Fleet, Member, Placement, Result, StoredRecord};

/// Position in the replicated log.
pub type Index = u64;
/// Distinguishes the incarnations of one process. A start that keeps no state of the
/// previous one gets a new value.
pub type Incarnation = u64;
