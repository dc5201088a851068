//! Starts and stops: sending them, their answers, and what has to be sent again.

use super::{LEASE, RETRY_AFTER, Scheduler, Time};
use crate::order::{Answer, Destination, Order, Refusal, Start};
use crate::worker::{RunState, StopReason};
use jobs::command::Discarded;
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, WorkerId};
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
pub struct StartReply {
    /// The life that was told.
    pub incarnation: Incarnation,
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// What came of it.
    pub answer: Answer<()>,
}

/// Answer to a stop.
#[derive(Clone, Debug, PartialEq)]
pub struct StopReply {
    /// The life that was told.
    pub incarnation: Incarnation,
    /// The unit.
    pub unit: UnitKey,
    /// The run.
    pub run: RunNumber,
    /// When the answer came, if the worker did what it was told.
    pub answer: Answer<()>,
}

impl Scheduler {
    pub(super) fn on_placed(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: UnitKey,
        number: RunNumber,
        incarnation: &Incarnation,
    ) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        };
        let same = worker.incarnation == *incarnation;
        let refuses = worker.polling.failures > 0 || !worker.accepts_starts();
        let Some(run) = worker.runs.get_mut(&(unit, number)) else {
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        };
        if !same || refuses || run.stop_reason.is_some() {
            run.state = RunState::Ending;
            self.batch.discarded.push(Discarded { unit, run: number });
            return;
        }
        run.state = RunState::Ready;
        self.send_start(time, ledger, &incarnation.worker, unit, number);
    }

    fn send_start(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) {
        let lease = LEASE.min(self.settings.max_lease);
        let ticket = self.ticket(time, &unit.step_key(), id).cloned();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(lease_expires_ms) = worker.lease.extend(time.monotonic, lease) else { return };
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
            spec: job.definition.spec.clone(),
            lease_expires_ms,
            fence: self.fence,
            checkpoint: placement.checkpoint.clone(),
            ticket,
        };
        let address =
            Destination { incarnation: worker.incarnation.clone(), address: report.address };
        self.orders.push(Order::Start(address, start));
    }

    /// Takes in the answer to a start.
    pub fn on_start_reply(&mut self, time: Time, ledger: &Ledger, reply: StartReply) {
        let StartReply { incarnation, unit, run: number, answer } = reply;
        let id = incarnation.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.incarnation != incarnation {
            return;
        }
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        if run.state != RunState::Starting {
            return;
        }
        match answer {
            Answer::Done(()) => {
                run.state = RunState::Running;
                run.started_at = Some(time.monotonic);
                run.progress = (0, time.monotonic);
            }
            Answer::Unknown => {
                run.unanswered_starts += 1;
                run.state = RunState::Unclear { since: time.monotonic };
                worker.record_failure(time.monotonic);
                self.no_answer(time, &id);
            }
            Answer::Misdirected => self.on_incarnation_ended(&id),
            Answer::Refused(refusal) => {
                let certain = run.unanswered_starts == 0;
                self.refused(&id, refusal);
                self.start_refused(time, ledger, &id, (unit, number), refusal, certain);
            }
        }
    }

    /// A refused start has done nothing, but an earlier copy of it without an
    /// answer may still come.
    fn start_refused(
        &mut self,
        time: Time,
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
                run.stop_reason.get_or_insert(StopReason::UnresolvedStart);
                let acknowledged = Some(time.monotonic);
                run.state = RunState::Stopping { sent: Some(time.monotonic), acknowledged };
            }
            _ if certain => {
                if refusal == Refusal::Ticket {
                    self.advice_refused(&unit, id);
                }
                let Some(worker) = self.workers.get_mut(id) else { return };
                let Some(run) = worker.runs.get_mut(&key) else { return };
                run.state = RunState::Ending;
                self.batch.discarded.push(Discarded { unit, run: number });
                if refusal == Refusal::Busy && worker.record_failure(time.monotonic) {
                    self.note(id.clone(), "rests: it refuses all starts".to_string());
                }
                self.note(id.clone(), format!("refuses a start: {refusal:?}"));
            }
            _ => self.stop(time, ledger, id, unit, number, StopReason::UnresolvedStart),
        }
    }

    fn advice_refused(&mut self, unit: &UnitKey, id: &WorkerId) {
        self.drop_ticket(&unit.step_key(), id);
    }

    /// Takes in the answer to a stop.
    pub fn on_stop_reply(&mut self, time: Time, reply: StopReply) {
        let StopReply { incarnation, unit, run: number, answer } = reply;
        let id = incarnation.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.incarnation != incarnation {
            return;
        }
        match answer {
            Answer::Done(()) => {
                if let Some(run) = worker.runs.get_mut(&(unit, number))
                    && let RunState::Stopping { acknowledged, .. } = &mut run.state
                {
                    acknowledged.get_or_insert(time.monotonic);
                }
            }
            Answer::Misdirected => self.on_incarnation_ended(&id),
            Answer::Refused(refusal) => self.refused(&id, refusal),
            Answer::Unknown => {}
        }
    }

    /// Sends again what got no answer, and finds runs that make no progress.
    pub(super) fn retry_orders(&mut self, time: Time, ledger: &Ledger) {
        let mut again = Vec::new();
        let mut stops = Vec::new();
        let mut stuck = Vec::new();
        for (id, worker) in &self.workers {
            let silent = worker.polling.failures > 0;
            let told = worker.polling.answered_at.unwrap_or_default();
            for ((unit, number), run) in &worker.runs {
                let key = (id.clone(), *unit, *number);
                match run.state {
                    RunState::Ready | RunState::Unclear { .. } if !worker.accepts_starts() => {
                        stops.push((key, Some(StopReason::UnresolvedStart)));
                    }
                    RunState::Ready if !silent => again.push(key),
                    RunState::Unclear { since }
                        if !silent && time.monotonic >= since + RETRY_AFTER =>
                    {
                        if run.unanswered_starts >= MAX_UNANSWERED {
                            stops.push((key, Some(StopReason::UnresolvedStart)));
                        } else {
                            again.push(key);
                        }
                    }
                    RunState::Stopping { sent, .. }
                        if sent.is_none_or(|at| time.monotonic >= at + STOP_AGAIN) =>
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
            self.send_start(time, ledger, &id, unit, number);
        }
        for ((id, unit, number), reason) in stops {
            match reason {
                Some(reason) => self.stop(time, ledger, &id, unit, number, reason),
                None => self.send_stop(time, ledger, &id, unit, number),
            }
        }
        for (id, unit, number) in stuck {
            let name = ledger.unit_name(&unit).unwrap_or_default();
            self.note(name, format!("run {number} makes no progress on {id}: stopped"));
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.record_failure(time.monotonic);
            }
            self.stop(time, ledger, &id, unit, number, StopReason::Stuck);
        }
    }
}

/// Whether the lists that a worker gave last show a run that has stood still for too
/// long. A worker that has said nothing since tells nothing of its runs.
fn is_stuck(ledger: &Ledger, unit: &UnitKey, run: &crate::worker::Run, told: Duration) -> bool {
    let (percent, since) = run.progress;
    let at_work = run.long_running && percent >= 100;
    let Some(job) = ledger.job(unit.job) else { return false };
    let expected = job.definition.steps[usize::from(unit.step)].estimate;
    let patience = STUCK_AFTER.max(expected.mul_f64(STUCK_PART));
    run.started_at.is_some() && run.pace != Some(0) && !at_work && told >= since + patience
}
