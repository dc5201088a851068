//! What entries say to each other.

use crate::call::{CompletedClaim, Relay, RelayReply};
use crate::proof::{Identity, Nonce};
use crate::{Error, Result};
use fleet::{Command, Outcome};
use quorum::Message;
use record::PoolId;
use route::target::Sighting;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Largest frame in bytes; a snapshot has to fit.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Number that matches an answer to its request on one connection.
pub type RequestId = u64;

/// One message between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each end.
    Hello(Hello),
    /// Second frame of each end.
    Proof(Vec<u8>),
    /// Agreement.
    Quorum(Message),
    /// Asks the leader to propose a command.
    Propose(Propose),
    /// Answers [`Frame::Propose`].
    #[serde(rename = "Proposed")]
    ProposeReply(ProposeReply),
    /// Targets that the sender heard of.
    Sightings(Vec<Sighting>),
    /// Pools that have targets in the sender's data centre.
    Serving(BTreeSet<PoolId>),
    /// A request under a key that the receiver minted, or for a pool that has
    /// targets where the receiver is.
    Relay(Relay),
    /// Answers [`Frame::Relay`].
    #[serde(rename = "Relayed")]
    RelayReply(RelayReply),
    /// Settled claims of a sender that stops.
    Claims(Vec<CompletedClaim>),
    /// What the sender has in force.
    Status(Status),
    /// Shows that the connection is alive when nothing else is sent.
    Ping,
}

/// First frame of each end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Who the sender is.
    pub identity: Identity,
    /// Fresh random bytes.
    pub nonce: Nonce,
}

/// Asks the leader to propose a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Propose {
    /// Matches the answer.
    pub id: RequestId,
    /// The command.
    pub command: Command,
}

/// Answers [`Propose`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposeReply {
    /// Id of the request.
    pub id: RequestId,
    /// What became of it.
    pub answer: Answer,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Committed and applied; submissions have an outcome.
    Applied(Option<Outcome>),
    /// Not taken: nothing was changed and nothing will be.
    NotTaken(String),
    /// Taken, but the leader lost its lead before it committed.
    Unknown(String),
}

/// What an entry has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Last log index applied.
    pub applied: u64,
    /// Whether the entry holds no state of any cluster.
    pub blank: bool,
    /// Cluster number; 0 when blank.
    pub cluster: u64,
    /// Voters of a cluster to found, by the entry's settings.
    pub founders: Vec<String>,
}

impl Frame {
    /// Encodes the frame.
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
    pub fn decode(bytes: &[u8]) -> Result<Frame> {
        ciborium::from_reader(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}
