//! Which unit of work runs where and when, as state machines without I/O.
//!
//! The leader of the log feeds a [`Scheduler`] with what workers say and what the
//! log puts in force; it answers with changes to propose and orders to send.
//! Nothing here survives a leader: its successor builds the scheduler anew from
//! the ledger and asks the workers.

pub mod estimate;
pub mod instance;
pub mod lease;
pub mod order;
pub mod place;
pub mod rank;
pub mod roster;
pub mod scheduler;
pub mod settings;
pub mod worker;

pub use instance::Instance;
pub use order::Order;
pub use roster::{Report, Roster};
pub use scheduler::{Output, Scheduler};
pub use settings::Settings;
pub use worker::Worker;

/// Number of a leader's reign, as workers and the cloud compare it.
pub type Fence = u64;
