//! Copies of units on slow or silent workers. See [`crate::straggler`].

use super::plan::{Draft, Placement};
use super::{Scheduler, Time};
use crate::place::{self, Candidate, Request};
use crate::rank::scaled;
use crate::straggler::{self, Cause};
use crate::worker::{Run, RunState, Worker};
use jobs::{Ledger, PoolName, RunNumber, UnitKey, WorkerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A run that ends late and of which a copy would pay.
struct Straggler {
    unit: UnitKey,
    /// How much later the unit would end without a copy.
    late_by: Duration,
}

impl Scheduler {
    /// Returns the pools with runs of which a copy may be started on slow or silent workers.
    pub(super) fn pools_with_stragglers(&self, time: Time, ledger: &Ledger) -> BTreeSet<PoolName> {
        let has_straggler = |worker: &&Worker| {
            let may_be_copied = |((unit, _), run): (&(UnitKey, RunNumber), &Run)| {
                self.may_be_copied(ledger, unit, run)
            };
            (worker.is_unheard(time.monotonic) || worker.is_slow)
                && worker.runs.iter().any(may_be_copied)
        };
        let workers = self.workers.values().filter(has_straggler);
        workers.filter_map(|worker| Some(worker.report.as_ref()?.pool.clone())).collect()
    }

    /// Adds copies of units that would end late to a plan in which all ready units are placed.
    pub(super) fn plan_copies<'a>(
        &self,
        time: Time,
        ledger: &'a Ledger,
        pool: &PoolName,
        draft: &mut Draft<'_, 'a, '_>,
    ) {
        let (mut stragglers, copies) = self.stragglers(time, ledger, pool);
        let free = straggler::free_copies(draft.candidates.len(), copies);
        stragglers.sort_by_key(|straggler| Reverse(straggler.late_by));
        for straggler in stragglers.into_iter().take(free) {
            self.plan_copy(time, ledger, straggler.unit, draft);
        }
    }

    /// Returns the runs of a pool of which copies would pay, and how many have copies.
    fn stragglers(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> (Vec<Straggler>, usize) {
        let (mut found, mut copies) = (Vec::new(), 0);
        for worker in self.workers.values() {
            let is_of_pool = worker.report.as_ref().is_some_and(|report| report.pool == *pool);
            if !is_of_pool {
                continue;
            }
            let is_silent = worker.is_unheard(time.monotonic);
            let is_slow = worker.is_slow;
            if !is_silent && !is_slow {
                continue;
            }
            for ((unit, _), run) in &worker.runs {
                if !self.may_be_copied(ledger, unit, run) {
                    continue;
                }
                if self.placed_on.get(unit).is_some_and(|ids| self.count_runs(unit, ids) > 1) {
                    copies += 1;
                    continue;
                }
                let Some(cause) = cause(time, worker, run, is_silent) else { continue };
                if straggler::pays(cause, run.expected) {
                    let (Cause::Slow(late_by) | Cause::Silent(late_by)) = cause;
                    found.push(Straggler { unit: *unit, late_by });
                }
            }
        }
        (found, copies)
    }

    /// Returns whether copies of a run's unit may run in parallel.
    fn may_be_copied(&self, ledger: &Ledger, unit: &UnitKey, run: &Run) -> bool {
        let Some(job) = ledger.job(unit.job).filter(|job| !job.state.is_final()) else {
            return false;
        };
        let step = job.definition.steps.get(usize::from(unit.step));
        let allows = step.is_some_and(|step| step.speculative && !step.gang && !step.long_running);
        allows
            && !run.is_trial
            && !run.is_stopping_or_ending()
            && !self.suspicions.contains_key(&unit.step_key())
            && ledger.unit(unit).is_some_and(|unit| !unit.done)
    }

    /// Returns the number of runs of a unit on these workers.
    fn count_runs(&self, unit: &UnitKey, ids: &BTreeSet<WorkerId>) -> usize {
        let workers = ids.iter().filter_map(|id| self.workers.get(id));
        workers.map(|w| w.runs.range((*unit, 0)..=(*unit, RunNumber::MAX)).count()).sum()
    }

    /// Plans a copy of a unit on a worker that is not slow and has not had the unit.
    fn plan_copy<'a>(
        &self,
        time: Time,
        ledger: &'a Ledger,
        unit: UnitKey,
        draft: &mut Draft<'_, 'a, '_>,
    ) {
        let Some(job) = ledger.job(unit.job) else { return };
        let step = &job.definition.steps[usize::from(unit.step)];
        let owner = job.owner.as_ref();
        let mut cap = draft.budget.allowance(ledger, &self.usage, owner);
        if !cap.admits(&step.resources) || super::advice::policy(ledger, &unit.step_key()).is_some()
        {
            return;
        }
        let none = BTreeMap::new();
        let request = Request {
            key: unit.step_key(),
            step,
            units_per_rack: &none,
            preferred_data_centre: None,
            trial: None,
        };
        let had = self.placed_on.get(&unit);
        let is_other =
            |candidate: &Candidate<'_>| had.is_none_or(|ids| !ids.contains(candidate.id));
        let best = draft
            .candidates
            .iter_mut()
            .filter(|c| is_other(c) && !c.is_slow && c.is_feasible(&request))
            .max_by_key(|candidate| place::score(candidate, &request));
        let Some(best) = best else { return };
        let placed_on = best.worker.incarnation.started_at;
        best.place(request.key, &Run::new(RunState::Proposed, step, placed_on, time.monotonic));
        let (number, worker) = (self.next_run(ledger, &unit), best.id.clone());
        cap.take(&step.resources);
        draft.budget.set(owner, cap);
        draft.plan.copies += 1;
        draft.plan.placements.push(Placement { unit, number, step, worker, is_trial: false });
    }
}

/// Returns why a run on a slow or silent worker ends late; `None` if it is not known to have begun.
fn cause(time: Time, worker: &Worker, run: &Run, is_silent: bool) -> Option<Cause> {
    let now = time.monotonic;
    if is_silent {
        return Some(Cause::Silent(worker.lease.expiry()?.saturating_sub(now)));
    }
    let started_at = run.started_at?;
    let (percent, seen_at) = run.progress;
    let elapsed = seen_at.saturating_sub(started_at);
    let factor = worker.speed_factor(now);
    let whole = match percent {
        0 => scaled(run.expected, factor),
        percent => scaled(elapsed, 100.0 / f64::from(percent)),
    };
    Some(Cause::Slow((started_at + whole).saturating_sub(now)))
}
