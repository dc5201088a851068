//! Commands: the changes of the ledger that the log carries.

use crate::config::Place;
use crate::wave::Phase;
use crate::{
    AccountName, Config, Decision, Definition, Incarnation, InstanceId, JobId, PoolName, QueueName,
    RunNumber, UnitKey, UnixMs, Wave, WaveId, WorkerId,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A change of the ledger, stored as a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher.
    Configure(Box<Config>),
    /// Accepts a job; a job that is already known does not change.
    Submit(Submit),
    /// Cancels a job, also one that is submitted later.
    Cancel(Cancel),
    /// Records ends, discarded runs and placements.
    Runs(Batch),
    /// Accepts a maintenance wave; a wave that is already known does not change.
    StartWave(Wave),
    /// Records the maintenance phase of an instance.
    #[serde(rename = "Upkeep")]
    Maintenance(MaintenanceChange),
    /// Records that an order to move an instance is about to be sent, or that no earlier
    /// order can be carried out any more; the move itself may still be under way.
    Move(MoveChange),
    /// Adds a decision to the journal and changes nothing else. No longer proposed, but
    /// kept for logs from before [`Command::Move`] existed.
    Note(Decision),
}

/// A job to accept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Name of the queue that the job goes to, when the command was proposed.
    pub queue: QueueName,
    /// Place that the client sent the job to. It decides on the queue if a version that renames
    /// queues is applied first. `None` in commands from before the field existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Name of the job, given by the client.
    pub id: JobId,
    /// The client's description of the job.
    #[serde(rename = "order")]
    pub definition: Definition,
    /// Account that submits the job; `None` for a public queue or without accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<AccountName>,
    /// Wall clock time of the leader that proposed the command.
    pub at: UnixMs,
}

/// A job to cancel. The job may be unknown: its submission may come later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Name of the job's queue at acceptance; of an unknown job, when the command was proposed.
    pub queue: QueueName,
    /// Place of the job; of an unknown job, the one that the client sent the request to. `None` in
    /// commands from before the field existed, which have no effect on later submissions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Name of the job, given by the client.
    pub id: JobId,
    /// Account that cancels the job; `None` for a public queue or without accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<AccountName>,
    /// Wall clock time of the leader that proposed the command.
    pub at: UnixMs,
}

/// Changes of runs, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Batch {
    /// Wall clock time of the leader that proposed the command.
    pub at: UnixMs,
    /// Ends of runs that workers listed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndList>,
    /// Workers that crashed with runs. Processes from before the field existed ignore it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<CrashList>,
    /// Runs that are on no worker any more, or never started, and whose end no worker
    /// listed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "voided")]
    pub discarded: Vec<Discarded>,
    /// Released runs of which a start may still be carried out. Processes from before the field
    /// existed ignore it, like the next one.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub late: Vec<LateRun>,
    /// Placed or late runs of which no start can be carried out any more.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<RunKey>,
    /// Runs that the leader is about to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<Placed>,
    /// Restarts of workers under their ids. Processes from before the field existed ignore it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<Restart>,
}

impl Batch {
    /// Returns whether the batch has no changes.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty()
            && self.crashed.is_empty()
            && self.discarded.is_empty()
            && self.late.is_empty()
            && self.settled.is_empty()
            && self.placed.is_empty()
            && self.restarted.is_empty()
    }
}

/// Ends of runs listed by one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndList {
    /// Incarnation that listed the ends.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The ends, in ascending order of their numbers.
    pub ends: Vec<End>,
}

/// Runs that may have crashed a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashList {
    /// Incarnation that crashed.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Instance of the worker.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// The runs that it had, without those that are known not to be the cause.
    pub runs: Vec<CrashedRun>,
}

/// A run that was on a worker when it crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Key of the unit.
    #[serde(rename = "u")]
    pub unit: UnitKey,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How long the run is known to have gone on.
    #[serde(rename = "ran")]
    pub survived: Duration,
    /// Whether the run had begun, no other step had recent runs on the worker, and it fell silent
    /// right after the start.
    #[serde(rename = "alone", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_alone: bool,
}

/// End of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number of the end within the incarnation.
    #[serde(rename = "n")]
    pub number: u64,
    /// Key of the unit; `None` if no job of this ledger has it.
    #[serde(rename = "u")]
    pub unit: Option<UnitKey>,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How the run ended.
    #[serde(rename = "h")]
    pub reason: EndReason,
    /// Newest checkpoint; empty for none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The unit is done.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The leader stopped the run.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// A run that is on no worker any more, or never started, and whose end no worker listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Discarded {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
}

/// A run of a unit.
pub type RunKey = (UnitKey, RunNumber);

/// A released run of which a start may still be carried out by an incarnation of its worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LateRun {
    /// Key of the unit.
    #[serde(rename = "u")]
    pub unit: UnitKey,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Incarnation of its worker when it was released.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether the unit must not be placed again meanwhile. Otherwise that incarnation refuses the
    /// start, and only a later one may carry it out.
    #[serde(rename = "holds", default, skip_serializing_if = "std::ops::Not::not")]
    pub holds_unit: bool,
    /// Whether no other incarnation can have carried the start out by then and that one refuses it, so
    /// that the unit may be placed there again. Processes from before the field existed ignore it.
    #[serde(rename = "returns", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_return: bool,
    /// Instance of the worker; `None` if the leader doesn't know it.
    #[serde(rename = "machine", default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// When the release was proposed, on the leader's wall clock.
    #[serde(rename = "t", default)]
    pub at: UnixMs,
}

/// Runs placed on one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// Incarnation that the runs are placed on.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Instance of the worker; `None` if the leader doesn't know it. Processes from before the field
    /// existed ignore it.
    #[serde(rename = "machine", default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Key of the unit and number of the run for each placement.
    pub runs: Vec<(UnitKey, RunNumber)>,
}

/// Restart of a worker under its id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restart {
    /// The new incarnation, by the start time that the ledger uses for it, which is later than those
    /// of its predecessors.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Start time that it states. It may be earlier, since wall clocks are set back.
    #[serde(rename = "stated")]
    pub stated_start: UnixMs,
}

/// Change of the maintenance phase of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceChange {
    /// Wave that the maintenance belongs to.
    pub wave: WaveId,
    /// Instance that the change concerns.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// New phase.
    #[serde(rename = "upkeep")]
    pub phase: Phase,
    /// Start of the incarnation of its worker; `None` if the leader knows none.
    #[serde(default)]
    #[serde(rename = "born")]
    pub worker_started_at: Option<UnixMs>,
    /// Its worker; `None` if the leader knows none. Processes from before the field existed ignore
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Wall clock time of the leader that proposed the command.
    #[serde(default)]
    pub at: UnixMs,
}

/// Change of the orders to move an instance: one is about to be sent, or no earlier one can
/// be carried out any more. The move itself may still be under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveChange {
    /// Instance that the change concerns.
    #[serde(rename = "machine")]
    pub instance: InstanceId,
    /// Pool that the instance is about to be ordered to; `None` once no earlier order can
    /// be carried out any more.
    pub pool: Option<PoolName>,
    /// Why the leader decided so, for the journal.
    pub reason: String,
    /// Wall clock time of the leader that proposed the command.
    pub at: UnixMs,
}
