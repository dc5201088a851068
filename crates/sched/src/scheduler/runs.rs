//! Runs: what follows from their ends, and taking them off workers.

use super::{Moment, Scheduler};
use crate::lease::Lease;
use crate::order::{Address, Order, Refusal, Stop};
use crate::worker::{Run, RunState, StopReason};
use jobs::command::{How, Voided};
use jobs::ledger::Freed;
use jobs::{Ledger, Life, RunNumber, UnitKey, UnixMs, WorkerId};

impl Scheduler {
    pub(super) fn freed(&mut self, moment: Moment, ledger: &Ledger, freed: &Freed) {
        let Freed { unit, run: number, life, how } = freed;
        let Some(worker) = self.workers.get_mut(&life.worker) else { return };
        let Some(run) = worker.remove(*unit, *number) else { return };
        match how {
            Some(How::Done) => {
                worker.succeeded();
                self.learn_span(moment, ledger, unit, &life.worker, &run);
                for (worker, unit, number) in self.runs_where(|other| other == unit) {
                    self.stop(moment, ledger, &worker, unit, number, StopReason::Unwanted);
                }
                return;
            }
            Some(How::Failed) => {
                if worker.failed(moment.now) {
                    let text = format!("rests after {} failures in a row", worker.strikes);
                    self.note(life.worker.clone(), text);
                }
                self.avoid.entry(*unit).or_default().insert(life.worker.clone());
            }
            _ => {}
        }
        if run.stopped_for == Some(StopReason::Stuck)
            || run.stopped_for == Some(StopReason::Unclear)
        {
            self.avoid.entry(*unit).or_default().insert(life.worker.clone());
        }
        self.break_gang(moment, ledger, unit);
        let idle =
            ledger.unit(unit).is_some_and(|state| !state.done && state.placements.is_empty());
        if idle {
            self.enqueue(ledger, *unit, moment.now);
        }
    }

    /// A gang that lacks a member does no work: the others make room.
    fn break_gang(&mut self, moment: Moment, ledger: &Ledger, unit: &UnitKey) {
        let Some(job) = ledger.job(unit.job) else { return };
        let key = unit.step_key();
        if !job.order.steps[usize::from(key.step)].gang {
            return;
        }
        for (worker, unit, number) in self.runs_where(|other| other.step_key() == key) {
            self.stop(moment, ledger, &worker, unit, number, StopReason::Broken);
        }
    }

    pub(super) fn learn_span(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        unit: &UnitKey,
        worker: &WorkerId,
        run: &Run,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.order.steps[usize::from(unit.step)];
        let Some(started) = run.started else { return };
        if step.lasting || step.filling {
            return;
        }
        let mut real = moment.now.saturating_sub(started);
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        let near = step
            .affinity
            .as_ref()
            .is_none_or(|rack| report.is_some_and(|report| report.labels.contains(rack)));
        if !near {
            real = real.div_f64(self.settings.far_factor.max(1.0));
        }
        self.estimate.learn(&job.queue, step.estimate, real);
    }

    /// Stops a run, or drops it if it was never sent.
    pub(super) fn stop(
        &mut self,
        moment: Moment,
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
                run.stopped_for = Some(reason);
                let over = ledger.job(unit.job).is_none_or(|job| job.state.is_final())
                    || ledger.unit(&unit).is_some_and(|unit| unit.done);
                if over {
                    worker.remove(unit, number);
                }
            }
            RunState::Ready => {
                run.stopped_for = Some(reason);
                run.state = RunState::Ending;
                self.batch.voided.push(Voided { unit, run: number });
            }
            RunState::Stopping { .. } | RunState::Ending => {}
            RunState::Inherited
            | RunState::Starting
            | RunState::Unclear { .. }
            | RunState::Running => {
                run.stopped_for = Some(reason);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
                self.send_stop(moment, ledger, id, unit, number);
            }
        }
    }

    pub(super) fn send_stop(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        id: &WorkerId,
        unit: UnitKey,
        run: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(report) = &worker.report else { return };
        let Some(name) = ledger.unit_name(&unit) else { return };
        let address = Address { life: worker.life.clone(), address: report.address };
        let Some(held) = worker.runs.get_mut(&(unit, run)) else { return };
        if let RunState::Stopping { sent, .. } = &mut held.state {
            *sent = Some(moment.now);
            self.orders.push(Order::Stop(address, Stop { unit, name, run, fence: self.fence }));
        }
    }

    /// Takes runs off a worker that can't run them any more.
    pub(super) fn void_all(&mut self, id: &WorkerId, reason: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut count = 0;
        for ((unit, number), run) in &mut worker.runs {
            if !matches!(run.state, RunState::Proposed | RunState::Ending) {
                run.state = RunState::Ending;
                self.batch.voided.push(Voided { unit: *unit, run: *number });
                count += 1;
            }
        }
        if count > 0 {
            self.note(id.clone(), format!("takes {count} runs off it: {reason}"));
        }
    }

    /// A worker's name is borne by a new life. What the old one ran is gone; a
    /// start without an answer may still reach the new life and is barred there.
    pub(super) fn reborn(&mut self, moment: Moment, ledger: &Ledger, id: &WorkerId, born: UnixMs) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut unclear = Vec::new();
        let mut voided = Vec::new();
        for ((unit, number), run) in &mut worker.runs {
            match run.state {
                RunState::Proposed | RunState::Ending => {}
                RunState::Starting | RunState::Unclear { .. } => unclear.push((*unit, *number)),
                RunState::Stopping { .. } if run.stopped_for == Some(StopReason::Unclear) => {
                    unclear.push((*unit, *number));
                }
                _ => {
                    run.state = RunState::Ending;
                    voided.push(Voided { unit: *unit, run: *number });
                }
            }
        }
        worker.life = Life::new(id.clone(), born);
        worker.report = None;
        worker.verified = false;
        worker.lease = Lease::inherited(moment.now, self.settings.max_lease);
        worker.asking = Default::default();
        worker.proposed = 0;
        worker.strikes = 0;
        worker.closing = false;
        worker.gone = false;
        for (unit, number) in &unclear {
            if let Some(run) = worker.runs.get_mut(&(*unit, *number)) {
                run.stopped_for = Some(StopReason::Unclear);
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        let text = format!(
            "a new life born {born}: {} runs are over, {} have to be barred",
            voided.len(),
            unclear.len()
        );
        self.batch.voided.extend(voided);
        self.note(id.clone(), text);
        for (unit, number) in unclear {
            self.send_stop(moment, ledger, id, unit, number);
        }
    }

    /// The worker is about to leave: lasting work is started anew elsewhere.
    pub(super) fn leave_worker(&mut self, moment: Moment, ledger: &Ledger, id: &WorkerId) {
        self.note(id.clone(), "drains: no new work".to_string());
        let Some(worker) = self.workers.get(id) else { return };
        let lasting: Vec<(UnitKey, RunNumber)> =
            worker.runs.iter().filter(|(_, run)| run.lasting).map(|(key, _)| *key).collect();
        for (unit, run) in lasting {
            self.stop(moment, ledger, id, unit, run, StopReason::Leaving);
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
