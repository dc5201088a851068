//! Jobs and steps: what waits for room, and what it is worth.

use super::{SIZE_WEIGHT, Scheduler, Time, Waiting};
use crate::rank::{self, Criteria};
use crate::worker::StopReason;
use jobs::{JobNumber, Ledger, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

impl Scheduler {
    pub(super) fn learn_size(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        let size = rank::remaining_work(&job.definition, 0, &|span| span);
        let mean = self.mean_size.entry(job.queue.clone()).or_insert(size);
        *mean += SIZE_WEIGHT * (size - *mean);
    }

    pub(super) fn open_job(&mut self, time: Time, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        for occurrence in 0..job.definition.occurrences() {
            match job.definition.due(occurrence) {
                Some(due) if !job.occurrences.contains_key(&occurrence) => {
                    self.due.insert((due, number, occurrence));
                }
                _ => self.open_occurrence(time, ledger, number, occurrence),
            }
        }
    }

    pub(super) fn open_due(&mut self, time: Time, ledger: &Ledger) {
        while let Some((due, number, occurrence)) = self.due.first().copied() {
            if due > time.wall {
                return;
            }
            self.due.remove(&(due, number, occurrence));
            self.open_occurrence(time, ledger, number, occurrence);
        }
    }

    pub(super) fn open_occurrence(
        &mut self,
        time: Time,
        ledger: &Ledger,
        number: JobNumber,
        occurrence: u32,
    ) {
        let Some(job) = ledger.job(number) else { return };
        for step in 0..job.definition.steps.len() as u16 {
            if job.is_step_unblocked(occurrence, step) {
                self.open_step(time, ledger, StepKey { job: number, occurrence, step });
            }
        }
    }

    /// Lets the units of a step wait for room that are neither done nor placed.
    pub(super) fn open_step(&mut self, time: Time, ledger: &Ledger, key: StepKey) {
        let Some(job) = ledger.job(key.job) else { return };
        for index in 0..job.definition.steps[usize::from(key.step)].count {
            let idle = job
                .unit(key.occurrence, key.step, index)
                .is_none_or(|unit| !unit.done && unit.placements.is_empty());
            if idle {
                self.enqueue(ledger, key.unit(index), time.monotonic);
            }
        }
    }

    pub(super) fn on_step_done(&mut self, time: Time, ledger: &Ledger, done: &StepKey) {
        let Some(job) = ledger.job(done.job) else { return };
        for (number, step) in job.definition.steps.iter().enumerate() {
            let number = number as u16;
            if step.after.contains(&done.step) && job.is_step_unblocked(done.occurrence, number) {
                self.open_step(time, ledger, StepKey { step: number, ..*done });
            }
        }
    }

    pub(super) fn enqueue(&mut self, ledger: &Ledger, unit: UnitKey, not_before: Duration) {
        let Some(job) = ledger.job(unit.job) else { return };
        if job.state.is_final() {
            return;
        }
        let key = unit.step_key();
        let criteria = self.criteria(ledger, &key);
        let steps = self.waiting.entry(job.pool.clone()).or_default();
        let waiting =
            steps.entry(key).or_insert_with(|| Waiting { units: BTreeMap::new(), criteria });
        waiting.units.insert(unit.index, not_before);
    }

    pub(super) fn criteria(&self, ledger: &Ledger, key: &StepKey) -> Criteria {
        let job = &ledger.jobs()[&key.job];
        let span = |declared| self.estimate.expected(&job.queue, declared);
        let mut accepted_at = self.accepted.get(&key.job).copied().unwrap_or_default();
        if let (Some(due), Some(first)) =
            (job.definition.due(key.occurrence), job.definition.due(0))
        {
            accepted_at += Duration::from_millis(due.saturating_sub(first));
        }
        Criteria {
            priority: job.priority,
            long_running: job.definition.steps[usize::from(key.step)].long_running,
            accepted_at,
            objective: rank::objective(job, &span),
            critical_path: rank::critical_path(&job.definition, key.step, &span),
            remaining_work: rank::remaining_work(&job.definition, key.step, &span),
            total_work: rank::remaining_work(&job.definition, 0, &|span| span),
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

    pub(super) fn close_job(&mut self, time: Time, ledger: &Ledger, number: JobNumber) {
        for steps in self.waiting.values_mut() {
            steps.retain(|key, _| key.job != number);
        }
        self.due.retain(|(_, job, _)| *job != number);
        self.avoid.retain(|unit, _| unit.job != number);
        self.last_runs.retain(|unit, _| unit.job != number);
        self.accepted.remove(&number);
        self.forget_advice(number);
        for (worker, unit, run) in self.runs_where(|unit| unit.job == number) {
            self.stop(time, ledger, &worker, unit, run, StopReason::Unneeded);
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
