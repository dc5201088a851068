//! The core process: the agreed log, the ledger and the leader's scheduler.
//!
//! [`Core`] is the state machine; [`Process`] gives it a thread, a disk and the
//! network.

pub mod calls;
pub mod core;
pub mod process;

pub use calls::Calls;
pub use core::{Core, Environment, Input, Setup};
pub use process::{Handle, Process};
