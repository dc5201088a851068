//! The core process: replicated log, ledger and the leader's scheduler.
//!
//! [`Core`] is the state machine without I/O of its own; [`Process`] runs it in a thread
//! with a disk and the network.

pub mod answer_time;
pub mod calls;
pub mod core;
pub mod load;
pub mod process;
pub mod reads;
pub mod relay;

pub use calls::Calls;
pub use core::{Core, Environment, Input, Setup};
pub use process::{Handle, Process};
