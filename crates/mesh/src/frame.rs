//! Frames between processes.

use crate::{LeaderRequest, Reply};
use jobs::WorkerId;
use quorum::{Id, Term};
use sched::Report;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Result of reading a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest frame; a snapshot of the ledger has to fit.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The bytes are no frame of this version.
#[derive(Debug, thiserror::Error)]
#[error("cannot read the frame: {0}")]
pub struct Error(String);

/// Number of a request on its way to the leader.
pub type RequestId = u64;

/// What one process says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each side.
    Hello(ProcessInfo),
    /// Shows that the sender lives.
    Ping,
    /// A message of the agreement.
    Quorum(quorum::Message),
    /// Where the sender stands.
    #[serde(rename = "Standing")]
    Status(Status),
    /// A request for the leader.
    #[serde(rename = "Ask")]
    Request(RequestId, LeaderRequest),
    /// The reply to a request.
    Reply(RequestId, Reply),
    /// Reports of workers that reached the sender.
    Reports(Vec<Report>),
    /// A worker said that its present life ends.
    Left(WorkerId),
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessInfo {
    /// Its name.
    pub name: String,
    /// Number of its data folder, or of this start where it has none.
    pub incarnation: u64,
    /// Whether it keeps the log on a disk.
    pub durable: bool,
    /// Where it takes connections of other processes.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Where it takes workers and operators; none on an edge.
    #[serde(rename = "control")]
    pub control_address: Option<SocketAddr>,
}

impl ProcessInfo {
    /// Identity in the agreement.
    pub fn id(&self) -> Id {
        Id::new(self.name.clone(), self.incarnation)
    }
}

/// Where a core process stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Present term.
    pub term: Term,
    /// The leader that it follows, or itself.
    pub leader: Option<Id>,
    /// Whether it leads and may act.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether it knows nothing of any cluster.
    #[serde(rename = "blank")]
    pub uninitialized: bool,
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Addresses of core processes for other processes.
    #[serde(rename = "cores")]
    pub core_addresses: BTreeSet<SocketAddr>,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// ```
    /// use mesh::Frame;
    /// assert_eq!(Frame::decode(&Frame::Ping.encode()).unwrap(), Frame::Ping);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).expect("values serialise to memory");
        bytes
    }

    /// Decodes a frame.
    pub fn decode(bytes: &[u8]) -> Result<Frame> {
        ciborium::from_reader(bytes).map_err(|error| Error(error.to_string()))
    }
}
