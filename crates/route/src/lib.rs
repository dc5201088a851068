//! Selects a target for each request: health, queueing, retries, the routing table
//! and idempotency keys. Performs no I/O.

pub mod claim;
pub mod directory;
pub mod health;
pub mod outcome;
pub mod queue;
pub mod retry;
pub mod table;
pub mod target;

pub use directory::Directory;
pub use outcome::Outcome;
pub use table::Table;
pub use target::Announcement;
