//! Announcements, with which targets report their state to the entries.

use record::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The target takes new work.
    Serving,
    /// The target finishes its running requests and takes no new ones.
    Leaving,
}

/// One announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Instance that the target runs on.
    pub instance: InstanceId,
    /// Incarnation of the target process, higher after each restart.
    pub incarnation: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Whether the target takes new work.
    pub state: State,
    /// Requests that the target runs now.
    pub in_flight: u32,
}

impl Announcement {
    /// Returns whether this announcement was made after `other`, of the same instance.
    pub fn is_newer(&self, other: &Announcement) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// An announcement that one entry forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Announcement of the target.
    pub announcement: Announcement,
    /// Time since the target sent it.
    pub age: Duration,
}

/// Reply to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Time until the target should announce itself again, in milliseconds.
    pub next_ms: u64,
    /// Pool that the records assign to the instance; `None` if it has no pool or is in
    /// another data centre.
    pub pool: Option<String>,
}
