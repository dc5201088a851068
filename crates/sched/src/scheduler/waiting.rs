//! Units that wait for free resources.
//!
//! Enqueues the units of a step once its dependencies are done and its occurrence is
//! due, and computes the criteria by which waiting steps are ranked.

use super::placing::MAX_SILENCE;
use super::{JOB_WORK_WEIGHT, Scheduler, Time, Waiting};
use crate::rank::{self, Criteria, Profile};
use crate::worker::StopReason;
use jobs::{Job, JobNumber, Ledger, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Workers on which a unit may run while starts of its earlier runs may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bounds<'a> {
    /// All, as no start holds the unit.
    Anywhere,
    /// The one that may carry out the starts.
    Only(&'a WorkerId),
    /// None.
    Nowhere,
}

impl Scheduler {
    /// Adds a job's declared work to the moving average of its queue.
    pub(super) fn record_job_work(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        let work = profile_of(&mut self.profiles, number, job).total_work();
        let mean = self.mean_job_work.entry(job.queue.clone()).or_insert(work);
        *mean += JOB_WORK_WEIGHT * (work - *mean);
    }

    /// Enqueues the occurrences of a job that have started or have no due time. The others
    /// wait in `due_occurrences`.
    pub(super) fn enqueue_job(&mut self, time: Time, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        if job.definition.steps.iter().any(|step| step.long_running) {
            self.long_running_jobs.insert(number);
        }
        for occurrence in 0..job.definition.occurrences() {
            match job.definition.due(occurrence) {
                Some(due) if !job.occurrences.contains_key(&occurrence) => {
                    self.due_occurrences.insert((due, number, occurrence));
                }
                _ => self.enqueue_occurrence(time, ledger, number, occurrence),
            }
        }
    }

    /// Enqueues the occurrences that have become due.
    pub(super) fn enqueue_due(&mut self, time: Time, ledger: &Ledger) {
        while let Some((due, number, occurrence)) = self.due_occurrences.first().copied() {
            if due > time.wall {
                return;
            }
            self.due_occurrences.remove(&(due, number, occurrence));
            self.enqueue_occurrence(time, ledger, number, occurrence);
        }
    }

    /// Enqueues the steps of an occurrence whose dependencies are done.
    pub(super) fn enqueue_occurrence(
        &mut self,
        time: Time,
        ledger: &Ledger,
        number: JobNumber,
        occurrence: u32,
    ) {
        let Some(job) = ledger.job(number) else { return };
        let profile = profile_of(&mut self.profiles, number, job);
        let steps = 0..job.definition.steps.len() as u16;
        let mut blocked: BTreeMap<u16, u32> =
            steps.clone().map(|step| (step, profile.dependency_count(step))).collect();
        for done in steps.filter(|step| job.is_step_done(occurrence, *step)) {
            for step in profile.dependents(done) {
                blocked.entry(*step).and_modify(|open| *open -= 1);
            }
        }
        for (step, open_dependencies) in blocked {
            let key = StepKey { job: number, occurrence, step };
            if open_dependencies == 0 {
                self.enqueue_step(time, ledger, key);
            } else {
                self.blocked_steps.insert(key, open_dependencies);
            }
        }
    }

    /// Enqueues the units of a step that are neither done nor placed.
    pub(super) fn enqueue_step(&mut self, time: Time, ledger: &Ledger, key: StepKey) {
        let Some(job) = ledger.job(key.job) else { return };
        for index in 0..job.definition.steps[usize::from(key.step)].count {
            let needs_placement = job
                .unit(key.occurrence, key.step, index)
                .is_none_or(|unit| !unit.done && unit.placements.is_empty());
            if needs_placement {
                self.enqueue(time, ledger, key.unit(index), Duration::ZERO);
            }
        }
    }

    /// Enqueues the steps that became unblocked because a step is done.
    pub(super) fn on_step_done(&mut self, time: Time, ledger: &Ledger, done: &StepKey) {
        let Some(job) = ledger.job(done.job) else { return };
        let profile = profile_of(&mut self.profiles, done.job, job);
        for step in profile.dependents(done.step) {
            let key = StepKey { step: *step, ..*done };
            let Some(open_dependencies) = self.blocked_steps.get_mut(&key) else { continue };
            *open_dependencies -= 1;
            if *open_dependencies == 0 {
                self.blocked_steps.remove(&key);
                self.enqueue_step(time, ledger, key);
            }
        }
    }

    /// Lets a unit wait for resources, and first for a delay and for the starts of its earlier runs
    /// that may still be carried out.
    pub(super) fn enqueue(&mut self, time: Time, ledger: &Ledger, unit: UnitKey, delay: Duration) {
        let Some(job) = ledger.job(unit.job) else { return };
        if job.state.is_final() {
            return;
        }
        let key = unit.step_key();
        let is_held = self.bounds(&unit) != Bounds::Anywhere;
        let is_placeable = self.is_placeable(time, ledger, &unit);
        let not_before = if is_placeable { time.monotonic + delay } else { Duration::MAX };
        let is_waiting = self.waiting.get(&job.pool).is_some_and(|steps| steps.contains_key(&key));
        if !is_waiting {
            let profile = profile_of(&mut self.profiles, unit.job, job);
            let waiting = Waiting {
                units: BTreeMap::new(),
                resources: job.definition.steps[usize::from(key.step)].reserved_resources(),
                owner: job.owner.clone(),
                criteria: self.criteria(job, &key, &profile),
                near_wait_since: None,
            };
            self.waiting.entry(job.pool.clone()).or_default().insert(key, waiting);
        }
        let steps = self.waiting.get_mut(&job.pool);
        let Some(waiting) = steps.and_then(|steps| steps.get_mut(&key)) else { return };
        waiting.units.insert(unit.index, not_before);
        if is_held {
            self.held_since.entry(unit).or_insert(time.monotonic);
        }
    }

    /// Removes a unit from the waiting units.
    pub(super) fn end_waiting(&mut self, unit: &UnitKey) {
        self.held_since.remove(unit);
        for steps in self.waiting.values_mut() {
            if let Some(waiting) = steps.get_mut(&unit.step_key()) {
                waiting.units.remove(&unit.index);
            }
        }
    }

    /// Lets a waiting unit wait until no late start holds it.
    pub(super) fn hold_waiting(&mut self, unit: &UnitKey) {
        let waiting = self.waiting.values_mut().filter_map(|steps| steps.get_mut(&unit.step_key()));
        for not_before in waiting.filter_map(|waiting| waiting.units.get_mut(&unit.index)) {
            *not_before = Duration::MAX;
            self.held_since.entry(*unit).or_insert(self.time.monotonic);
        }
    }

    /// Lets waiting units be placed that no late start holds any more, or whose only worker takes them.
    /// All that are held are looked at, so that none depends on the event that ended its hold.
    pub(super) fn release_held(&mut self, time: Time, ledger: &Ledger) {
        let units: Vec<UnitKey> = self.held_since.keys().copied().collect();
        for unit in units {
            if self.bounds(&unit) == Bounds::Anywhere {
                self.held_since.remove(&unit);
            }
            let is_placeable = self.is_placeable(time, ledger, &unit);
            let waiting =
                self.waiting.values_mut().filter_map(|steps| steps.get_mut(&unit.step_key()));
            for not_before in waiting.filter_map(|waiting| waiting.units.get_mut(&unit.index)) {
                *not_before = match is_placeable {
                    true => time.monotonic.min(*not_before),
                    false => Duration::MAX,
                };
            }
        }
    }

    /// Returns whether a unit may be placed as far as the starts of its earlier runs allow: at once or,
    /// if only one worker may run it, as soon as that one has room.
    fn is_placeable(&self, time: Time, ledger: &Ledger, unit: &UnitKey) -> bool {
        let only = match self.bounds(unit) {
            Bounds::Anywhere => return true,
            Bounds::Nowhere => return false,
            Bounds::Only(id) => &self.workers[id],
        };
        let Some(job) = ledger.job(unit.job) else { return false };
        let step = &job.definition.steps[usize::from(unit.step)];
        let is_in_pool = only.report.as_ref().is_some_and(|report| report.pool == job.pool);
        is_in_pool
            && only.is_available(time.monotonic, MAX_SILENCE)
            && !only.polling.is_silent(time.monotonic)
            && !only.health.is_in_backoff(time.monotonic)
            && !only.has_probe()
            && only.free_resources().covers(&step.reserved_resources())
    }

    /// Returns whether a start of a unit may be sent to a worker.
    pub(super) fn may_start_on(&self, unit: &UnitKey, id: &WorkerId) -> bool {
        match self.bounds(unit) {
            Bounds::Anywhere => true,
            Bounds::Only(only) => only == id,
            Bounds::Nowhere => false,
        }
    }

    /// Returns where a unit may run while starts of its earlier runs may still be carried out. A worker
    /// that refuses them and may begin one only after a further restart, which ends what runs there,
    /// may run the unit itself.
    pub(super) fn bounds(&self, unit: &UnitKey) -> Bounds<'_> {
        let ids = self.placed_on.get(unit).into_iter().flatten();
        let mut holders = ids.filter_map(|id| {
            let worker = self.workers.get(id).filter(|worker| worker.holds_unit(unit))?;
            Some((id, worker))
        });
        let Some((id, worker)) = holders.next() else { return Bounds::Anywhere };
        match holders.next().is_none() && worker.takes_back(unit) {
            true => Bounds::Only(id),
            false => Bounds::Nowhere,
        }
    }

    /// Returns the criteria by which a step is ranked. Each occurrence of a scheduled
    /// job counts as accepted when it is due.
    pub(super) fn criteria(&self, job: &Job, key: &StepKey, profile: &Profile) -> Criteria {
        let expected = |declared| self.estimator.expected(&job.queue, declared);
        let mut accepted_at = self.accepted_at.get(&key.job).copied().unwrap_or_default();
        if let (Some(due), Some(first)) =
            (job.definition.due(key.occurrence), job.definition.due(0))
        {
            accepted_at += Duration::from_millis(due.saturating_sub(first));
        }
        Criteria {
            priority: job.priority,
            long_running: job.definition.steps[usize::from(key.step)].long_running,
            is_excess: self.excess_jobs.contains(&key.job),
            accepted_at,
            objective: rank::objective(
                expected(profile.whole_critical_path()),
                job.critical_path_factor,
                job.base_objective,
            ),
            critical_path: expected(profile.critical_path(key.step)),
            remaining_work: profile.remaining_work(key.step) * self.estimator.ratio(&job.queue),
            total_work: profile.total_work(),
        }
    }

    /// Regroups the waiting steps by pool after a configuration change, which may have
    /// assigned queues to other pools.
    pub(super) fn regroup_by_pool(&mut self, ledger: &Ledger) {
        let all = std::mem::take(&mut self.waiting);
        for (key, waiting) in all.into_values().flatten() {
            if let Some(job) = ledger.job(key.job) {
                self.waiting.entry(job.pool.clone()).or_default().insert(key, waiting);
            }
        }
    }

    /// Removes a finished job's waiting units and stops the runs that it still has.
    pub(super) fn on_job_finished(&mut self, time: Time, ledger: &Ledger, number: JobNumber) {
        let units = units_of_job(number);
        let steps = units.start().step_key()..=units.end().step_key();
        for waiting in self.waiting.values_mut() {
            remove_range(waiting, steps.clone());
        }
        remove_range(&mut self.blocked_steps, steps.clone());
        self.due_occurrences.retain(|(_, job, _)| *job != number);
        self.long_running_jobs.remove(&number);
        self.excess_jobs.remove(&number);
        self.profiles.remove(&number);
        self.record_begun(ledger, number);
        remove_range(&mut self.avoided_workers, units.clone());
        remove_range(&mut self.last_run_numbers, units.clone());
        remove_range(&mut self.failed_starts, units.clone());
        remove_range(&mut self.held_since, units.clone());
        self.accepted_at.remove(&number);
        remove_range(&mut self.suspicions, steps.clone());
        self.remove_tickets(steps);
        for (worker, unit, run) in self.find_runs(units.clone()) {
            self.stop(time, ledger, &worker, unit, run, StopReason::Unneeded);
        }
        remove_range(&mut self.placed_on, units);
    }

    /// Records that a worker has begun a unit of a job, or that the job is finished.
    pub(super) fn record_begun(&mut self, ledger: &Ledger, number: JobNumber) {
        let Some(job) = ledger.job(number) else { return };
        if let Some(pending) = self.pending_jobs.get_mut(&job.queue) {
            pending.remove(&number);
        }
    }

    /// Returns the runs, on any worker, of a range of units of unfinished jobs.
    pub(super) fn find_runs(
        &mut self,
        units: RangeInclusive<UnitKey>,
    ) -> Vec<(WorkerId, UnitKey, RunNumber)> {
        let mut found = Vec::new();
        for (unit, ids) in self.placed_on.range(units) {
            for id in ids {
                let Some(worker) = self.workers.get(id) else { continue };
                let runs = worker.runs.range((*unit, 0)..=(*unit, RunNumber::MAX));
                found.extend(runs.map(|((unit, run), _)| (id.clone(), *unit, *run)));
            }
        }
        self.effort.runs_examined += found.len() as u64;
        found
    }
}

