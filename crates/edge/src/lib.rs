//! The edge process: clients' requests on their way to the leader.

pub mod gateway;
pub mod leaders;

pub use gateway::Gateway;
pub use leaders::Leaders;
