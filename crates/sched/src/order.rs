//! Orders to workers, to a queue's policy and to the cloud, and their answers.
//!
//! Orders to workers and changes in the cloud carry the leader's fence, so that those of
//! a replaced leader are refused.

use crate::Fence;
use crate::late::SEND_WINDOW;
use crate::scheduler::{PaceReply, PollReply, StartReply, StopReply};
use jobs::command::EndReason;
use jobs::{Incarnation, InstanceId, PoolName, RunNumber, StepKey, UnitKey, UnixMs, WaveId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A call that the leader wants sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Reads a worker's run lists and may extend its lease.
    Poll(Destination, Poll),
    /// Starts a run.
    Start(Destination, Start),
    /// Stops a run, or keeps it from starting if its start has not arrived yet.
    Stop(Destination, Stop),
    /// Sets the processor share of a run.
    Pace(Destination, Pace),
    /// Asks a queue's policy which workers may run a step.
    Advise(Advise),
    /// Lists the cloud's instances.
    ListInstances(ListInstances),
    /// Moves an instance to another pool.
    Move(Move),
    /// Starts the maintenance of an instance.
    Maintain(Maintenance),
}

impl Order {
    /// Returns the worker that the order is for; `None` for an order to the cloud or to the
    /// policy service.
    pub fn destination(&self) -> Option<&Destination> {
        match self {
            Order::Poll(to, _) | Order::Start(to, _) | Order::Stop(to, _) | Order::Pace(to, _) => {
                Some(to)
            }
            Order::Advise(_) | Order::ListInstances(_) | Order::Move(_) | Order::Maintain(_) => {
                None
            }
        }
    }

    /// Returns how long the worker may wait before it answers; zero but for polls.
    pub fn max_wait(&self) -> Duration {
        match self {
            Order::Poll(_, poll) => poll.max_wait,
            _ => Duration::ZERO,
        }
    }

    /// Returns until when the order may leave, on the clock of the process that sends it; `None`
    /// for orders that are harmless late.
    pub fn leave_by(&self) -> Option<Duration> {
        match self {
            Order::Poll(_, Poll { leave_by, .. })
            | Order::Start(_, Start { leave_by, .. })
            | Order::Move(Move { leave_by, .. })
            | Order::Maintain(Maintenance { leave_by, .. }) => Some(*leave_by),
            Order::Stop(..) | Order::Pace(..) | Order::Advise(_) | Order::ListInstances(_) => None,
        }
    }

    fn leave_by_mut(&mut self) -> Option<&mut Duration> {
        match self {
            Order::Poll(_, Poll { leave_by, .. })
            | Order::Start(_, Start { leave_by, .. })
            | Order::Move(Move { leave_by, .. })
            | Order::Maintain(Maintenance { leave_by, .. }) => Some(leave_by),
            Order::Stop(..) | Order::Pace(..) | Order::Advise(_) | Order::ListInstances(_) => None,
        }
    }

    /// States the time that is left at `now`, for a frame: the clocks of two processes have nothing
    /// in common.
    pub fn state_time_left(&mut self, now: Duration) {
        if let Some(leave_by) = self.leave_by_mut() {
            *leave_by = leave_by.saturating_sub(now);
        }
    }

    /// Counts the time that is left from `now`, when the frame was read.
    pub fn count_time_left(&mut self, now: Duration) {
        if let Some(leave_by) = self.leave_by_mut() {
            *leave_by = now + (*leave_by).min(SEND_WINDOW);
        }
    }

