//! What targets say of themselves.

use record::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// One announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Instance that the target runs on.
    pub instance: InstanceId,
    /// Life of the target process, higher after each restart.
    pub incarnation: u64,
    /// Counts the announcements of this life.
    pub sequence: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs now.
    pub in_flight: u32,
}

impl Announcement {
    /// Whether this announcement was made after another of the same instance.
    pub fn is_newer(&self, other: &Announcement) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// An announcement as one entry passes it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// What the target said.
    pub announcement: Announcement,
    /// How long ago it was heard.
    pub age: Duration,
}

/// Answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// When the target should announce itself next, in milliseconds.
    pub next_ms: u64,
    /// Pool that the instance serves, if the records put it into one here.
    pub pool: Option<String>,
}
