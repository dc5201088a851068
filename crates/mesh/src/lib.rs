//! Connections between the processes that manage jobs, and what they say.
//!
//! Core processes agree on the log; edge processes pass clients' requests on to
//! the one that leads. A process starts with the addresses of a few others and
//! learns the rest from them.

pub mod clock;
pub mod frame;
pub mod net;
pub mod request;
pub mod settings;

pub use clock::Clock;
pub use frame::{Frame, ProcessInfo, Status};
pub use net::{Event, Net};
pub use request::{LeaderRequest, Reply};
pub use settings::Settings;
