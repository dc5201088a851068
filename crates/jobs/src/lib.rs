//! Queues, jobs and their units of work, as replicated state without I/O.
//!
//! A [`Ledger`] applies [`Command`]s in the order of the log and returns [`Event`]s. It
//! holds all state that must outlive a leader: the configuration, accepted jobs,
//! cancellations, the worker that each run was placed on, acknowledged ends of runs,
//! maintenance waves and moves of instances.

pub mod account;
pub mod command;
pub mod config;
pub mod crash;
pub mod definition;
pub mod job;
pub mod journal;
pub mod ledger;
pub mod tombstone;
pub mod wave;

pub use account::{Account, Accounts};
pub use command::{Batch, Command};
pub use config::{Config, Limits, Pool, Queue};
pub use definition::{Definition, Schedule, Step};
pub use job::{Job, Placement, State, Unit};
pub use journal::{Decision, Journal};
pub use ledger::{Event, Ledger, Outcome};
pub use wave::Wave;

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Name of a client account.
pub type AccountName = String;
/// Name of a queue.
pub type QueueName = String;
/// Name of a pool of workers.
pub type PoolName = String;
/// Name of a job, given by its client.
pub type JobId = String;
/// Number of a job in the ledger, from 1 in the order of acceptance.
pub type JobNumber = u64;
/// Name of a worker; all its incarnations share it.
pub type WorkerId = String;
/// Name of an instance, a machine on which a worker runs.
pub type InstanceId = String;
/// Number of a maintenance wave, given by the operator.
pub type WaveId = u64;
/// Number of a run of a unit, from 1; later runs have higher numbers.
pub type RunNumber = u64;
/// Wall clock time in milliseconds since 1970-01-01 UTC.
pub type UnixMs = u64;

/// One incarnation of a worker, which lasts from one start of its process to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub worker: WorkerId,
    /// When this incarnation started, as the worker reports it.
    #[serde(rename = "born")]
    pub started_at: UnixMs,
}

impl Incarnation {
    /// Creates the identity of an incarnation.
    ///
    /// ```
    /// assert!(jobs::Incarnation::new("w1", 5) < jobs::Incarnation::new("w1", 6));
    /// ```
    pub fn new(worker: impl Into<WorkerId>, started_at: UnixMs) -> Incarnation {
        Incarnation { worker: worker.into(), started_at }
    }
}

/// Key of one unit of work of one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnitKey {
    /// Number of the job.
    pub job: JobNumber,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
    /// Unit of the step, from 0.
    pub index: u32,
}

impl UnitKey {
    /// Returns the key of the step that the unit belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// Key of one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepKey {
    /// Number of the job.
    pub job: JobNumber,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
}

impl StepKey {
    /// Returns the range of keys of all runs of the step's units.
    pub fn range(&self) -> RangeInclusive<(UnitKey, RunNumber)> {
        (self.unit(0), 0)..=(self.unit(u32::MAX), RunNumber::MAX)
    }

    /// Returns the key of a unit of the step.
    pub fn unit(&self, index: u32) -> UnitKey {
        UnitKey { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}