/// Returns the unit of a step that may be placed for longest, and since when.
pub(super) fn ready_since(now: Duration, waiting: &Waiting) -> Option<(u32, Duration)> {
    let ready = waiting.units.iter().filter(|(_, not_before)| **not_before <= now);
    ready.map(|(index, since)| (*index, *since)).min_by_key(|(_, since)| *since)
}

/// Returns the profile of an unfinished job, which is computed at its first use.
pub(super) fn profile_of(
    profiles: &mut BTreeMap<JobNumber, Arc<Profile>>,
    number: JobNumber,
    job: &Job,
) -> Arc<Profile> {
    profiles.entry(number).or_insert_with(|| Arc::new(Profile::new(&job.definition))).clone()
}

/// Returns the range of the keys of a job's units.
fn units_of_job(job: JobNumber) -> RangeInclusive<UnitKey> {
    UnitKey { job, occurrence: 0, step: 0, index: 0 }..=UnitKey {
        job,
        occurrence: u32::MAX,
        step: u16::MAX,
        index: u32::MAX,
    }
}

/// Removes the entries with a key in the range.
pub(super) fn remove_range<K: Ord + Copy, V>(map: &mut BTreeMap<K, V>, keys: RangeInclusive<K>) {
    map.extract_if(keys, |_, _| true).for_each(drop);
}
