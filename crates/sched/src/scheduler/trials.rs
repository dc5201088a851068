//! Trials of units that may have crashed their workers.
//!
//! All waiting units of a step with a suspected unit are tried on one worker at a time, with
//! nothing else that is recent, so that a further crash has one cause, costs no other job its
//! work, and a step of many deadly units takes down one worker after another and not its pool. A
//! unit is cleared when it is done or has outlived the crashes under it.

use super::{LEASE_DURATION, Scheduler, Time};
use crate::place::{Candidate, Company, Trial};
use crate::worker::Run;
use jobs::{InstanceId, Ledger, PoolName, StepKey, UnitKey, WorkerId, crash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a trial waits for a worker without runs. Then it shares one with runs that are no
/// longer recent: a unit that waits 3 s beside free resources counts as lost.
const MAX_WAIT_FOR_EMPTY: Duration = Duration::from_millis(1500);
/// Time that a trial waits for a worker without recent runs. Then it goes on in any company, and
/// proves nothing.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// Time after which the units of a step no longer wait for its trial: as long as the lease of a
/// worker that does not answer.
const MAX_TRIAL_DURATION: Duration = LEASE_DURATION;
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
    /// Returns the place of a unit of the step in the order of trials, the suspected ones first.
    pub(super) fn rank(&self, index: u32) -> impl Ord + use<> {
        (!self.units.contains(&index), index)
    }

    /// Sorts units of the step into the order of trials.
    pub(super) fn sort(&self, indices: &mut [u32]) {
        indices.sort_by_key(|index| self.rank(*index));
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
            worker: self.trial_worker(time, key),
            crashes: self.count_crashes(ledger, key),
            company: match time.monotonic.saturating_sub(suspicion.since) {
                waited if waited < MAX_WAIT_FOR_EMPTY => Company::None,
                waited if waited < MAX_WAIT => Company::NotRecent,
                _ => Company::Any,
            },
        })
    }

    /// Returns the worker on which a trial of a step goes on. One that has not ended in time, on a
    /// worker that does not answer, no longer counts.
    fn trial_worker(&self, time: Time, key: &StepKey) -> Option<WorkerId> {
        let is_open =
            |run: &Run| run.is_trial && time.monotonic < run.placed_at + MAX_TRIAL_DURATION;
        let is_on_trial = |id: &&WorkerId| {
            let runs = self.workers.get(*id).map(|worker| worker.runs.range(key.range()));
            runs.into_iter().flatten().any(|(_, run)| is_open(run))
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

    /// Returns the steps of which a trial may begin and has not, by pool.
    pub(super) fn waiting_trials(
        &self,
        time: Time,
        ledger: &Ledger,
    ) -> BTreeMap<PoolName, Vec<StepKey>> {
        let mut trials: BTreeMap<PoolName, Vec<StepKey>> = BTreeMap::new();
        for key in self.suspicions.keys() {
            let Some(job) = ledger.job(key.job) else { continue };
            let waiting = self.waiting.get(&job.pool).and_then(|steps| steps.get(key));
            let mut units = waiting.into_iter().flat_map(|waiting| waiting.units.values());
            let is_ready = units.any(|not_before| *not_before <= time.monotonic);
            if is_ready && self.trial_worker(time, key).is_none() {
                trials.entry(job.pool.clone()).or_default().push(*key);
            }
        }
        trials
    }

    /// Reserves workers for trials that wait and find no empty one: those with the fewest runs,
    /// and without long-running ones first.
    pub(super) fn reserve_for_trials(
        &self,
        ledger: &Ledger,
        trials: &[StepKey],
        candidates: &mut [Candidate<'_>],
    ) {
        let mut free = fraction_of(candidates.len(), MAX_RESERVED_FRACTION);
        let mut order: Vec<&mut Candidate<'_>> =
            candidates.iter_mut().filter(|candidate| !candidate.is_on_trial()).collect();
        order.sort_by_key(|candidate| {
            (candidate.has_long_running(), candidate.worker.runs.len(), candidate.id)
        });
        for key in trials {
            let Some(job) = ledger.job(key.job) else { continue };
            let step = &job.definition.steps[usize::from(key.step)];
            let Some(position) = order.iter().position(|candidate| candidate.could_run(step))
            else {
                continue;
            };
            let candidate = order.remove(position);
            if candidate.is_empty() {
                continue; // it needs no reservation
            }
            candidate.reserve_for_trial();
            free -= 1;
            if free == 0 {
                return;
            }
        }
    }

    /// Counts the crashes under units of a step on each instance. A crash on another instance than
    /// before says more.
    fn count_crashes(&self, ledger: &Ledger, key: &StepKey) -> BTreeMap<InstanceId, usize> {
        let mut counts = BTreeMap::new();
        let occurrence = ledger.job(key.job).and_then(|job| job.occurrences.get(&key.occurrence));
        let units = occurrence.and_then(|state| state.steps().get(usize::from(key.step)));
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
