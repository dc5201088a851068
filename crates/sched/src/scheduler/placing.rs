//! Placement of waiting units on workers.
//!
//! In each pool, waiting steps are tried in the order of their rank. A step that does not
//! fit is skipped, so that steps behind it can use the free resources.

use super::{Scheduler, Time};
use crate::place::{self, Request};
use crate::rank::Rank;
use crate::worker::{Run, RunState};
use jobs::command::Placed;
use jobs::definition::Resources;
use jobs::{Ledger, PoolName, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time since a worker's last answer after which it gets no new work: the longest wait of a
/// poll plus the time after which an unanswered poll is given up.
const MAX_SILENCE: Duration = Duration::from_millis(2800);

impl Scheduler {
    /// Places waiting units of all pools and adds the placements to the next proposal.
    pub(super) fn place(&mut self, time: Time, ledger: &Ledger) {
        let mut placed: BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>> = BTreeMap::new();
        let pools: Vec<PoolName> = self.waiting.keys().cloned().collect();
        for pool in pools {
            self.place_pool(time, ledger, &pool, &mut placed);
        }
        self.waiting.retain(|_, steps| {
            steps.retain(|_, waiting| !waiting.units.is_empty());
            !steps.is_empty()
        });
        for (id, runs) in placed {
            let Some(worker) = self.workers.get(&id) else { continue };
            self.batch.placed.push(Placed { incarnation: worker.incarnation.clone(), runs });
        }
    }

    /// Places the waiting units of one pool, and asks the policy for tickets for steps that
    /// still have waiting units.
    fn place_pool(
        &mut self,
        time: Time,
        ledger: &Ledger,
        pool: &PoolName,
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) {
        self.effort.workers_examined += self.workers.len() as u64;
        let candidates: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.is_schedulable(time.monotonic, MAX_SILENCE)
                    && worker.polling.unanswered == 0
                    && worker.report.as_ref().is_some_and(|report| report.pool == *pool)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut largest = self.largest_resources(&candidates);
        for (_, key) in self.ranked_steps(time, ledger, pool) {
            let Some(job) = ledger.job(key.job) else { continue };
            let step = &job.definition.steps[usize::from(key.step)];
            if !largest.covers(&step.reserved_resources()) {
                continue;
            }
            let racks = self.count_units_per_rack(&key, step);
            let permitted = self.permitted(time, ledger, &key, &candidates);
            let data_centre = self.choose_data_centre(time, ledger, &key, &permitted);
            let (now, max_silence, preferred_data_centre) =
                (time.monotonic, MAX_SILENCE, data_centre.as_deref());
            let request = Request {
                key,
                step,
                now,
                max_silence,
                units_per_rack: &racks,
                preferred_data_centre,
            };
            let placed_count = if step.gang {
                self.place_gang(time, ledger, &request, &permitted, placed)
            } else {
                self.place_units(time, ledger, &request, &permitted, placed)
            };
            if !self.ready_units(time, ledger, &key).is_empty() {
                self.request_tickets(time, ledger, &key, &candidates);
            }
            if placed_count > 0 {
                largest = self.largest_resources(&candidates);
            }
        }
    }

    /// Counts the units of a long-running step on each rack; other steps have no counts.
    fn count_units_per_rack(&self, key: &StepKey, step: &jobs::Step) -> BTreeMap<String, u32> {
        let mut racks = BTreeMap::new();
        if step.long_running {
            for worker in self.workers.values() {
                let rack = worker.report.as_ref().and_then(|report| report.rack());
                if let Some(rack) = rack {
                    *racks.entry(rack.clone()).or_default() += worker.count_runs(key);
                }
            }
        }
        racks
    }

    /// Returns the data centre that a step should run in: the one where a unit of it runs
    /// already, else the one with the least free processor capacity that suffices for all
    /// waiting units, else the one with the most. None for long-running steps and for steps
    /// of one unit.
    fn choose_data_centre(
        &self,
        time: Time,
        ledger: &Ledger,
        key: &StepKey,
        candidates: &[WorkerId],
    ) -> Option<String> {
        let step = &ledger.job(key.job)?.definition.steps[usize::from(key.step)];
        if step.long_running || step.count < 2 {
            return None;
        }
        let data_centre_of =
            |id: &WorkerId| Some(&self.workers.get(id)?.report.as_ref()?.data_centre);
        let units =
            ledger.job(key.job)?.occurrences.get(&key.occurrence)?.steps.get(key.step as usize)?;
        let placed = units.iter().flat_map(|unit| &unit.placements).next();
        if let Some(placement) = placed {
            return data_centre_of(&placement.incarnation.worker).cloned();
        }
        let needed_cpu_milli =
            self.ready_units(time, ledger, key).len() as u64 * step.resources.cpu_milli;
        let mut free: BTreeMap<&String, u64> = BTreeMap::new();
        for id in candidates {
            if let Some(data_centre) = data_centre_of(id) {
                *free.entry(data_centre).or_default() +=
                    self.workers[id].free_resources().cpu_milli;
            }
        }
        let sufficient = free
            .iter()
            .filter(|(_, resources)| **resources >= needed_cpu_milli)
            .min_by_key(|(_, resources)| **resources);
        let chosen = sufficient.or_else(|| free.iter().max_by_key(|(_, resources)| **resources));
        chosen.map(|(data_centre, _)| (*data_centre).clone())
    }

    /// Returns the largest free amount of each resource among the candidates.
    fn largest_resources(&self, candidates: &[WorkerId]) -> Resources {
        let mut largest = Resources::default();
        for id in candidates {
            let free = self.workers[id].free_resources();
            largest.cpu_milli = largest.cpu_milli.max(free.cpu_milli);
            largest.memory_mb = largest.memory_mb.max(free.memory_mb);
            largest.accelerators = largest.accelerators.max(free.accelerators);
        }
        largest
    }

    /// Returns the waiting steps of a pool, the most urgent first.
    fn ranked_steps(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> Vec<(Rank, StepKey)> {
        let Some(steps) = self.waiting.get(pool) else { return Vec::new() };
        let mut ranked_steps: Vec<(Rank, StepKey)> = steps
            .iter()
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

    /// Places the ready units of a step one by one until no worker fits. Returns their
    /// number.
    fn place_units(
        &mut self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        candidates: &[WorkerId],
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) -> usize {
        let mut count = 0;
        for index in self.ready_units(time, ledger, &request.key) {
            let unit = request.key.unit(index);
            let racks = self.count_units_per_rack(&request.key, request.step);
            let request = &Request { units_per_rack: &racks, ..*request };
            let Some(id) = self.best_worker(request, candidates, &unit) else { break };
            let number = self.next_run(ledger, &unit);
            self.add_proposed_run(time, request, &id, unit, number);
            placed.entry(id).or_default().push((unit, number));
            count += 1;
        }
        count
    }

    /// Places all members of a gang or none. Returns their number.
    fn place_gang(
        &mut self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        candidates: &[WorkerId],
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) -> usize {
        let indices = self.ready_units(time, ledger, &request.key);
        if indices.len() < request.step.count as usize {
            return 0; // members of an earlier run have not been released yet
        }
        let number = indices
            .iter()
            .map(|index| self.next_run(ledger, &request.key.unit(*index)))
            .max()
            .unwrap_or(1);
        for group in self.candidate_groups(request, candidates) {
            let mut chosen: Vec<(WorkerId, UnitKey)> = Vec::new();
            for index in &indices {
                let unit = request.key.unit(*index);
                let Some(id) = self.best_worker(request, &group, &unit) else { break };
                self.add_proposed_run(time, request, &id, unit, number);
                chosen.push((id, unit));
            }
            if chosen.len() == indices.len() {
                for (id, unit) in chosen {
                    placed.entry(id).or_default().push((unit, number));
                }
                return indices.len();
            }
            for (id, unit) in chosen {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.remove(unit, number);
                }
                self.last_run_numbers.insert(unit, number - 1); // the number was not used
                self.enqueue(ledger, unit, time.monotonic);
            }
        }
        0
    }

    /// Returns the sets of workers to try for a gang: for a step that should run on one rack
    /// first each rack, then all candidates.
    fn candidate_groups(
        &self,
        request: &Request<'_>,
        candidates: &[WorkerId],
    ) -> Vec<Vec<WorkerId>> {
        let mut candidate_groups = Vec::new();
        if request.step.same_rack {
            let mut racks: BTreeMap<&str, Vec<WorkerId>> = BTreeMap::new();
            for id in candidates {
                let report = self.workers[id].report.as_ref();
                if let Some(rack) = report.and_then(|report| report.rack()) {
                    racks.entry(rack).or_default().push(id.clone());
                }
            }
            candidate_groups.extend(racks.into_values());
        }
        candidate_groups.push(candidates.to_vec());
        candidate_groups
    }

    /// Returns the indices of a step's waiting units that may be placed now.
    fn ready_units(&self, time: Time, ledger: &Ledger, key: &StepKey) -> Vec<u32> {
        let Some(job) = ledger.job(key.job) else { return Vec::new() };
        let waiting = self.waiting.get(&job.pool).and_then(|steps| steps.get(key));
        let ready = |(index, not_before): (&u32, &Duration)| {
            (*not_before <= time.monotonic).then_some(*index)
        };
        waiting.map(|waiting| waiting.units.iter().filter_map(ready).collect()).unwrap_or_default()
    }

    /// Returns the feasible worker with the best score. Workers to be avoided for the unit
    /// are chosen only if no other is feasible.
    fn best_worker(
        &self,
        request: &Request<'_>,
        candidates: &[WorkerId],
        unit: &UnitKey,
    ) -> Option<WorkerId> {
        let none = BTreeSet::new();
        let avoid = self.avoided_workers.get(unit).unwrap_or(&none);
        let is_feasible = |id: &&WorkerId| place::is_feasible(&self.workers[*id], request);
        candidates
            .iter()
            .filter(is_feasible)
            .max_by_key(|id| (!avoid.contains(*id), place::score(&self.workers[*id], request)))
            .cloned()
    }

    /// Returns the next run number of a unit, higher than all used by any leader.
    pub(super) fn next_run(&self, ledger: &Ledger, unit: &UnitKey) -> RunNumber {
        let committed = ledger.unit(unit).map_or(0, |unit| unit.last_run);
        committed.max(self.last_run_numbers.get(unit).copied().unwrap_or(0)) + 1
    }

    /// Reserves a worker's resources for a new run and removes its unit from the waiting
    /// units.
    fn add_proposed_run(
        &mut self,
        time: Time,
        request: &Request<'_>,
        id: &WorkerId,
        unit: UnitKey,
        number: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let run = Run::new(RunState::Proposed, request.step, time.monotonic);
        worker.add(unit, number, run);
        self.last_run_numbers.insert(unit, number);
        self.placed_on.entry(unit).or_default().insert(id.clone());
        for steps in self.waiting.values_mut() {
            if let Some(waiting) = steps.get_mut(&request.key) {
                waiting.units.remove(&unit.index);
            }
        }
    }
}
