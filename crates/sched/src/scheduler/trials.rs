//! Trials of units that may have crashed their workers.
//!
//! All waiting units of a step with a suspected unit are tried on one worker at a time, with
//! nothing else that is recent, so that a further crash has one cause, costs no other job its
//! work, and a step of many deadly units takes down one worker after another and not its pool. A
//! unit is cleared when it is done or has outlived the crashes under it.

use super::{Scheduler, Time};
use crate::place::{Candidate, Trial};
use jobs::{InstanceId, Ledger, PoolName, StepKey, UnitKey, WorkerId, crash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a trial waits for a worker without runs. Then it shares one with runs that are no
/// longer recent: a unit that waits 3 s beside free resources counts as lost.
const MAX_WAIT_FOR_EMPTY: Duration = Duration::from_millis(1500);
/// Part of a pool's workers that answer on which trials go on at one time at most.
const MAX_TRIAL_FRACTION: f64 = 0.5;
/// Part of a pool's workers that get no other work, so that a trial finds room on them.
const MAX_RESERVED_FRACTION: f64 = 0.125;

/// Suspected units of a step.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    units: BTreeSet<u32>,
    /// When the last of them came under suspicion.
    since: Duration,
}

impl Suspicion {
    /// Sorts units of the step, the suspected ones first.
    pub(super) fn sort(&self, indices: &mut [u32]) {
        indices.sort_by_key(|index| (!self.units.contains(index), *index));
    }
}

impl Scheduler {
    /// Puts a unit under suspicion if the crashes under it are a reason. A run of it that goes on
    /// becomes a trial.
    pub(super) fn review_unit(&mut self, time: Time, ledger: &Ledger, unit: UnitKey) {
        let Some(state) = ledger.unit(&unit).filter(|unit| !unit.done) else { return };
        if !crash::is_suspect(&state.crashes) {
            return;
        }
        let suspicion = self
            .suspicions
            .entry(unit.step_key())
            .or_insert_with(|| Suspicion { units: BTreeSet::new(), since: time.monotonic });
        suspicion.units.insert(unit.index);
        suspicion.since = time.monotonic;
        for (worker, unit, number) in self.find_runs(unit..=unit) {
            let worker = self.workers.get_mut(&worker);
            let run = worker.and_then(|worker| worker.runs.get_mut(&(unit, number)));
            if let Some(run) = run.filter(|run| !run.is_stopping_or_ending()) {
                run.is_trial = true;
            }
        }
    }

    /// Ends the suspicion of a unit.
    pub(super) fn clear_unit(&mut self, unit: &UnitKey) {
        let Some(suspicion) = self.suspicions.get_mut(&unit.step_key()) else { return };
        suspicion.units.remove(&unit.index);
        if suspicion.units.is_empty() {
            self.suspicions.remove(&unit.step_key());
        }
    }

    /// Returns how the waiting units of a step are tried; `None` if none of its units is
    /// suspected.
    pub(super) fn trial(&self, time: Time, ledger: &Ledger, key: &StepKey) -> Option<Trial> {
        let suspicion = self.suspicions.get(key)?;
        Some(Trial {
            worker: self.trial_worker(key),
            crashes: self.count_crashes(ledger, key),
            accepts_company: time.monotonic >= suspicion.since + MAX_WAIT_FOR_EMPTY,
        })
    }

    /// Returns the worker on which a trial of a step goes on.
    fn trial_worker(&self, key: &StepKey) -> Option<WorkerId> {
        let is_on_trial = |id: &&WorkerId| {
            let runs = self.workers.get(*id).map(|worker| worker.runs.range(key.range()));
            runs.into_iter().flatten().any(|(_, run)| run.is_trial)
        };
        let placed = self.placed_on.range(key.unit(0)..=key.unit(u32::MAX));
        placed.flat_map(|(_, ids)| ids).find(is_on_trial).cloned()
    }

    /// Returns how many trials may begin now on the workers of a pool that answer.
    pub(super) fn free_trials(&self, candidates: &[Candidate<'_>]) -> usize {
        if self.suspicions.is_empty() {
            return 0;
        }
        let on_trial = candidates.iter().filter(|candidate| candidate.is_on_trial()).count();
        fraction_of(candidates.len(), MAX_TRIAL_FRACTION).saturating_sub(on_trial)
    }

    /// Returns the number of trials that may begin in a pool and have not begun.
    pub(super) fn waiting_trials(&self, time: Time, pool: &PoolName) -> usize {
        let Some(steps) = self.waiting.get(pool) else { return 0 };
        let is_waiting = |key: &&StepKey| {
            let mut units = steps.get(*key).into_iter().flat_map(|waiting| waiting.units.values());
            units.any(|not_before| *not_before <= time.monotonic)
                && self.trial_worker(key).is_none()
        };
        self.suspicions.keys().filter(is_waiting).count()
    }

    /// Reserves workers for the trials of a pool that may begin and find no empty one: those with
    /// the fewest runs, and without long-running ones first.
    pub(super) fn reserve_for_trials(
        &self,
        time: Time,
        pool: &PoolName,
        candidates: &mut [Candidate<'_>],
    ) {
        let trials = self.waiting_trials(time, pool);
        let empty = candidates.iter().filter(|candidate| candidate.is_empty()).count();
        let most = fraction_of(candidates.len(), MAX_RESERVED_FRACTION);
        let mut order: Vec<&mut Candidate<'_>> = candidates
            .iter_mut()
            .filter(|candidate| !candidate.is_on_trial() && !candidate.is_empty())
            .collect();
        order.sort_by_key(|candidate| {
            (candidate.has_long_running(), candidate.worker.runs.len(), candidate.id)
        });
        for candidate in order.into_iter().take(most.min(trials.saturating_sub(empty))) {
            candidate.reserve_for_trial();
        }
    }

    /// Counts the crashes under units of a step on each instance. A crash on another instance than
    /// before says more.
    fn count_crashes(&self, ledger: &Ledger, key: &StepKey) -> BTreeMap<InstanceId, usize> {
        let mut counts = BTreeMap::new();
        let occurrence = ledger.job(key.job).and_then(|job| job.occurrences.get(&key.occurrence));
        let units = occurrence.and_then(|state| state.steps.get(usize::from(key.step)));
        for crash in units.into_iter().flatten().flat_map(|unit| &unit.crashes) {
            *counts.entry(crash.instance.clone()).or_default() += 1;
        }
        counts
    }
}

/// Returns a part of a number of workers, at least one.
fn fraction_of(count: usize, fraction: f64) -> usize {
    ((count as f64 * fraction) as usize).max(1)
}
