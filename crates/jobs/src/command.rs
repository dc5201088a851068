//! Commands: what the log carries.

use crate::wave::Phase;
use crate::{
    Config, Decision, Definition, Incarnation, InstanceId, JobId, PoolName, QueueName, RunNumber,
    UnitKey, UnixMs, Wave, WaveId,
};
use serde::{Deserialize, Serialize};

/// A change of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher.
    Configure(Box<Config>),
    /// Takes in a job; one that is known already stays as it is.
    Submit(Submit),
    /// Cancels a job.
    Cancel(Cancel),
    /// Notes what the leader decided and learnt about runs.
    Runs(Batch),
    /// Takes in a maintenance wave.
    StartWave(Wave),
    /// Notes how far a machine's upkeep is.
    #[serde(rename = "Upkeep")]
    Maintenance(MaintenanceChange),
    /// Notes that a machine is about to be ordered to another pool, or that no such
    /// order is open any more.
    Move(MoveChange),
    /// Puts a decision on record that changes nothing else here. Logs written before
    /// moves were commands hold it.
    Note(Decision),
}

/// A job to take in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Queue that it is for.
    pub queue: QueueName,
    /// Name that the client gave.
    pub id: JobId,
    /// The client's description.
    #[serde(rename = "order")]
    pub definition: Definition,
    /// Time of day at the leader.
    pub at: UnixMs,
}

/// A job to cancel.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Queue that it is in.
    pub queue: QueueName,
    /// Name that the client gave.
    pub id: JobId,
    /// Time of day at the leader.
    pub at: UnixMs,
}

/// Decisions about runs, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Batch {
    /// Time of day at the leader.
    pub at: UnixMs,
    /// Ends that workers listed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndList>,
    /// Runs that are over, or never were, without an end that a worker listed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "voided")]
    pub discarded: Vec<Discarded>,
    /// Runs that are about to be started.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<Placed>,
}

impl Batch {
    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.discarded.is_empty() && self.placed.is_empty()
    }
}

/// Ends listed by one life of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndList {
    /// The life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its ends, by rising number.
    pub ends: Vec<End>,
}

/// End of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Number of the end in the worker's life.
    #[serde(rename = "n")]
    pub number: u64,
    /// The unit; none when no job of this ledger has it.
    #[serde(rename = "u")]
    pub unit: Option<UnitKey>,
    /// The run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How it ended.
    #[serde(rename = "h")]
    pub reason: EndReason,
    /// Newest checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The work is done.
    Done,
    /// Its own fault, or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that is over without a listed end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Discarded {
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
}

/// Runs placed on one life of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Units and their runs.
    pub runs: Vec<(UnitKey, RunNumber)>,
}

/// How far a machine's upkeep is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceChange {
    /// The wave.
    pub wave: WaveId,
    /// The machine.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// How far its upkeep is now.
    #[serde(rename = "upkeep")]
    pub phase: Phase,
    /// When the life of its worker began, if the leader knows one.
    #[serde(default)]
    #[serde(rename = "born")]
    pub worker_started_at: Option<UnixMs>,
    /// Time of day at the leader.
    #[serde(default)]
    pub at: UnixMs,
}

/// Move of a machine to another pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveChange {
    /// The machine.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// Pool that it is about to be ordered to; none once no order can come late.
    pub pool: Option<PoolName>,
    /// Why.
    pub reason: String,
    /// Time of day at the leader.
    pub at: UnixMs,
}
