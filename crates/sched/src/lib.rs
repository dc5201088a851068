//! Scheduling of units of work on workers, as state machines without I/O.
//!
//! The leader of the log passes workers' reports and replies and committed log entries
//! to a [`Scheduler`], which returns changes to propose and orders to send. This state
//! ends with the leader's term: the next leader rebuilds it from the ledger and by
//! polling the workers.

pub mod admission;
pub mod backlog;
pub mod claim;
pub mod crash;
pub mod estimate;
pub mod fence;
pub mod health;
pub mod instance;
pub mod inventory;
pub mod late;
pub mod lease;
pub mod locality;
pub mod order;
pub mod outstanding;
pub mod place;
pub mod quota;
pub mod rank;
pub mod rate;
pub mod roster;
pub mod scheduler;
pub mod settings;
pub mod share;
pub mod speed;
pub mod straggler;
pub mod usage;
pub mod worker;

pub use instance::Instance;
pub use order::Order;
pub use roster::{Report, Roster};
pub use scheduler::{Output, Scheduler};
pub use settings::Settings;
pub use worker::Worker;

/// Number of a leader's term. Workers and the cloud refuse orders with a fence lower
/// than the highest that they have seen.
pub type Fence = u64;
