//! Requests and answers as entries pass them to each other.

use record::TeamId;
use route::claim::Key;
use route::queue::Class;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Pool that serves it.
    pub pool: String,
    /// Its method.
    pub method: String,
    /// Path and query below the pool.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Instance that answered.
    pub instance: String,
}

/// What became of a request.
pub type Outcome = route::Outcome<Response>;

/// A settled claim of an entry that stops.
pub type CompletedClaim = route::claim::CompletedClaim<Response>;

/// Hands a request to the entry that minted its key, or to one that has targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Matches the answer.
    pub id: u64,
    /// The key, if the receiver has to decide it.
    pub key: Option<Key>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The request.
    pub call: Call,
    /// Time left for the answer.
    pub left: Duration,
    /// How urgent it is.
    pub class: Class,
    /// Team that it counts for; empty for none.
    pub team: TeamId,
}

/// Answers [`Relay`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReply {
    /// Id of the request.
    pub id: u64,
    /// What became of it.
    pub outcome: Outcome,
}