    /// Returns the reply of a worker with an answer that carries no run lists. `None` for
    /// orders to others.
    pub fn reply_with(&self, answer: Answer<()>) -> Option<Reply> {
        let incarnation = self.destination()?.incarnation.clone();
        match self {
            Order::Poll(_, poll) => {
                let answer = answer.map(|()| RunLists::default());
                Some(Reply::Poll(PollReply { incarnation, sent_at: poll.sent_at, answer }))
            }
            Order::Start(_, Start { unit, run, .. }) => {
                let outcome = StartOutcome::from(answer);
                Some(Reply::Start(StartReply::new(incarnation, *unit, *run, outcome)))
            }
            Order::Stop(_, Stop { unit, run, .. }) => {
                Some(Reply::Stop(StopReply { incarnation, unit: *unit, run: *run, answer }))
            }
            Order::Pace(_, Pace { unit, run, percent, .. }) => {
                let (unit, run, percent) = (*unit, *run, *percent);
                Some(Reply::Pace(PaceReply { incarnation, unit, run, percent, answer }))
            }
            Order::Advise(_) | Order::ListInstances(_) | Order::Move(_) | Order::Maintain(_) => {
                None
            }
        }
    }
}

/// Time that an order has left which a leader of an earlier version sends in a frame.
fn unstated_time_left() -> Duration {
    SEND_WINDOW / 2
}

/// Reply to an order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The worker answered a poll, or the call failed.
    Poll(PollReply),
    /// The worker answered a start, or the call failed.
    Start(StartReply),
    /// The worker answered a stop, or the call failed.
    Stop(StopReply),
    /// The worker answered a change of a run's share, or the call failed.
    Pace(PaceReply),
}

/// Worker that an order is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// Incarnation that the order is for; another one at the address does not carry it out.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
}

/// Reads the run lists of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Fence of the leader that sends the order.
    pub fence: Fence,
    /// Number of the last end that is in the log; the worker may forget the ends up to it.
    pub acknowledged_through: u64,
    /// End of the lease on the worker's clock in milliseconds; `None` leaves it as it is.
    pub lease_end_ms: Option<u64>,
    /// How long the worker may wait for a run to end before it answers.
    pub max_wait: Duration,
    /// When the leader decided to poll, on its monotonic clock.
    pub sent_at: Duration,
    /// Until when the order may leave, on the clock of the process that sends it; in a frame to
    /// another process, the time that is left.
    #[serde(default = "unstated_time_left", rename = "time_left")]
    pub leave_by: Duration,
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Name of the unit at workers.
    pub name: String,
    /// Number of the run to start.
    pub run: RunNumber,
    /// Opaque text from the client's definition.
    pub spec: String,
    /// End of the lease on the worker's clock in milliseconds.
    pub lease_end_ms: u64,
    /// Fence of the leader that sends the order.
    pub fence: Fence,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket from the queue's policy; `None` if the queue has no policy.
    pub ticket: Option<String>,
    /// Until when the order may leave, on the clock of the process that sends it; in a frame to
    /// another process, the time that is left.
    #[serde(default = "unstated_time_left", rename = "time_left")]
    pub leave_by: Duration,
}

/// Stops a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Name of the unit at workers.
    pub name: String,
    /// Number of the run to stop.
    pub run: RunNumber,
    /// Fence of the leader that sends the order.
    pub fence: Fence,
}

/// Sets the processor share of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Key of the unit.
    pub unit: UnitKey,
    /// Name of the unit at workers.
    pub name: String,
    /// Number of the run.
    pub run: RunNumber,
    /// Processor share in percent, from 0 to 100.
    pub percent: u32,
    /// Fence of the leader that sends the order.
    pub fence: Fence,
}

/// Asks a queue's policy which workers may run a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advise {
    /// Key of the step.
    pub step: StepKey,
    /// Name of the step at the policy.
    pub name: String,
    /// Workers that the policy decides about.
    pub workers: Vec<Incarnation>,
    /// How long to wait for the answer; it covers the earlier calls that the policy still handles.
    pub timeout: Duration,
}

/// Lists the cloud's instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListInstances {
    /// When the leader decided to ask, on its monotonic clock. The list shows the instances as they
    /// were at some time since.
    pub asked_at: Duration,
}

