//! The share that filling work gets beside work that serves.
//!
//! Answers work that serves its own users on a machine that it shares: filling work
//! is cut as soon as a tail nears its target, well before the tail has been over
//! it for long, and comes back step by step.

use super::{Moment, Scheduler};
use crate::order::{Address, Answer, Order, Pace};
use crate::worker::{Run, RunState, Worker};
use jobs::{Ledger, Life, RunNumber, UnitKey, WorkerId};
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
pub struct Paced {
    /// The life that was told.
    pub life: Life,
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
    pub(super) fn pace(&mut self, moment: Moment, ledger: &Ledger) {
        let mut changes: Vec<(WorkerId, UnitKey, RunNumber, u32)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.asking.failures > 0 || worker.runs.is_empty() {
                continue;
            }
            let Some(load) = load(worker) else { continue };
            for ((unit, number), run) in &worker.runs {
                if !run.filling || run.state != RunState::Running {
                    continue;
                }
                let percent = next(run.pace.unwrap_or(100), load);
                let rested = moment.now >= run.paced + INTERVAL;
                // A cut does not wait.
                let due = rested || run.pace.is_some_and(|pace| percent < pace);
                if run.pace != Some(percent) && due {
                    changes.push((id.clone(), *unit, *number, percent));
                }
            }
        }
        for (id, unit, number, percent) in changes {
            self.order_pace(moment, ledger, &id, unit, number, percent);
        }
    }

    fn order_pace(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
        percent: u32,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(address) = worker.report.as_ref().map(|report| report.address) else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let life = worker.life.clone();
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        run.pace = Some(percent);
        run.paced = moment.now;
        let pace = Pace { unit, name, run: number, percent, fence: self.fence };
        self.orders.push(Order::Pace(Address { life, address }, pace));
    }

    /// Takes in the answer to a change of a share: without one it is told again.
    pub fn paced(&mut self, paced: Paced) {
        let Some(worker) = self.workers.get_mut(&paced.life.worker) else { return };
        if worker.life != paced.life {
            return;
        }
        if let Some(run) = worker.runs.get_mut(&(paced.unit, paced.run))
            && paced.answer != Answer::Done(())
            && run.pace == Some(paced.percent)
        {
            run.pace = None;
        }
        if let Answer::Refused(refusal) = paced.answer {
            self.refused(&paced.life.worker, refusal);
        }
    }
}

/// Highest tail of a worker's serving runs in parts of its target.
fn load(worker: &Worker) -> Option<f64> {
    let part = |run: &Run| {
        let target = run.tail_target?.as_secs_f64() * 1000.0;
        Some(run.reading as f64 / target)
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
