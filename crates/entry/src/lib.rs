//! The entry process: listeners, peers, the agreement thread and what they share.
//!
//! All decisions are made by the crates below; this one feeds them with time,
//! messages and requests, and carries out what they decide.

pub mod agreement;
pub mod background;
pub mod clock;
pub mod dispatch;
pub mod dump;
pub mod forward;
pub mod gate;
pub mod http;
pub mod idempotency;
pub mod idle;
pub mod link;
pub mod peers;
pub mod process;
pub mod relay;
pub mod secret;
pub mod settings;
pub mod shared;
pub mod tasks;

pub use process::{Listeners, Process};
pub use settings::Settings;
