//! Jobs and steps: what waits for room, and what it is worth.

use super::{Moment, SIZE_WEIGHT, Scheduler, Waiting};
use crate::rank::{self, Basis};
use crate::worker::StopReason;
use jobs::{JobNumber, Ledger, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

impl Scheduler {
    pub(super) fn learn_size(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        let size = rank::work(&job.order, 0, &|span| span);
        let mean = self.mean_size.entry(job.queue.clone()).or_insert(size);
        *mean += SIZE_WEIGHT * (size - *mean);
    }

    pub(super) fn open_job(&mut self, moment: Moment, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        for occurrence in 0..job.order.occurrences() {
            match job.order.due(occurrence) {
                Some(due) if !job.occurrences.contains_key(&occurrence) => {
                    self.due.insert((due, number, occurrence));
                }
                _ => self.open_occurrence(moment, ledger, number, occurrence),
            }
        }
    }

    pub(super) fn open_due(&mut self, moment: Moment, ledger: &Ledger) {
        while let Some((due, number, occurrence)) = self.due.first().copied() {
            if due > moment.wall {
                return;
            }
            self.due.remove(&(due, number, occurrence));
            self.open_occurrence(moment, ledger, number, occurrence);
        }
    }

    pub(super) fn open_occurrence(
        &mut self,
        moment: Moment,
        ledger: &Ledger,
        number: JobNumber,
        occurrence: u32,
    ) {
        let Some(job) = ledger.job(number) else { return };
        for step in 0..job.order.steps.len() as u16 {
            if job.step_open(occurrence, step) {
                self.open_step(moment, ledger, StepKey { job: number, occurrence, step });
            }
        }
    }

    /// Lets the units of a step wait for room that are neither done nor placed.
    pub(super) fn open_step(&mut self, moment: Moment, ledger: &Ledger, key: StepKey) {
        let Some(job) = ledger.job(key.job) else { return };
        for index in 0..job.order.steps[usize::from(key.step)].count {
            let idle = job
                .unit(key.occurrence, key.step, index)
                .is_none_or(|unit| !unit.done && unit.placements.is_empty());
            if idle {
                self.enqueue(ledger, key.unit(index), moment.now);
            }
        }
    }

    pub(super) fn step_done(&mut self, moment: Moment, ledger: &Ledger, done: &StepKey) {
        let Some(job) = ledger.job(done.job) else { return };
        for (number, step) in job.order.steps.iter().enumerate() {
            let number = number as u16;
            if step.after.contains(&done.step) && job.step_open(done.occurrence, number) {
                self.open_step(moment, ledger, StepKey { step: number, ..*done });
            }
        }
    }

    pub(super) fn enqueue(&mut self, ledger: &Ledger, unit: UnitKey, not_before: Duration) {
        let Some(job) = ledger.job(unit.job) else { return };
        if job.state.is_final() {
            return;
        }
        let key = unit.step_key();
        let basis = self.basis(ledger, &key);
        let steps = self.waiting.entry(job.pool.clone()).or_default();
        let waiting = steps.entry(key).or_insert_with(|| Waiting { units: BTreeMap::new(), basis });
        waiting.units.insert(unit.index, not_before);
    }

    pub(super) fn basis(&self, ledger: &Ledger, key: &StepKey) -> Basis {
        let job = &ledger.jobs()[&key.job];
        let span = |declared| self.estimate.span(&job.queue, declared);
        let mut accepted = self.accepted.get(&key.job).copied().unwrap_or_default();
        if let (Some(due), Some(first)) = (job.order.due(key.occurrence), job.order.due(0)) {
            accepted += Duration::from_millis(due.saturating_sub(first));
        }
        Basis {
            priority: job.priority,
            lasting: job.order.steps[usize::from(key.step)].lasting,
            accepted,
            objective: rank::objective(job, &span),
            chain: rank::chain(&job.order, key.step, &span),
            work: rank::work(&job.order, key.step, &span),
            size: rank::work(&job.order, 0, &|span| span),
        }
    }

    /// Sorts what waits anew after queues may have changed their pools.
    pub(super) fn repool(&mut self, ledger: &Ledger) {
        let all = std::mem::take(&mut self.waiting);
        for (key, waiting) in all.into_values().flatten() {
            if let Some(job) = ledger.job(key.job) {
                self.waiting.entry(job.pool.clone()).or_default().insert(key, waiting);
            }
        }
    }

    pub(super) fn close_job(&mut self, moment: Moment, ledger: &Ledger, number: JobNumber) {
        for steps in self.waiting.values_mut() {
            steps.retain(|key, _| key.job != number);
        }
        self.due.retain(|(_, job, _)| *job != number);
        self.avoid.retain(|unit, _| unit.job != number);
        self.last_runs.retain(|unit, _| unit.job != number);
        self.accepted.remove(&number);
        self.forget_advice(number);
        for (worker, unit, run) in self.runs_where(|unit| unit.job == number) {
            self.stop(moment, ledger, &worker, unit, run, StopReason::Unwanted);
        }
    }

    pub(super) fn runs_where(
        &self,
        wanted: impl Fn(&UnitKey) -> bool,
    ) -> Vec<(WorkerId, UnitKey, RunNumber)> {
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            for (unit, run) in worker.runs.keys().filter(|(unit, _)| wanted(unit)) {
                found.push((id.clone(), *unit, *run));
            }
        }
        found
    }
}
