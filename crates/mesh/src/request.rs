//! Requests of clients and operators to the leader, and its replies.

use jobs::account::Key;
use jobs::{Config, Definition, InstanceId, State, WaveId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A request for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Submits a job. Submitting the same job again changes nothing.
    Submit {
        /// Host and path of the request; they determine the queue and the job.
        #[serde(rename = "place")]
        location: Location,
        /// The job as the client described it.
        #[serde(rename = "order")]
        definition: Box<Definition>,
    },
    /// Cancels a job.
    Cancel(Location),
    /// Reads the state of a job, or the number of pending jobs of a queue.
    State(Location),
    /// Replaces the configuration of queues and pools.
    Configure(Box<Config>),
    /// Reads the current configuration.
    Config,
    /// Starts a maintenance wave.
    StartWave {
        /// Id of the wave, chosen by the operator.
        id: WaveId,
        /// Instances that need maintenance.
        #[serde(rename = "machines")]
        instances: BTreeSet<InstanceId>,
        /// Time within which the maintenance of all instances should be done.
        duration: Duration,
        /// Maximum number of instances that may be down at the same time.
        #[serde(rename = "cap")]
        max_unavailable: u32,
    },
    /// Reads whether a wave is completed.
    Wave(WaveId),
}

/// Host, path and key of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Host header of the request; empty if it had none.
    pub host: String,
    /// Path of the request URL.
    pub path: String,
    /// Key of the client's account; `None` if the request had none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Key>,
}

/// Reply of the leader to a [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is committed, or was made earlier by the same request.
    Done,
    /// The state of the job.
    State(State),
    /// The number of pending jobs of the queue.
    Pending(u64),
    /// The configuration document, byte for byte as the operator sent it.
    Config(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The state of the wave.
    Wave {
        /// Whether every instance that is still there has had its maintenance.
        completed: bool,
    },
    /// No queue is configured for this host and path.
    NoQueue,
    /// The job or wave does not exist.
    Missing,
    /// The request is invalid, for this reason.
    Invalid(String),
    /// The request has no key of an account, or an unknown one, for this reason. Edges from before
    /// accounts existed can't read it; they have to be replaced before accounts are configured.
    Unauthorized(String),
    /// The request was not carried out and will not be, for this reason. The sender
    /// may send it again.
    NotTaken(String),
    /// The job was not accepted, since it can't be done in time. Like [`Reply::NotTaken`], with the
    /// time after which the sender may return.
    Overloaded {
        /// Why it can't be done.
        reason: String,
        /// When the sender may return.
        retry_after: Duration,
    },
    /// It is unknown whether the request was or will be carried out, for this reason.
    Unknown(String),
}

impl LeaderRequest {
    /// Returns the host, path and key of a client's request; `None` for an operator's.
    pub fn location(&self) -> Option<&Location> {
        match self {
            LeaderRequest::Submit { location, .. }
            | LeaderRequest::Cancel(location)
            | LeaderRequest::State(location) => Some(location),
            LeaderRequest::Configure(_)
            | LeaderRequest::Config
            | LeaderRequest::StartWave { .. }
            | LeaderRequest::Wave(_) => None,
        }
    }

    /// Returns whether the request changes the replicated state.
    pub fn is_write(&self) -> bool {
        match self {
            LeaderRequest::Submit { .. }
            | LeaderRequest::Cancel(_)
            | LeaderRequest::Configure(_)
            | LeaderRequest::StartWave { .. } => true,
            LeaderRequest::State(_) | LeaderRequest::Config | LeaderRequest::Wave(_) => false,
        }
    }
}
