//! Stand-in targets for tests and demos: small HTTP servers that announce themselves to
//! entries and can be switched to fail in several ways. Also the HTTP client that tests and
//! commands use.

pub mod client;
mod target;

pub use target::{Behaviour, Settings, Target};
