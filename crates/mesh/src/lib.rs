//! Links and messages between core and edge processes.
//!
//! Core processes replicate the log among themselves; edge processes forward
//! clients' requests to the leader. A process starts with the seed addresses and
//! learns the others from the status of its peers.

pub mod clock;
pub mod frame;
pub mod net;
pub mod queue;
pub mod request;
pub mod settings;

pub use clock::Clock;
pub use frame::{Frame, ProcessInfo, Status};
pub use net::{Event, Net};
pub use request::{LeaderRequest, Reply};
pub use settings::Settings;
