//! The edge process: forwards clients' requests to the leader of the core processes.

pub mod attempts;
pub mod gateway;
pub mod leaders;

pub use gateway::Gateway;
pub use leaders::Leaders;
