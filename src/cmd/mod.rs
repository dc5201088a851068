//! One module for each command.

pub mod check;
pub mod core;
pub mod demo;
pub mod dump;
pub mod edge;
pub mod entry;
pub mod explain;
pub mod record;
pub mod recover;
pub mod standin;
pub mod status;
