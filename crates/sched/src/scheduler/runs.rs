//! Runs: what follows from their ends, and taking them off workers.

use super::{Scheduler, Time};
use crate::lease::Lease;
use crate::order::{Destination, Order, Refusal, Stop};
use crate::worker::{Run, RunState, StopReason};
use jobs::command::{Discarded, EndReason};
use jobs::ledger::Release;
use jobs::{Incarnation, Ledger, RunNumber, UnitKey, UnixMs, WorkerId};

impl Scheduler {
    pub(super) fn on_released(&mut self, time: Time, ledger: &Ledger, freed: &Release) {
        let Release { unit, run: number, incarnation, reason } = freed;
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        let Some(run) = worker.remove(*unit, *number) else { return };
        match reason {
            Some(EndReason::Done) => {
                worker.record_success();
                self.learn_span(time, ledger, unit, &incarnation.worker, &run);
                for (worker, unit, number) in self.runs_where(|other| other == unit) {
                    self.stop(time, ledger, &worker, unit, number, StopReason::Unneeded);
                }
                return;
            }
            Some(EndReason::Failed) => {
                if worker.record_failure(time.monotonic) {
                    let text =
                        format!("rests after {} failures in a row", worker.consecutive_failures);
                    self.note(incarnation.worker.clone(), text);
                }
                self.avoid.entry(*unit).or_default().insert(incarnation.worker.clone());
            }
            _ => {}
        }
        if run.stop_reason == Some(StopReason::Stuck)
            || run.stop_reason == Some(StopReason::UnresolvedStart)
        {
            self.avoid.entry(*unit).or_default().insert(incarnation.worker.clone());
        }
        self.break_gang(time, ledger, unit);
        let idle =
            ledger.unit(unit).is_some_and(|state| !state.done && state.placements.is_empty());
        if idle {
            self.enqueue(ledger, *unit, time.monotonic);
        }
    }

    /// A gang that lacks a member does no work: the others make room.
    fn break_gang(&mut self, time: Time, ledger: &Ledger, unit: &UnitKey) {
        let Some(job) = ledger.job(unit.job) else { return };
        let key = unit.step_key();
        if !job.definition.steps[usize::from(key.step)].gang {
            return;
        }
        for (worker, unit, number) in self.runs_where(|other| other.step_key() == key) {
            self.stop(time, ledger, &worker, unit, number, StopReason::GangBroken);
        }
    }

    pub(super) fn learn_span(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: &UnitKey,
        worker: &WorkerId,
        run: &Run,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.definition.steps[usize::from(unit.step)];
        let Some(started) = run.started_at else { return };
        if step.long_running || step.best_effort {
            return;
        }
        let mut real = time.monotonic.saturating_sub(started);
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        let near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| report.is_some_and(|report| report.labels.contains(rack)));
        if !near {
            real = real.div_f64(self.settings.far_factor.max(1.0));
        }
        self.estimate.record(&job.queue, step.estimate, real);
    }

    /// Stops a run, or drops it if it was never sent.
    pub(super) fn stop(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
        reason: StopReason,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&(unit, number)) else { return };
        match run.state {
            RunState::Proposed => {
                // The log refuses a placement behind the end of its job or unit;
                // behind anything else it will come and is stopped then.
                run.stop_reason = Some(reason);
                let over = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                    || ledger.unit(&unit).is_some_and(|unit| unit.done);
                if over {
                    worker.remove(unit, number);
                }
            }
            RunState::Ready => {
                run.stop_reason = Some(reason);
                run.state = RunState::Ending;
                self.batch.discarded.push(Discarded { unit, run: number });
            }
            RunState::Stopping { .. } | RunState::Ending => {}
            RunState::Inherited
            | RunState::Starting
            | RunState::Unclear { .. }
            | RunState::Running => {
                run.stop_reason = Some(reason);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
                self.send_stop(time, ledger, id, unit, number);
            }
        }
    }

    pub(super) fn send_stop(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        run: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let address =
            Destination { incarnation: worker.incarnation.clone(), address: report.address };
        let Some(held) = worker.runs.get_mut(&(unit, run)) else { return };
        if let RunState::Stopping { sent, .. } = &mut held.state {
            *sent = Some(time.monotonic);
            self.orders.push(Order::Stop(address, Stop { unit, name, run, fence: self.fence }));
        }
    }

    /// Takes runs off a worker that can't run them any more.
    pub(super) fn discard_all(&mut self, id: &WorkerId, reason: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut count = 0;
        for ((unit, number), run) in &mut worker.runs {
            if !matches!(run.state, RunState::Proposed | RunState::Ending) {
                run.state = RunState::Ending;
                self.batch.discarded.push(Discarded { unit: *unit, run: *number });
                count += 1;
            }
        }
        if count > 0 {
            self.note(id.clone(), format!("takes {count} runs off it: {reason}"));
        }
    }

    /// A worker's name is borne by a new life. What the old one ran is gone; a
    /// start without an answer may still reach the new life and is barred there.
    pub(super) fn on_new_incarnation(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        started_at: UnixMs,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut unclear = Vec::new();
        let mut discarded = Vec::new();
        for ((unit, number), run) in &mut worker.runs {
            match run.state {
                RunState::Proposed | RunState::Ending => {}
                RunState::Starting | RunState::Unclear { .. } => unclear.push((*unit, *number)),
                RunState::Stopping { .. }
                    if run.stop_reason == Some(StopReason::UnresolvedStart) =>
                {
                    unclear.push((*unit, *number));
                }
                _ => {
                    run.state = RunState::Ending;
                    discarded.push(Discarded { unit: *unit, run: *number });
                }
            }
        }
        worker.incarnation = Incarnation::new(id.clone(), started_at);
        worker.report = None;
        worker.verified = false;
        worker.lease = Lease::inherited(time.monotonic, self.settings.max_lease);
        worker.polling = Default::default();
        worker.proposed_through = 0;
        worker.consecutive_failures = 0;
        worker.cordoned = false;
        worker.ended = false;
        for (unit, number) in &unclear {
            if let Some(run) = worker.runs.get_mut(&(*unit, *number)) {
                run.stop_reason = Some(StopReason::UnresolvedStart);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        let text = format!(
            "a new life born {started_at}: {} runs are over, {} have to be barred",
            discarded.len(),
            unclear.len()
        );
        self.batch.discarded.extend(discarded);
        self.note(id.clone(), text);
        for (unit, number) in unclear {
            self.send_stop(time, ledger, id, unit, number);
        }
    }

    /// The worker is about to leave: lasting work is started anew elsewhere.
    pub(super) fn leave_worker(&mut self, time: Time, ledger: &Ledger, id: &WorkerId) {
        self.note(id.clone(), "drains: no new work".to_string());
        let Some(worker) = self.workers.get(id) else { return };
        let long_running: Vec<(UnitKey, RunNumber)> =
            worker.runs.iter().filter(|(_, run)| run.long_running).map(|(key, _)| *key).collect();
        for (unit, run) in long_running {
            self.stop(time, ledger, id, unit, run, StopReason::Leaving);
        }
    }

    pub(super) fn supersede(&mut self, subject: &WorkerId) {
        if !self.superseded {
            self.superseded = true;
            self.note(subject.clone(), "has seen a higher fence: this leader sends no more".into());
        }
    }

    pub(super) fn refused(&mut self, subject: &WorkerId, refusal: Refusal) {
        if refusal == Refusal::Fence {
            self.supersede(subject);
        }
    }
}
