//! Queues, jobs and their units of work, as replicated state without I/O.
//!
//! A [`Ledger`] takes [`Command`]s in the order of the log and answers with
//! [`Event`]s. Whatever must survive a leader is here: the configuration, accepted
//! jobs, cancellations, which run of a unit was placed on which worker, and the
//! ends of runs that were noted.

pub mod command;
pub mod config;
pub mod definition;
pub mod job;
pub mod journal;
pub mod ledger;
pub mod wave;

pub use command::{Batch, Command};
pub use config::{Config, Limits, Pool, Queue};
pub use definition::{Definition, Step};
pub use job::{Job, State, Unit};
pub use journal::{Decision, Journal};
pub use ledger::{Event, Ledger, Outcome};
pub use wave::Wave;

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Name of a queue.
pub type QueueName = String;
/// Name of a pool of workers.
pub type PoolName = String;
/// Name that a client gave to its job.
pub type JobId = String;
/// Number of a job in the ledger.
pub type JobNumber = u64;
/// Name of a worker; a later life may bear it again.
pub type WorkerId = String;
/// Name of the machine that a worker lives on.
pub type InstanceId = String;
/// Number of a maintenance wave.
pub type WaveId = u64;
/// Number of a start of a unit; later starts have higher numbers.
pub type RunNumber = u64;
/// Milliseconds since 1970.
pub type UnixMs = u64;

/// One life of one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub worker: WorkerId,
    /// When this life began.
    #[serde(rename = "born")]
    pub started_at: UnixMs,
}

impl Incarnation {
    /// Builds the identity of a life.
    ///
    /// ```
    /// assert!(jobs::Incarnation::new("w1", 5) < jobs::Incarnation::new("w1", 6));
    /// ```
    pub fn new(worker: impl Into<WorkerId>, started_at: UnixMs) -> Incarnation {
        Incarnation { worker: worker.into(), started_at }
    }
}

/// One unit of work of one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnitKey {
    /// The job.
    pub job: JobNumber,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
    /// Unit of the step, from 0.
    pub index: u32,
}

impl UnitKey {
    /// The step that the unit belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobNumber,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
}

impl StepKey {
    /// Keys of all runs of the step's units.
    pub fn range(&self) -> RangeInclusive<(UnitKey, RunNumber)> {
        (self.unit(0), 0)..=(self.unit(u32::MAX), RunNumber::MAX)
    }

    /// A unit of the step.
    pub fn unit(&self, index: u32) -> UnitKey {
        UnitKey { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}
