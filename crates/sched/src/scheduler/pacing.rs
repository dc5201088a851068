//! Processor share of best-effort work beside work with a tail latency target. The order
//! that sets a share is [`Pace`].
//!
//! Best-effort work can raise the tail latency of serving work on the same instance. Its
//! share is halved as soon as a latency approaches its target, before it exceeds the target
//! for long, and is raised again step by step.

use super::{Scheduler, Time};
use crate::order::{Answer, Destination, Order, Pace};
use crate::worker::{Run, RunState, Worker};
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Ratio of latency to target above which the share is halved.
const HALVE_ABOVE_RATIO: f64 = 0.85;
/// Ratio of latency to target above which best-effort work is paused.
const PAUSE_ABOVE_RATIO: f64 = 1.1;
/// Ratio of latency to target below which the share is raised.
const RAISE_BELOW_RATIO: f64 = 0.65;
/// Percentage points by which the share is raised at a time.
const RAISE_PERCENT_POINTS: u32 = 15;
/// Shortest time between two changes of a run's share, unless the second lowers it. A
/// measured tail latency covers the last half second.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// Reply to an order that sets the share of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PaceReply {
    /// Incarnation that the order was sent to.
    pub incarnation: Incarnation,
    /// Unit of the run.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Share that was ordered, in percent.
    pub percent: u32,
    /// `Done` if the worker applied the share.
    pub answer: Answer<()>,
}

impl Scheduler {
    /// Adjusts the shares of best-effort runs on workers that answer and run work with a
    /// tail latency target.
    pub(super) fn adjust_shares(&mut self, time: Time, ledger: &Ledger) {
        let mut changes: Vec<(WorkerId, UnitKey, RunNumber, u32)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.polling.unanswered > 0 || worker.runs.is_empty() {
                continue;
            }
            let Some(max_latency_ratio) = max_latency_ratio(worker) else { continue };
            for ((unit, number), run) in &worker.runs {
                if !run.best_effort || run.state != RunState::Running {
                    continue;
                }
                let percent =
                    next_share_percent(run.share_percent.unwrap_or(100), max_latency_ratio);
                let interval_passed = time.monotonic >= run.share_ordered_at + MIN_CHANGE_INTERVAL;
                // A lower share is ordered at once; the interval applies to raises.
                let due =
                    interval_passed || run.share_percent.is_some_and(|ordered| percent < ordered);
                if run.share_percent != Some(percent) && due {
                    changes.push((id.clone(), *unit, *number, percent));
                }
            }
        }
        for (id, unit, number, percent) in changes {
            self.order_share(time, ledger, &id, unit, number, percent);
        }
    }

    /// Orders a worker to set the share of a run.
    fn order_share(
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
        let is_silent = worker.polling.is_silent(time.monotonic);
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        if !self.outstanding.paces.admits(id, is_silent, 0) {
            return; // ordered with a later adjustment
        }
        self.outstanding.paces.record_sent(id, (unit, number), 0);
        run.share_percent = Some(percent);
        run.share_ordered_at = time.monotonic;
        let pace =
            Pace { unit, name, run: number, percent, fence: self.fences.after(worker.restarts) };
        self.orders.push(Order::Pace(Destination { incarnation, address }, pace));
    }

    /// Handles the reply to a change of a share. If the worker did not confirm it, the share
    /// counts as unknown and is ordered again.
    pub fn on_pace_reply(&mut self, reply: PaceReply) {
        self.outstanding.paces.record_reply(&reply.incarnation.worker, (reply.unit, reply.run));
        let Some(worker) = self.workers.get_mut(&reply.incarnation.worker) else { return };
        if worker.incarnation != reply.incarnation {
            return;
        }
        if let Some(run) = worker.runs.get_mut(&(reply.unit, reply.run))
            && reply.answer != Answer::Done(())
            && run.share_percent == Some(reply.percent)
        {
            run.share_percent = None;
        }
        // A refusal for the fence may be of an order of an earlier leadership; the next poll shows it.
    }
}

/// Returns the highest ratio of tail latency to target among a worker's runs; none without
/// a run that has a target.
fn max_latency_ratio(worker: &Worker) -> Option<f64> {
    let latency_ratio = |run: &Run| {
        let target = run.tail_latency_target?.as_secs_f64() * 1000.0;
        Some(run.measurement as f64 / target)
    };
    worker.runs.values().filter_map(latency_ratio).reduce(f64::max)
}

/// Returns the next share of best-effort work for a ratio of latency to target.
fn next_share_percent(percent: u32, max_latency_ratio: f64) -> u32 {
    if max_latency_ratio > PAUSE_ABOVE_RATIO {
        0
    } else if max_latency_ratio > HALVE_ABOVE_RATIO {
        percent / 2
    } else if max_latency_ratio < RAISE_BELOW_RATIO {
        (percent + RAISE_PERCENT_POINTS).min(100)
    } else {
        percent
    }
}
