//! Which target a request goes to, and what became of it; without I/O.

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
