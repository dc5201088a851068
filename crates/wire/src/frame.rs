//! Frames that entries exchange over a connection.

use crate::call::{CompletedClaim, Relay, RelayReply};
use crate::proof::{Identity, Nonce};
use crate::{Error, Result};
use fleet::{Command, Outcome};
use quorum::Message;
use record::PoolId;
use route::target::Sighting;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum size of a frame in bytes. A frame must be able to hold a snapshot.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Matches a reply to its request on one connection.
pub type RequestId = u64;

/// One message between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Identity and nonce; the first frame of each end.
    Hello(Hello),
    /// Proof of the shared key; the second frame of each end.
    Proof(Vec<u8>),
    /// Consensus message.
    Quorum(Message),
    /// Asks the leader to propose a command.
    Propose(Propose),
    /// Reply to [`Frame::Propose`].
    #[serde(rename = "Proposed")]
    ProposeReply(ProposeReply),
    /// Target announcements that the sender has received.
    Sightings(Vec<Sighting>),
    /// Pools that have targets in the sender's data centre.
    Serving(BTreeSet<PoolId>),
    /// A request whose idempotency key the receiver issued, or for a pool that has
    /// targets in the receiver's data centre.
    Relay(Relay),
    /// Reply to [`Frame::Relay`].
    #[serde(rename = "Relayed")]
    RelayReply(RelayReply),
    /// Completed claims of a stopping sender.
    Claims(Vec<CompletedClaim>),
    /// Replication status of the sender.
    Status(Status),
    /// Keep-alive, sent when the connection is idle.
    Ping,
}

/// First frame of each end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Identity of the sender.
    pub identity: Identity,
    /// Nonce of the sender for this connection.
    pub nonce: Nonce,
}

/// Asks the leader to propose a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// Id that the reply repeats.
    pub id: RequestId,
    /// Command to append to the replicated log.
    pub command: Command,
}

/// Reply to [`Propose`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposeReply {
    /// Id of the [`Propose`].
    pub id: RequestId,
    /// Result of the proposal.
    pub answer: Answer,
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The command was committed and applied. Submissions have an outcome.
    Applied(Option<Outcome>),
    /// The command was not proposed and will have no effect. The text is the reason.
    NotTaken(String),
    /// The command was proposed, but the leader lost its leadership before the commit. It
    /// may still be applied. The text is the reason.
    Unknown(String),
}

/// Replication status of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Last log index applied.
    pub applied: u64,
    /// Whether the entry holds no cluster state yet.
    pub blank: bool,
    /// Cluster id; 0 when `blank`.
    pub cluster: u64,
    /// Voters of the cluster to bootstrap, from the entry's settings.
    pub founders: Vec<String>,
}

impl Frame {
    /// Encodes the frame as CBOR.
    ///
    /// ```
    /// use wire::Frame;
    /// let bytes = Frame::Ping.encode();
    /// assert_eq!(Frame::decode(&bytes), Ok(Frame::Ping));
    /// assert!(Frame::decode(b"?").is_err());
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("frames serialise to memory");
        bytes
    }

    /// Decodes a frame.
    ///
    /// Fails with [`Error::Unreadable`] if the bytes are not a frame of this version.
    pub fn decode(bytes: &[u8]) -> Result<Frame> {
        ciborium::from_reader(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}
