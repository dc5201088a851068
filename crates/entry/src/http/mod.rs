//! HTTP for callers, targets and operators.

pub mod callers;
pub mod listener;
pub mod operators;
pub mod reply;
pub mod targets;
