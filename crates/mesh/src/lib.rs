//! Connections between the processes that manage jobs, and what they say.
//!
//! Core processes agree on the log; edge processes pass clients' requests on to
//! the one that leads. A process starts with the addresses of a few others and
//! learns the rest from them.

pub mod ask;
pub mod clock;
pub mod frame;
pub mod net;
pub mod settings;

pub use ask::{Ask, Reply};
pub use clock::Clock;
pub use frame::{Frame, Hello, Standing};
pub use net::{Event, Net};
pub use settings::Settings;
