//! The entry process: listeners, peers, the agreement thread and what they share.
//!
//! All decisions are made by the crates below; this one feeds them with time,
//! messages and requests, and carries out what they decide.

pub mod agreement;
pub mod clock;
pub mod dispatch;
pub mod dump;
pub mod forward;
pub mod gate;
pub mod http;
pub mod keeper;
pub mod link;
pub mod once;
pub mod peers;
pub mod pool;
pub mod process;
pub mod relay;
pub mod secret;
pub mod settings;
pub mod shared;
pub mod tasks;

pub use process::{Bound, Process};
pub use settings::Settings;
