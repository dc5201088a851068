//! Starts and stops: sending them, their answers, and what has to be sent again.

use super::{LEASE, Moment, RETRY_AFTER, Scheduler};
use crate::order::{Address, Answer, Order, Refusal, Start};
use crate::worker::{RunState, StopReason};
use jobs::command::Voided;
use jobs::{Ledger, Life, RunNumber, UnitKey, WorkerId};
use std::time::Duration;

/// Starts without an answer after which the run is barred and placed elsewhere.
const MAX_UNANSWERED: u32 = 2;
/// Time after which a stop that is acknowledged or not is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(600);
/// Least time without progress after which a run counts as stuck: a worker's
/// lists are about a second old.
const STUCK_AFTER: Duration = Duration::from_millis(2500);
/// Part of a unit's expected time without a percent of progress after which it
/// counts as stuck; a worker that is ten times as slow still shows one.
const STUCK_PART: f64 = 0.1;

/// Answer to a start.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    /// The life that was told.
    pub life: Life,
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// What came of it.
    pub answer: Answer<()>,
}

/// Answer to a stop.
#[derive(Clone, Debug, PartialEq)]
pub struct Stopped {
    /// The life that was told.
    pub life: Life,
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// When the answer came, if the worker did what it was told.
    pub answer: Answer<()>,
}

impl Scheduler {
    pub(super) fn placed(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        unit: UnitKey,
        number: RunNumber,
        life: &Life,
    ) {
        let Some(worker) = self.workers.get_mut(&life.worker) else {
            self.batch.voided.push(Voided { unit, run: number });
            return;
        };
        let same = worker.life == *life;
        let refuses = worker.asking.failures > 0 || !worker.takes_starts();
        let Some(run) = worker.runs.get_mut(&(unit, number)) else {
            self.batch.voided.push(Voided { unit, run: number });
            return;
        };
        if !same || refuses || run.stopped_for.is_some() {
            run.state = RunState::Ending;
            self.batch.voided.push(Voided { unit, run: number });
            return;
        }
        run.state = RunState::Ready;
        self.send_start(moment, ledger, &life.worker, unit, number);
    }

    fn send_start(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) {
        let lease = LEASE.min(self.settings.max_lease);
        let ticket = self.ticket(moment, &unit.step_key(), id).cloned();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(expires) = worker.lease.extend(moment.now, lease) else { return };
        let Some(job) = ledger.job(unit.job) else { return };
        let Some(state) = ledger.unit(&unit) else { return };
        let placement = state.placements.iter().find(|placement| placement.run == number);
        let Some(placement) = placement else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        run.state = RunState::Starting;
        let start = Start {
            unit,
            name: format!("{}.{}.{}.{}", job.id, unit.occurrence, unit.step, unit.index),
            run: number,
            spec: job.order.spec.clone(),
            expires,
            fence: self.fence,
            checkpoint: placement.from.clone(),
            ticket,
        };
        let address = Address { life: worker.life.clone(), address: report.address };
        self.orders.push(Order::Start(address, start));
    }

    /// Takes in the answer to a start.
    pub fn started(&mut self, moment: Moment, ledger: &Ledger, started: Started) {
        let Started { life, unit, run: number, answer } = started;
        let id = life.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.life != life {
            return;
        }
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        if run.state != RunState::Starting {
            return;
        }
        match answer {
            Answer::Done(()) => {
                run.state = RunState::Running;
                run.started = Some(moment.now);
                run.progress = (0, moment.now);
            }
            Answer::Unknown => {
                run.unanswered += 1;
                run.state = RunState::Unclear { since: moment.now };
                worker.failed(moment.now);
                self.no_answer(moment, &id);
            }
            Answer::Gone => self.life_over(&id),
            Answer::Refused(refusal) => {
                let certain = run.unanswered == 0;
                self.refused(&id, refusal);
                self.start_refused(moment, ledger, &id, (unit, number), refusal, certain);
            }
        }
    }

