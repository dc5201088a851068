//! Frames that core and edge processes send each other, encoded as CBOR.

use crate::{LeaderRequest, Reply};
use jobs::WorkerId;
use quorum::{Id, Term};
use rand::Rng;
use sched::{Order, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Result of decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a frame; a snapshot of the ledger is sent as one frame.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The bytes cannot be decoded as a frame of this version.
#[derive(Debug, thiserror::Error)]
#[error("cannot read the frame: {0}")]
pub struct Error(String);

/// Identifies a forwarded request; unique among all processes of a name, so that a reply finds its
/// request and no other. See [`draw_first_id`].
pub type RequestId = u64;

/// Identifies an order that another process sends out; unique like a [`RequestId`].
pub type OrderId = u64;

/// Draws the id of the first request or order of a process, which counts on from there. Replies are
/// addressed by name: one to a process that was killed reaches its successor, which must not take it
/// for its own. At least half of all numbers lie above it.
///
/// ```
/// let first = mesh::frame::draw_first_id(&mut rand::rng());
/// assert!(first <= u64::MAX / 2);
/// ```
pub fn draw_first_id(rng: &mut impl Rng) -> u64 {
    rng.random::<u64>() >> 1
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Identifies the sender. Each side sends it as its first frame.
    Hello(ProcessInfo),
    /// Keeps an idle link alive.
    Ping,
    /// A message of the consensus protocol.
    Quorum(quorum::Message),
    /// The term, leader and state of the sending core process.
    #[serde(rename = "Standing")]
    Status(Status),
    /// A request for the leader; a follower forwards it.
    #[serde(rename = "Ask")]
    Request(RequestId, LeaderRequest),
    /// The reply to the request of the same id.
    Reply(RequestId, Reply),
    /// Worker reports that the sender received.
    Reports(Vec<Report>),
    /// A worker announced the end of its present incarnation.
    Left(WorkerId),
    /// Orders to workers that the receiver sends for the leader.
    Orders(Vec<(OrderId, Order)>),
    /// The workers' replies to orders that the receiver had sent out.
    OrderReplies(Vec<(OrderId, sched::order::Reply)>),
}

/// Identity and addresses of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessInfo {
    /// Name of the process, unique in the cluster.
    pub name: String,
    /// Incarnation of its data folder, or of this start if it has no data folder.
    pub incarnation: u64,
    /// Whether it stores the log on disk.
    pub durable: bool,
    /// Address for links of other processes.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Address for workers and operators; `None` on an edge process.
    #[serde(rename = "control")]
    pub control_address: Option<SocketAddr>,
    /// Data centre of the process; `None` if it is not known.
    #[serde(default)]
    pub data_centre: Option<String>,
    /// Whether it sends orders to workers for the leader. False for processes of versions
    /// that can't.
    #[serde(default)]
    pub relays_orders: bool,
}

impl ProcessInfo {
    /// Returns the identity of the process in the consensus group.
    pub fn id(&self) -> Id {
        Id::new(self.name.clone(), self.incarnation)
    }
}

/// What a core process tells the others of its term, leader and state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Current term.
    pub term: Term,
    /// The leader of the term, possibly itself; `None` while it knows of none.
    pub leader: Option<Id>,
    /// Whether it is the leader and may act on requests.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether its log is empty, so that it holds no state of any cluster.
    #[serde(rename = "blank")]
    pub uninitialized: bool,
    /// Whether it is about to end, so that it takes no more orders to send.
    #[serde(default)]
    pub stopping: bool,
    /// Whether it has applied a configuration of queues and pools.
    pub configured: bool,
    /// Peer addresses of the sender and of the core processes linked to it.
    #[serde(rename = "cores")]
    pub core_addresses: BTreeSet<SocketAddr>,
}

impl Frame {
    /// Encodes the frame as CBOR.
    ///
    /// ```
    /// use mesh::Frame;
    /// assert_eq!(Frame::decode(&Frame::Ping.encode()).unwrap(), Frame::Ping);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).expect("a frame can be serialized");
        bytes
    }

    /// Decodes a frame from CBOR.
    pub fn decode(bytes: &[u8]) -> Result<Frame> {
        ciborium::from_reader(bytes).map_err(|error| Error(error.to_string()))
    }
}
