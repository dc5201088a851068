//! Callers' requests and targets' responses, as entries relay them to each other.

use record::TeamId;
use route::claim::Key;
use route::queue::Class;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name, in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Pool that serves the request.
    pub pool: String,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the pool.
    pub path: String,
    /// Headers to forward to the target.
    pub headers: Vec<Header>,
    /// Complete request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A target's complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<Header>,
    /// Complete response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Instance that responded.
    pub instance: String,
}

/// Outcome of a request.
pub type Outcome = route::Outcome<Response>;

/// A completed claim that a stopping entry hands over.
pub type CompletedClaim = route::claim::CompletedClaim<Response>;

/// Relays a request to the entry that issued its idempotency key, or to one in a data
/// centre that has targets of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Id that the reply repeats.
    pub id: u64,
    /// Idempotency key; present if the receiver issued it and must apply it.
    pub key: Option<Key>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Request to send to a target.
    pub call: Call,
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// Urgency class.
    pub class: Class,
    /// Team whose quota the request uses; empty for none.
    pub team: TeamId,
}

/// Reply to [`Relay`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReply {
    /// Id of the [`Relay`].
    pub id: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
}