    /// A refused start has done nothing, but an earlier copy of it without an
    /// answer may still come.
    fn start_refused(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        key: (UnitKey, RunNumber),
        refusal: Refusal,
        certain: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&key) else { return };
        let (unit, number) = key;
        match refusal {
            Refusal::Fence => {}
            Refusal::Old => {
                // Stopped or ended there: the next lists tell which.
                run.stopped_for.get_or_insert(StopReason::Unclear);
                let acknowledged = Some(moment.now);
                run.state = RunState::Stopping { sent: Some(moment.now), acknowledged };
            }
            _ if certain => {
                if refusal == Refusal::Ticket {
                    self.advice_refused(&unit, id);
                }
                let Some(worker) = self.workers.get_mut(id) else { return };
                let Some(run) = worker.runs.get_mut(&key) else { return };
                run.state = RunState::Ending;
                self.batch.voided.push(Voided { unit, run: number });
                if refusal == Refusal::Busy && worker.failed(moment.now) {
                    self.note(id.clone(), "rests: it refuses all starts".to_string());
                }
                self.note(id.clone(), format!("refuses a start: {refusal:?}"));
            }
            _ => self.stop(moment, ledger, id, unit, number, StopReason::Unclear),
        }
    }

    fn advice_refused(&mut self, unit: &UnitKey, id: &WorkerId) {
        self.drop_ticket(&unit.step_key(), id);
    }

    /// Takes in the answer to a stop.
    pub fn stopped(&mut self, moment: Moment, stopped: Stopped) {
        let Stopped { life, unit, run: number, answer } = stopped;
        let id = life.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.life != life {
            return;
        }
        match answer {
            Answer::Done(()) => {
                if let Some(run) = worker.runs.get_mut(&(unit, number))
                    && let RunState::Stopping { acknowledged, .. } = &mut run.state
                {
                    acknowledged.get_or_insert(moment.now);
                }
            }
            Answer::Gone => self.life_over(&id),
            Answer::Refused(refusal) => self.refused(&id, refusal),
            Answer::Unknown => {}
        }
    }

    /// Sends again what got no answer, and finds runs that make no progress.
    pub(super) fn look(&mut self, moment: Moment, ledger: &Ledger) {
        let mut again = Vec::new();
        let mut stops = Vec::new();
        let mut stuck = Vec::new();
        for (id, worker) in &self.workers {
            let silent = worker.asking.failures > 0;
            let told = worker.asking.answered.unwrap_or_default();
            for ((unit, number), run) in &worker.runs {
                let key = (id.clone(), *unit, *number);
                match run.state {
                    RunState::Ready | RunState::Unclear { .. } if !worker.takes_starts() => {
                        stops.push((key, Some(StopReason::Unclear)));
                    }
                    RunState::Ready if !silent => again.push(key),
                    RunState::Unclear { since } if !silent && moment.now >= since + RETRY_AFTER => {
                        if run.unanswered >= MAX_UNANSWERED {
                            stops.push((key, Some(StopReason::Unclear)));
                        } else {
                            again.push(key);
                        }
                    }
                    RunState::Stopping { sent, .. }
                        if sent.is_none_or(|at| moment.now >= at + STOP_AGAIN) =>
                    {
                        stops.push((key, None));
                    }
                    RunState::Running if !silent && is_stuck(ledger, unit, run, told) => {
                        stuck.push(key);
                    }
                    _ => {}
                }
            }
        }
        for (id, unit, number) in again {
            self.send_start(moment, ledger, &id, unit, number);
        }
        for ((id, unit, number), reason) in stops {
            match reason {
                Some(reason) => self.stop(moment, ledger, &id, unit, number, reason),
                None => self.send_stop(moment, ledger, &id, unit, number),
            }
        }
        for (id, unit, number) in stuck {
            let name = ledger.unit_name(&unit).unwrap_or_default();
            self.note(name, format!("run {number} makes no progress on {id}: stopped"));
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.failed(moment.now);
            }
            self.stop(moment, ledger, &id, unit, number, StopReason::Stuck);
        }
    }
}

/// Whether the lists that a worker gave last show a run that has stood still for too
/// long. A worker that has said nothing since tells nothing of its runs.
fn is_stuck(ledger: &Ledger, unit: &UnitKey, run: &crate::worker::Run, told: Duration) -> bool {
    let (percent, since) = run.progress;
    let at_work = run.lasting && percent >= 100;
    let Some(job) = ledger.job(unit.job) else { return false };
    let expected = job.order.steps[usize::from(unit.step)].estimate;
    let patience = STUCK_AFTER.max(expected.mul_f64(STUCK_PART));
    run.started.is_some() && run.pace != Some(0) && !at_work && told >= since + patience
}
