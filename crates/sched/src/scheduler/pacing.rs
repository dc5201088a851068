//! The share that filling work gets beside work that serves.
//!
//! Answers work that serves its own users on a machine that it shares: filling work
//! is cut as soon as a tail nears its target, well before the tail has been over
//! it for long, and comes back step by step.

use super::{Scheduler, Time};
use crate::order::{Answer, Destination, Order, Pace};
use crate::worker::{Run, RunState, Worker};
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
use std::time::Duration;

/// Part of a target at which filling work is halved.
const NEAR: f64 = 0.85;
/// Part of a target beyond which filling work stands still until it is below.
const OVER: f64 = 1.1;
/// Part of a target below which filling work gets more.
const CALM: f64 = 0.65;
/// Percent that filling work gets back at a time.
const STEP_UP: u32 = 15;
/// Least time between two changes: a tail is a figure of the last half second.
const INTERVAL: Duration = Duration::from_millis(600);

/// Answer to a change of a run's share.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceReply {
    /// The life that was told.
    pub incarnation: Incarnation,
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// The share in percent.
    pub percent: u32,
    /// What came of it.
    pub answer: Answer<()>,
}

impl Scheduler {
    pub(super) fn pace(&mut self, time: Time, ledger: &Ledger) {
        let mut changes: Vec<(WorkerId, UnitKey, RunNumber, u32)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.polling.failures > 0 || worker.runs.is_empty() {
                continue;
            }
            let Some(load) = load(worker) else { continue };
            for ((unit, number), run) in &worker.runs {
                if !run.best_effort || run.state != RunState::Running {
                    continue;
                }
                let percent = next(run.pace.unwrap_or(100), load);
                let rested = time.monotonic >= run.paced_at + INTERVAL;
                // A cut does not wait.
                let due = rested || run.pace.is_some_and(|pace| percent < pace);
                if run.pace != Some(percent) && due {
                    changes.push((id.clone(), *unit, *number, percent));
                }
            }
        }
        for (id, unit, number, percent) in changes {
            self.order_pace(time, ledger, &id, unit, number, percent);
        }
    }

    fn order_pace(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
        percent: u32,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(address) = worker.report.as_ref().map(|report| report.address) else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let incarnation = worker.incarnation.clone();
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        run.pace = Some(percent);
        run.paced_at = time.monotonic;
        let pace = Pace { unit, name, run: number, percent, fence: self.fence };
        self.orders.push(Order::Pace(Destination { incarnation, address }, pace));
    }

    /// Takes in the answer to a change of a share: without one it is told again.
    pub fn on_pace_reply(&mut self, reply: PaceReply) {
        let Some(worker) = self.workers.get_mut(&reply.incarnation.worker) else { return };
        if worker.incarnation != reply.incarnation {
            return;
        }
        if let Some(run) = worker.runs.get_mut(&(reply.unit, reply.run))
            && reply.answer != Answer::Done(())
            && run.pace == Some(reply.percent)
        {
            run.pace = None;
        }
        if let Answer::Refused(refusal) = reply.answer {
            self.on_refusal(&reply.incarnation.worker, refusal);
        }
    }
}

/// Highest tail of a worker's serving runs in parts of its target.
fn load(worker: &Worker) -> Option<f64> {
    let part = |run: &Run| {
        let target = run.tail_latency_target?.as_secs_f64() * 1000.0;
        Some(run.measurement as f64 / target)
    };
    worker.runs.values().filter_map(part).reduce(f64::max)
}

/// Share of filling work beside a tail.
fn next(percent: u32, load: f64) -> u32 {
    if load > OVER {
        0
    } else if load > NEAR {
        percent / 2
    } else if load < CALM {
        (percent + STEP_UP).min(100)
    } else {
        percent
    }
}
