//! Placement of waiting units on workers.
//!
//! In each pool, waiting steps are tried in the order of their rank. A step that does not
//! fit is skipped, so that steps behind it can use the free resources.

use super::locality::Racks;
use super::plan::{Draft, Locality, Placement, Plan};
use super::waiting::Bounds;
use super::{Scheduler, Time, Waiting, advice};
use crate::place::{self, Candidate, Request};
use crate::quota::{Allowance, Budget};
use crate::rank::{Rank, scaled};
use crate::worker::{Run, RunState, Worker};
use jobs::command::Placed;
use jobs::definition::Resources;
use jobs::{
    AccountName, Incarnation, Ledger, PoolName, RunNumber, Step, StepKey, UnitKey, WorkerId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time since a worker's last answer after which it gets no new work: the longest wait of a
/// poll plus the time after which an unanswered poll is given up.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(2800);

/// Placement of waiting units.
impl Scheduler {
    /// Places waiting units of all pools and adds the placements to the next proposal.
    pub(super) fn place(&mut self, time: Time, ledger: &Ledger) {
        let mut placed: BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>> = BTreeMap::new();
        let mut pools: BTreeSet<PoolName> = self.waiting.keys().cloned().collect();
        pools.extend(self.pools_with_stragglers(time, ledger));
        let trials = self.waiting_trials(time, ledger);
        self.update_usage(ledger);
        let mut budget = Budget::default();
        let mut undecided = BTreeMap::new();
        for pool in pools {
            self.effort.workers_examined += self.workers.len() as u64;
            let trials = trials.get(&pool).map_or(&[][..], Vec::as_slice);
            let plan = self.plan_pool(time, ledger, &pool, trials, &mut budget);
            for placement in plan.placements {
                self.add_proposed_run(time, ledger, &placement);
                placed
                    .entry(placement.worker)
                    .or_default()
                    .push((placement.unit, placement.number));
            }
            self.record_near_waits(time, &pool, &plan.held_steps);
            self.effort.copies += plan.copies as u64;
            undecided.extend(plan.undecided_steps);
        }
        self.request_all_tickets(time, ledger, &undecided);
        self.waiting.retain(|_, steps| {
            steps.retain(|_, waiting| !waiting.units.is_empty());
            !steps.is_empty()
        });
        for (id, runs) in placed {
            let Some(worker) = self.workers.get(&id) else { continue };
            let (incarnation, instance) = (worker.incarnation.clone(), worker.instance.clone());
            self.batch.placed.push(Placed { incarnation, instance, runs });
        }
    }

    /// Records that units of these steps wait for near places.
    fn record_near_waits(&mut self, time: Time, pool: &PoolName, held: &BTreeSet<StepKey>) {
        let Some(steps) = self.waiting.get_mut(pool) else { return };
        for key in held {
            if let Some(waiting) = steps.get_mut(key) {
                self.effort.near_waits += u64::from(waiting.near_wait_since.is_none());
                waiting.near_wait_since.get_or_insert(time.monotonic);
            }
        }
    }

    /// Decides where the waiting units of one pool run; `trials` are its steps of which a trial may
    /// begin.
    fn plan_pool<'a>(
        &self,
        time: Time,
        ledger: &'a Ledger,
        pool: &PoolName,
        trials: &[StepKey],
        budget: &mut Budget,
    ) -> Plan<'a> {
        let none = BTreeMap::new();
        let steps = self.waiting.get(pool).unwrap_or(&none);
        self.plan_steps(time, ledger, pool, steps, trials, budget)
    }

    /// Decides where the units of some steps of a pool run.
    pub(super) fn plan_steps<'a>(
        &self,
        time: Time,
        ledger: &'a Ledger,
        pool: &PoolName,
        steps: &BTreeMap<StepKey, Waiting>,
        trials: &[StepKey],
        budget: &mut Budget,
    ) -> Plan<'a> {
        let (resting, mut candidates): (Vec<_>, Vec<_>) =
            self.available_workers(time, pool).into_iter().partition(Candidate::is_in_backoff);
        let free_trials = self.free_trials(&candidates);
        if free_trials > 0 {
            self.reserve_for_trials(ledger, trials, &mut candidates);
        }
        let largest = largest_free(candidates.iter().chain(&resting));
        // Of a full pool, or of accounts at their caps, nearly all steps are left out here, before
        // anything is looked up.
        let fitting = steps.iter().filter(|(key, waiting)| {
            (largest.covers(&waiting.resources) || self.has_claim(key))
                && waiting.owner.as_ref().is_none_or(|owner| {
                    let cap = budget.allowance(ledger, &self.usage, Some(owner));
                    cap.admits(&waiting.resources)
                })
        });
        let ranked = self.ranked_steps(time, ledger, fitting);
        if ranked.is_empty() && !steps.is_empty() {
            return Plan::default();
        }
        let shares = self.shares(ledger, steps, &ranked, &candidates);
        let (plan, racks) = (Plan::default(), Racks::new());
        let mut draft = Draft { candidates, resting, largest, free_trials, plan, budget, racks };
        let left_out = match shares {
            None => ranked.into_iter().map(|(_, key)| key).collect(),
            Some(shares) => {
                self.plan_within_shares(time, ledger, steps, ranked, shares, &mut draft)
            }
        };
        for key in left_out {
            self.plan_step(time, ledger, key, &steps[&key], None, &mut draft);
        }
        if draft.plan.placements.len() >= steps.values().map(|w| ready_units(time, w).len()).sum() {
            self.plan_copies(time, ledger, pool, &mut draft);
        }
        draft.plan
    }

    /// Makes the first of two passes over ranked steps: those of accounts that hold less than their
    /// share admits, and of no account. Returns the others, in the order of rank.
    fn plan_within_shares<'s, 'a>(
        &'s self,
        time: Time,
        ledger: &'a Ledger,
        steps: &BTreeMap<StepKey, Waiting>,
        ranked: Vec<(Rank, StepKey)>,
        mut shares: BTreeMap<AccountName, Allowance>,
        draft: &mut Draft<'s, 'a, '_>,
    ) -> Vec<StepKey> {
        let mut left_out = Vec::new();
        for (_, key) in ranked {
            let waiting = &steps[&key];
            let mut share = waiting.owner.as_ref().map(|owner| shares.get_mut(owner));
            let is_left_out = waiting.criteria.is_excess
                || share.as_ref().is_some_and(|share| !share.as_ref().is_some_and(|s| s.is_open()));
            if is_left_out {
                left_out.push(key);
                continue;
            }
            let share = share.as_mut().and_then(|share| share.as_deref_mut());
            self.plan_step(time, ledger, key, waiting, share, draft);
        }
        left_out
    }

    /// Decides where the waiting units of one step run: as many as the account's cap admits. They
    /// are taken from its share, if one is given, as a whole: a step that is cut at a share holds room
    /// and ends late all the same.
    fn plan_step<'s, 'a>(
        &'s self,
        time: Time,
        ledger: &'a Ledger,
        key: StepKey,
        waiting: &Waiting,
        mut share: Option<&mut Allowance>,
        draft: &mut Draft<'s, 'a, '_>,
    ) {
        if !draft.largest.covers(&waiting.resources) && !self.has_claim(&key) {
            return;
        }
        let Some(job) = ledger.job(key.job) else { return };
        let step = &job.definition.steps[usize::from(key.step)];
        let owner = job.owner.as_ref();
        let mut cap = draft.budget.allowance(ledger, &self.usage, owner);
        if !cap.admits(&step.resources) {
            return;
        }
        let trial = self.trial(time, ledger, &key);
        let begins_trial = trial.as_ref().is_some_and(|trial| trial.worker.is_none());
        if begins_trial && draft.free_trials == 0 {
            return;
        }
        let mut indices = ready_units(time, waiting);
        let admitted = admitted_units(step, indices.len(), cap);
        if admitted == 0 || (step.gang && admitted < indices.len()) {
            return;
        }
        if let Some(suspicion) = self.suspicions.get(&key) {
            suspicion.sort(&mut indices);
        }
        indices.truncate(admitted);
        let has_policy = advice::policy(ledger, &key).is_some();
        let last_resort = if step.long_running { draft.resting.as_mut_slice() } else { &mut [] };
        let mut permitted: Vec<&mut Candidate<'_>> = draft
            .candidates
            .iter_mut()
            .chain(last_resort)
            .filter(|candidate| !has_policy || self.ticket(time, &key, candidate.id).is_some())
            .collect();
        let units_per_rack = self.count_units_per_rack(&key, step);
        let data_centre = self.choose_data_centre(ledger, &key, indices.len(), &permitted);
        indices.truncate(draft.budget.admitted(step, indices.len()));
        let request = Request {
            key,
            step,
            units_per_rack: &units_per_rack,
            preferred_data_centre: data_centre.as_deref(),
            trial: trial.as_ref(),
        };
        let terms = self.wait_terms(time, ledger, &request, waiting);
        let mut locality = Locality { terms, racks: &mut draft.racks, has_held: false };
        let placements = if step.gang {
            self.plan_gang(time, ledger, &request, &indices, &mut permitted, &mut locality)
        } else {
            self.plan_units(time, ledger, &request, &indices, &mut permitted, &mut locality)
        };
        if locality.has_held {
            draft.plan.held_steps.insert(key);
        }
        let placed_count = placements.len();
        draft.budget.take_placements(placed_count);
        if begins_trial && placed_count > 0 {
            draft.free_trials -= 1;
        }
        for _ in &placements {
            cap.take(&step.resources);
            if let Some(share) = &mut share {
                share.take(&step.resources);
            }
        }
        draft.budget.set(owner, cap);
        draft.plan.placements.extend(placements.into_iter().map(|(unit, number, worker)| {
            Placement { unit, number, step, worker, is_trial: trial.is_some() }
        }));
        if has_policy && placed_count < indices.len() && self.may_request_tickets(time, &key) {
            // Tickets expire, so those for workers with room come first.
            let mut candidates: Vec<&Candidate<'_>> = draft.candidates.iter().collect();
            candidates.sort_by_key(|candidate| !candidate.is_feasible(&request));
            let ids = candidates.into_iter().map(|candidate| candidate.id.clone()).collect();
            draft.plan.undecided_steps.insert(key, ids);
        }
        if placed_count > 0 {
            draft.largest = largest_free(draft.candidates.iter().chain(&draft.resting));
        }
    }

    /// Returns the workers of a pool that may get new work.
    pub(super) fn candidates(&self, time: Time, pool: &PoolName) -> Vec<Candidate<'_>> {
        let mut candidates = self.available_workers(time, pool);
        candidates.retain(|candidate| !candidate.is_in_backoff());
        candidates
    }

    /// Returns the workers of a pool that may get new work, and those in backoff.
    pub(super) fn available_workers(&self, time: Time, pool: &PoolName) -> Vec<Candidate<'_>> {
        let is_available = |worker: &Worker| {
            !worker.polling.is_silent(time.monotonic)
                && worker.report.as_ref().is_some_and(|report| report.pool == *pool)
                && worker.is_available(time.monotonic, MAX_SILENCE)
        };
        let mut claims = self.claims_by_worker();
        self.workers
            .iter()
            .filter(|(_, worker)| is_available(worker))
            .map(|(id, worker)| {
                let mut candidate = Candidate::new(time.monotonic, id, worker);
                candidate.set_claims(claims.remove(id).unwrap_or_default());
                candidate
            })
            .collect()
    }

    /// Counts the units of a long-running step on each rack; other steps have no counts.
    pub(super) fn count_units_per_rack(&self, key: &StepKey, step: &Step) -> BTreeMap<String, u32> {
        let mut racks = BTreeMap::new();
        if step.long_running {
            for (unit, ids) in self.placed_on.range(key.unit(0)..=key.unit(u32::MAX)) {
                for worker in ids.iter().filter_map(|id| self.workers.get(id)) {
                    let rack = worker.report.as_ref().and_then(|report| report.rack());
                    let runs = worker.runs.range((*unit, 0)..=(*unit, RunNumber::MAX)).count();
                    if let Some(rack) = rack.filter(|_| runs > 0) {
                        *racks.entry(rack.clone()).or_default() += runs as u32;
                    }
                }
            }
        }
        racks
    }

    /// Returns the data centre that a step should run in: the one where a unit of it runs
    /// already, else the one with the least free processor capacity that suffices for all
    /// `unit_count` waiting units, else the one with the most. None for long-running steps and
    /// for steps of one unit.
    fn choose_data_centre(
        &self,
        ledger: &Ledger,
        key: &StepKey,
        unit_count: usize,
        candidates: &[&mut Candidate<'_>],
    ) -> Option<String> {
        let job = ledger.job(key.job)?;
        let step = &job.definition.steps[usize::from(key.step)];
        if step.long_running || step.count < 2 {
            return None;
        }
        let units = job.occurrences.get(&key.occurrence)?.steps().get(usize::from(key.step))?;
        let placed = units.iter().flat_map(|unit| &unit.placements).next();
        if let Some(placement) = placed {
            let worker = self.workers.get(&placement.incarnation.worker)?;
            return worker.report.as_ref().map(|report| report.data_centre.clone());
        }
        let needed_cpu_milli = unit_count as u64 * step.resources.cpu_milli;
        let mut free: BTreeMap<&str, u64> = BTreeMap::new();
        for candidate in candidates {
            if let Some(data_centre) = candidate.data_centre() {
                *free.entry(data_centre).or_default() += candidate.free.cpu_milli;
            }
        }
        let sufficient = free
            .iter()
            .filter(|(_, cpu_milli)| **cpu_milli >= needed_cpu_milli)
            .min_by_key(|(_, cpu_milli)| **cpu_milli);
        let chosen = sufficient.or_else(|| free.iter().max_by_key(|(_, cpu_milli)| **cpu_milli));
        chosen.map(|(data_centre, _)| data_centre.to_string())
    }

    /// Returns the steps, the most urgent first.
    pub(super) fn ranked_steps<'w>(
        &self,
        time: Time,
        ledger: &Ledger,
        steps: impl Iterator<Item = (&'w StepKey, &'w Waiting)>,
    ) -> Vec<(Rank, StepKey)> {
        let mut ranked_steps: Vec<(Rank, StepKey)> = steps
            .filter_map(|(key, waiting)| {
                let job = ledger.job(key.job)?;
                let mean = self
                    .mean_job_work
                    .get(&job.queue)
                    .copied()
                    .unwrap_or(waiting.criteria.total_work);
                Some((waiting.criteria.rank(time.monotonic, mean), *key))
            })
            .collect();
        ranked_steps.sort();
        ranked_steps
    }

    /// Places the units of a step one by one until no worker fits.
    fn plan_units(
        &self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        indices: &[u32],
        candidates: &mut [&mut Candidate<'_>],
        locality: &mut Locality<'_>,
    ) -> Vec<(UnitKey, RunNumber, WorkerId)> {
        let mut units_per_rack = request.units_per_rack.clone();
        let mut placements = Vec::new();
        for index in indices {
            let unit = request.key.unit(*index);
            let request = &Request { units_per_rack: &units_per_rack, ..*request };
            let Some(position) = self.best_candidate(request, candidates, &unit) else {
                match self.bounds(&unit) {
                    Bounds::Anywhere => break,
                    _ => continue, // the next unit may have a place
                }
            };
            if let Some(terms) = &locality.terms {
                let worker = candidates[position].worker;
                if worker.is_slow && terms.avoids_slow(worker.speed_factor(time.monotonic)) {
                    locality.has_held = true;
                    break; // all workers with room are slow, or away from the data
                }
                if let Some(label) = &request.step.affinity {
                    let is_near = candidates[position].has_rack_label(label);
                    let racks = &mut *locality.racks;
                    if is_near {
                        racks.remove(label); // it has less room now
                    } else if self.waits_for_rack(time, ledger, request, terms, candidates, racks) {
                        locality.has_held = true;
                        continue;
                    }
                }
            }
            let best = &mut candidates[position];
            let placed_on = best.worker.incarnation.started_at;
            let mut run = Run::new(RunState::Proposed, request.step, placed_on, time.monotonic);
            run.is_trial = request.trial.is_some();
            best.place(request.key, &run);
            placements.push((unit, self.next_run(ledger, &unit), best.id.clone()));
            if let Some(rack) = best.rack().filter(|_| request.step.long_running) {
                *units_per_rack.entry(rack.clone()).or_default() += 1;
            }
        }
        placements
    }

    /// Places all members of a gang or none.
    fn plan_gang(
        &self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        indices: &[u32],
        candidates: &mut [&mut Candidate<'_>],
        locality: &mut Locality<'_>,
    ) -> Vec<(UnitKey, RunNumber, WorkerId)> {
        if indices.len() < request.step.count as usize {
            return Vec::new(); // members of an earlier run have not been released yet
        }
        let number = indices
            .iter()
            .map(|index| self.next_run(ledger, &request.key.unit(*index)))
            .max()
            .unwrap_or(1);
        let groups = candidate_groups(request, candidates);
        let last = groups.len() - 1;
        for (position, group) in groups.into_iter().enumerate() {
            let is_spread = position == last && request.step.same_rack;
            if is_spread
                && let Some(terms) = locality.terms
                && self.group_waits(time, ledger, request, &terms, candidates)
            {
                locality.has_held = true;
                return Vec::new();
            }
            let mut group: Vec<Candidate<'_>> =
                group.into_iter().map(|position| candidates[position].clone()).collect();
            let mut members: Vec<&mut Candidate<'_>> = group.iter_mut().collect();
            let anywhere = &mut Locality { terms: None, racks: locality.racks, has_held: false };
            let placements =
                self.plan_units(time, ledger, request, indices, &mut members, anywhere);
            if placements.len() < indices.len() {
                continue;
            }
            for (_, _, worker) in &placements {
                if let Some(candidate) = candidates.iter_mut().find(|other| other.id == worker) {
                    let placed_on = candidate.worker.incarnation.started_at;
                    let mut run =
                        Run::new(RunState::Proposed, request.step, placed_on, time.monotonic);
                    run.is_trial = request.trial.is_some();
                    candidate.place(request.key, &run);
                }
            }
            // All members of a gang have the same number.
            return placements.into_iter().map(|(unit, _, id)| (unit, number, id)).collect();
        }
        Vec::new()
    }

    /// Returns the position of the feasible worker with the best score. One that may carry out an earlier
    /// start of the unit comes first, since the unit does not run beside it there. Workers whose runs
    /// failed lately, and then those to be avoided for the unit, are chosen only if no other is feasible.
    fn best_candidate(
        &self,
        request: &Request<'_>,
        candidates: &[&mut Candidate<'_>],
        unit: &UnitKey,
    ) -> Option<usize> {
        let key = request.key;
        let is_one_trial = request.trial.is_some() && !request.step.gang;
        let begun = is_one_trial && candidates.iter().any(|candidate| candidate.tries(&key));
        let none = BTreeSet::new();
        let avoid = self.avoided_workers.get(unit).unwrap_or(&none);
        let bounds = self.bounds(unit);
        let is_allowed = |candidate: &Candidate<'_>| match bounds {
            Bounds::Anywhere => true,
            Bounds::Only(id) => candidate.id == id,
            Bounds::Nowhere => false,
        };
        let returns_to = |candidate: &Candidate<'_>| {
            let Some((_, start)) = candidate.worker.late_start_of(unit) else { return false };
            // Work that lasts has no limit of attempts, but not all workers carry out its starts.
            !avoid.contains(candidate.id) || request.step.long_running && start.holds_unit
        };
        let crashes = |candidate: &Candidate<'_>| {
            request.trial.map_or(0, |trial| candidate.count_crashes(trial))
        };
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| is_allowed(candidate) && (!begun || candidate.tries(&key)))
            .filter(|(_, candidate)| candidate.is_feasible(request))
            .max_by_key(|(_, candidate)| {
                (
                    candidate.is_open(),
                    returns_to(candidate),
                    !avoid.contains(candidate.id),
                    Reverse(crashes(candidate)),
                    place::score(candidate, request),
                )
            })?;
        Some(best.0)
    }

    /// Returns the next run number of a unit, higher than all used by any leader.
    pub(super) fn next_run(&self, ledger: &Ledger, unit: &UnitKey) -> RunNumber {
        let committed = ledger.unit(unit).map_or(0, |unit| unit.last_run);
        committed.max(self.last_run_numbers.get(unit).copied().unwrap_or(0)) + 1
    }

    /// Reserves a worker's resources for a new run and removes its unit from the waiting
    /// units.
    fn add_proposed_run(&mut self, time: Time, ledger: &Ledger, placement: &Placement<'_>) {
        let Placement { unit, number, step, worker: id, is_trial } = placement;
        let queue = ledger.job(unit.job).map(|job| &job.queue);
        let expected = queue.map(|queue| self.estimator.expected(queue, step.estimate));
        let expected = scaled(expected.unwrap_or_default(), self.far_factor_on(id, step));
        self.explain_late_starts_elsewhere(time, ledger, unit, *number, id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let placed_on = worker.incarnation.started_at;
        let mut run = Run::new(RunState::Proposed, step, placed_on, time.monotonic);
        run.is_trial = *is_trial;
        run.expected = expected;
        worker.add(*unit, *number, run);
        self.last_run_numbers.insert(*unit, *number);
        self.placed_on.entry(*unit).or_default().insert(id.clone());
        self.end_waiting(unit);
    }

    /// Explains that a unit is placed though another worker may carry out an earlier start of it.
    fn explain_late_starts_elsewhere(
        &mut self,
        time: Time,
        ledger: &Ledger,
        unit: &UnitKey,
        number: RunNumber,
        id: &WorkerId,
    ) {
        let others = self.placed_on.get(unit).into_iter().flatten().filter(|other| *other != id);
        let late = others.filter_map(|other| {
            let worker = self.workers.get(other)?;
            let (run, start) = worker.late_start_of(unit)?;
            let left_ms = start.until.saturating_sub(time.monotonic).as_millis();
            let Incarnation { worker: other, started_at } = &worker.incarnation;
            Some(format!("run {run} on {other}, incarnation {started_at}, for {left_ms} ms"))
        });
        let late: Vec<String> = late.collect();
        if !late.is_empty() {
            self.effort.placed_beside_late_starts += 1;
            let name = ledger.unit_name(unit).unwrap_or_default();
            let text = format!(
                "run {number} is placed on {id} while a later incarnation may carry out {}",
                late.join("; ")
            );
            self.explain(name, text);
        }
    }
}