/// Moves an instance to another pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Instance to move.
    pub instance: InstanceId,
    /// Pool that it moves to.
    pub pool: PoolName,
    /// Fence of the leader that sends the order.
    pub fence: Fence,
    /// When the leader decided to send the order, on its monotonic clock.
    pub sent_at: Duration,
    /// Until when the order may leave, on the clock of the process that sends it; in a frame to
    /// another process, the time that is left.
    #[serde(default = "unstated_time_left", rename = "time_left")]
    pub leave_by: Duration,
}

/// Starts the maintenance of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    /// Instance to maintain.
    pub instance: InstanceId,
    /// Wave that the maintenance belongs to.
    pub wave: WaveId,
    /// Fence of the leader that sends the order.
    pub fence: Fence,
    /// When the leader decided to send the order, on its monotonic clock.
    pub sent_at: Duration,
    /// Until when the order may leave, on the clock of the process that sends it; in a frame to
    /// another process, the time that is left.
    #[serde(default = "unstated_time_left", rename = "time_left")]
    pub leave_by: Duration,
}

/// Run lists of a worker: its answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunLists {
    /// Start of the incarnation that answered; `None` if the answer doesn't name it.
    pub started_at: Option<UnixMs>,
    /// The poll was sent a second time, since the first connection closed without an answer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_repeated: bool,
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs that are in progress.
    pub running: Vec<RunStatus>,
    /// Runs that ended and are not yet acknowledged, the first ones first.
    pub finished: Vec<Finished>,
    /// Further runs may have ended: a worker lists only some ends at a time. A run that is in
    /// neither list is then not known to be gone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_more_ends: bool,
}

/// Status of a run on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Name of the unit at workers.
    #[serde(rename = "n")]
    pub name: String,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Newest checkpoint; empty for none.
    #[serde(rename = "c")]
    pub checkpoint: String,
    /// Progress in percent; 100 for long-running work once it has started up.
    #[serde(rename = "p")]
    pub progress_percent: u32,
    /// Tail latency in milliseconds for runs that serve requests, else processor use
    /// in thousandths of a core.
    #[serde(rename = "m")]
    pub measurement: u64,
}

/// End of a run as a worker lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// Sequence number of the end within the incarnation, from 1.
    pub number: u64,
    /// Name of the unit at workers.
    pub name: String,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub reason: EndReason,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Why a worker or the cloud refused an order; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The receiver has seen a higher fence.
    Fence,
    /// The run number is not higher than that of a run of the unit that was stopped or
    /// has ended there.
    Old,
    /// The lease has already expired.
    Late,
    /// The worker lacks free resources.
    Room,
    /// The ticket is missing or not valid.
    Ticket,
    /// The receiver is unhealthy or gets too many requests.
    Busy,
    /// The state of the instance does not allow the order.
    State,
    /// The instance does not belong to the wave.
    Wave,
    /// The receiver can't read the order or does not know the instance.
    Invalid,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer<T> {
    /// The order was carried out.
    Done(T),
    /// The order was not carried out.
    Refused(Refusal),
    /// Another incarnation answered at the address.
    Misdirected,
    /// No answer arrived: the order may have been carried out, or may be later.
    Unknown,
    /// As [`Answer::Unknown`], but the process that was to send the order did not reply, or not send
    /// it in time, which says nothing about the receiver.
    Lost,
}

/// Outcome of a start, with what else the exchange shows.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOutcome {
    /// `Done` if the worker started the run, or had started it before.
    pub answer: Answer<()>,
    /// The clock of the incarnation that answered, in milliseconds; `None` if it is not known.
    pub clock_ms: Option<u64>,
    /// No part of the order left the process, so it is not carried out.
    pub is_unsent: bool,
    /// The order was sent a second time, since the first connection closed without an answer.
    pub is_repeated: bool,
}

impl From<Answer<()>> for StartOutcome {
    fn from(answer: Answer<()>) -> StartOutcome {
        StartOutcome { answer, clock_ms: None, is_unsent: false, is_repeated: false }
    }
}

impl<T> Answer<T> {
    /// Maps the value of an order that was carried out.
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
            Answer::Lost => Answer::Lost,
        }
    }
}
