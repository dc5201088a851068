//! What clients and operators ask of the leader, and what it replies.

use jobs::{Config, Definition, InstanceId, State, WaveId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A request for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Hands a job in.
    Submit {
        /// Where the client sent it.
        #[serde(rename = "place")]
        location: Location,
        /// The job.
        #[serde(rename = "order")]
        definition: Box<Definition>,
    },
    /// Cancels a job.
    Cancel(Location),
    /// Asks for a job's state, or for the pending jobs of a queue.
    State(Location),
    /// Puts a configuration in force.
    Configure(Box<Config>),
    /// Asks for the configuration in force.
    Config,
    /// Takes in a maintenance wave.
    StartWave {
        /// Its number.
        id: WaveId,
        /// Its machines.
        #[serde(rename = "machines")]
        instances: BTreeSet<InstanceId>,
        /// Time in which all should have had their upkeep.
        duration: Duration,
        /// Most machines that may be down for it at one time.
        #[serde(rename = "cap")]
        max_unavailable: u32,
    },
    /// Asks how far a wave is.
    Wave(WaveId),
}

/// Host and path of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Host that the client named.
    pub host: String,
    /// Path of the request.
    pub path: String,
}

/// What the leader replies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It is in force and will stay so.
    Done,
    /// State of a job.
    State(State),
    /// Pending jobs of a queue.
    Pending(u64),
    /// The configuration as the operator sent it.
    Config(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Whether a wave is completed.
    Wave {
        /// Every machine that stays has had its upkeep.
        completed: bool,
    },
    /// No queue has this place.
    NoQueue,
    /// No such job or wave exists.
    Missing,
    /// It is not valid.
    Invalid(String),
    /// It has not been taken, and won't be.
    NotTaken(String),
    /// It may or may not have been taken.
    Unknown(String),
}

impl LeaderRequest {
    /// Whether it changes something.
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