/// Returns the indices of a step's waiting units that may be placed now.
fn ready_units(time: Time, waiting: &Waiting) -> Vec<u32> {
    let units = waiting.units.iter();
    units
        .filter(|(_, not_before)| **not_before <= time.monotonic)
        .map(|(index, _)| *index)
        .collect()
}

/// Returns how many units of a step an account's cap admits.
fn admitted_units(step: &Step, count: usize, mut cap: Allowance) -> usize {
    let admits = |_: &usize| {
        let admits = cap.admits(&step.resources);
        cap.take(&step.resources);
        admits
    };
    (0..count).take_while(admits).count()
}

/// Returns the largest amount of each resource among the candidates that is free and not claimed.
fn largest_free<'c, 'a: 'c>(candidates: impl Iterator<Item = &'c Candidate<'a>>) -> Resources {
    candidates
        .fold(Resources::default(), |largest, candidate| largest.larger(&candidate.unclaimed()))
}

/// Returns the sets of candidates to try for a gang, as positions in the list: for a step that
/// should run on one rack first each rack, then all candidates.
fn candidate_groups(request: &Request<'_>, candidates: &[&mut Candidate<'_>]) -> Vec<Vec<usize>> {
    let mut groups = Vec::new();
    if request.step.same_rack {
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (position, candidate) in candidates.iter().enumerate() {
            if let Some(rack) = candidate.rack() {
                racks.entry(rack).or_default().push(position);
            }
        }
        groups.extend(racks.into_values());
    }
    groups.push((0..candidates.len()).collect());
    groups
}
