//! Orders to workers and to the cloud, and what came of them.

use crate::Fence;
use jobs::command::EndReason;
use jobs::{Incarnation, InstanceId, PoolName, RunNumber, StepKey, UnitKey, UnixMs, WaveId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Something to tell a worker or the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Asks for the worker's lists and extends its lease.
    Poll(Destination, Poll),
    /// Starts a run.
    Start(Destination, Start),
    /// Stops a run, and bars it if it has not come yet.
    Stop(Destination, Stop),
    /// Sets the share at which a run works.
    Pace(Destination, Pace),
    /// Asks the policy of a queue who may run a step.
    Advise(Advise),
    /// Asks for the machines.
    ListInstances,
    /// Moves a machine to another pool.
    Move(Move),
    /// Begins a machine's upkeep.
    Maintain(Maintenance),
}

/// Where an order goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The life that it is meant for.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

/// Asks for the lists of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// Fence of the leader.
    pub fence: Fence,
    /// Last end that is noted.
    pub acknowledged_through: u64,
    /// End of the lease on the worker's clock.
    pub lease_expires_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub max_wait: Duration,
    /// When the call was decided on, on the leader's clock.
    pub sent_at: Duration,
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The unit.
    pub unit: UnitKey,
    /// Its name at workers.
    pub name: String,
    /// The run.
    pub run: RunNumber,
    /// The client's text.
    pub spec: String,
    /// End of the lease on the worker's clock.
    pub lease_expires_ms: u64,
    /// Fence of the leader.
    pub fence: Fence,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// Permission of the queue's policy.
    pub ticket: Option<String>,
}

/// Stops a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The unit.
    pub unit: UnitKey,
    /// Its name at workers.
    pub name: String,
    /// The run.
    pub run: RunNumber,
    /// Fence of the leader.
    pub fence: Fence,
}

/// Sets the share at which a run works.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// The unit.
    pub unit: UnitKey,
    /// Its name at workers.
    pub name: String,
    /// The run.
    pub run: RunNumber,
    /// Share in percent.
    pub percent: u32,
    /// Fence of the leader.
    pub fence: Fence,
}

/// Asks the policy of a queue who may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Advise {
    /// The step.
    pub step: StepKey,
    /// Its name at the policy.
    pub name: String,
    /// Workers to decide on.
    pub workers: Vec<Incarnation>,
}

/// Moves a machine to another pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The machine.
    pub instance: InstanceId,
    /// The pool that it goes to.
    pub pool: PoolName,
    /// Fence of the leader.
    pub fence: Fence,
}

/// Begins a machine's upkeep.
#[derive(Clone, Debug, PartialEq)]
pub struct Maintenance {
    /// The machine.
    pub instance: InstanceId,
    /// The wave that asks for it.
    pub wave: WaveId,
    /// Fence of the leader.
    pub fence: Fence,
}

/// Lists of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunLists {
    /// Start of the life that answered, if it said so.
    pub started_at: Option<UnixMs>,
    /// The worker's clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// Ends that are not noted.
    pub finished: Vec<Finished>,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Name of the unit.
    pub name: String,
    /// The run.
    pub run: RunNumber,
    /// Newest checkpoint.
    pub checkpoint: String,
    /// Progress in percent; for lasting work 100 once it is at work.
    pub progress_percent: u32,
    /// For work that serves its tail in milliseconds, else the processor time
    /// that it uses, in thousandths of a core.
    pub measurement: u64,
}

/// End of a run as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// Number in the worker's life.
    pub number: u64,
    /// Name of the unit.
    pub name: String,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub reason: EndReason,
    /// Newest checkpoint.
    pub checkpoint: String,
}

/// Why a worker or the cloud did not do what it was told; it has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It has seen a higher fence.
    Fence,
    /// The run is not higher than one that was stopped or ended there.
    Old,
    /// The lease is over already.
    Late,
    /// There is no room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// It is not healthy, or asked too often.
    Busy,
    /// The machine is not in a state for it.
    State,
    /// The machine is not in the wave.
    Wave,
    /// It does not understand the order, or knows no such machine.
    Invalid,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// It was carried out.
    Done(T),
    /// It was not carried out.
    Refused(Refusal),
    /// Another life is at the address.
    Misdirected,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

impl<T> Answer<T> {
    /// Replaces what came of an order that was carried out.
    ///
    /// ```
    /// use sched::order::Answer;
    /// assert_eq!(Answer::Done(1).map(|n| n + 1), Answer::Done(2));
    /// ```
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Answer<U> {
        match self {
            Answer::Done(value) => Answer::Done(f(value)),
            Answer::Refused(refusal) => Answer::Refused(refusal),
            Answer::Misdirected => Answer::Misdirected,
            Answer::Unknown => Answer::Unknown,
        }
    }
}
