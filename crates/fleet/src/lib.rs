//! The replicated state: records, pool assignments of instances, entries that
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
/// Distinguishes successive starts of an entry's process or, for a voter, successive
/// data folders of an entry.
pub type Incarnation = u64;
