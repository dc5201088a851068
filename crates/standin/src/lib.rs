//! Stand-in targets: small HTTP servers that announce themselves to entries and
//! can be told to misbehave.

pub mod client;
mod target;

pub use target::{Behaviour, Settings, Target};
