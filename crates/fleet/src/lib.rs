//! The replicated state: records in force, where instances sit, the journal.
//!
//! [`Fleet::apply`] is deterministic: entries that apply the same commands in
//! the same order hold the same state and the same explanations.

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
/// Distinguishes the lives of one process: a new one for each start without
/// memory of the last.
pub type Incarnation = u64;
