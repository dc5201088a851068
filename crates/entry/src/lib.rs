//! The entry process: HTTP listeners, peer connections, the agreement thread and
//! the state that they share.
//!
//! The crates `quorum`, `fleet` and `route` make every decision without I/O. This
//! crate passes them time, messages and requests, and executes their output.

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
