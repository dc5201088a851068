//! Placing what waits.

use super::{Scheduler, Time};
use crate::place::{self, Request};
use crate::rank::Rank;
use crate::worker::{Run, RunState};
use jobs::command::Placed;
use jobs::definition::Resources;
use jobs::{Ledger, PoolName, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time since a worker's last answer after which it gets no new work: the longest
/// wait of a call for its lists, and the time after which that call is given up.
const SILENCE: Duration = Duration::from_millis(2800);

impl Scheduler {
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

    fn place_pool(
        &mut self,
        time: Time,
        ledger: &Ledger,
        pool: &PoolName,
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) {
        let candidates: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.is_schedulable(time.monotonic, SILENCE)
                    && worker.polling.failures == 0
                    && worker.report.as_ref().is_some_and(|report| report.pool == *pool)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut largest = self.largest_resources(&candidates);
        for (_, key) in self.ranked(time, ledger, pool) {
            let Some(job) = ledger.job(key.job) else { continue };
            let step = &job.definition.steps[usize::from(key.step)];
            if !largest.covers(&step.reserved_resources()) {
                continue;
            }
            let racks = self.racks_of(&key, step);
            let permitted = self.permitted(time, ledger, &key, &candidates);
            let home = self.home_of(time, ledger, &key, &permitted);
            let (now, max_silence, preferred_data_centre) =
                (time.monotonic, SILENCE, home.as_deref());
            let request = Request {
                key,
                step,
                now,
                max_silence,
                units_per_rack: &racks,
                preferred_data_centre,
            };
            let done = if step.gang {
                self.place_gang(time, ledger, &request, &permitted, placed)
            } else {
                self.place_units(time, ledger, &request, &permitted, placed)
            };
            if !self.units_of(time, ledger, &key).is_empty() {
                self.request_tickets(time, ledger, &key, &candidates);
            }
            if done > 0 {
                largest = self.largest_resources(&candidates);
            }
        }
    }

    /// Units of a lasting step on each rack.
    fn racks_of(&self, key: &StepKey, step: &jobs::Step) -> BTreeMap<String, u32> {
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

    /// Data centre for a step: where a unit of it runs already; else the one with the
    /// least room that holds all that wait, or the most room if none does.
    fn home_of(
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
        let place = |id: &WorkerId| Some(&self.workers.get(id)?.report.as_ref()?.data_centre);
        let units =
            ledger.job(key.job)?.occurrences.get(&key.occurrence)?.steps.get(key.step as usize)?;
        let placed = units.iter().flat_map(|unit| &unit.placements).next();
        if let Some(placement) = placed {
            return place(&placement.incarnation.worker).cloned();
        }
        let wanted = self.units_of(time, ledger, key).len() as u64 * step.resources.cpu_milli;
        let mut free: BTreeMap<&String, u64> = BTreeMap::new();
        for id in candidates {
            if let Some(data_centre) = place(id) {
                *free.entry(data_centre).or_default() += self.workers[id].free().cpu_milli;
            }
        }
        let holds = free
            .iter()
            .filter(|(_, resources)| **resources >= wanted)
            .min_by_key(|(_, resources)| **resources);
        let home = holds.or_else(|| free.iter().max_by_key(|(_, resources)| **resources));
        home.map(|(data_centre, _)| (*data_centre).clone())
    }

    fn largest_resources(&self, candidates: &[WorkerId]) -> Resources {
        let mut largest = Resources::default();
        for id in candidates {
            let free = self.workers[id].free();
            largest.cpu_milli = largest.cpu_milli.max(free.cpu_milli);
            largest.memory_mb = largest.memory_mb.max(free.memory_mb);
            largest.accelerators = largest.accelerators.max(free.accelerators);
        }
        largest
    }

    fn ranked(&self, time: Time, ledger: &Ledger, pool: &PoolName) -> Vec<(Rank, StepKey)> {
        let Some(steps) = self.waiting.get(pool) else { return Vec::new() };
        let mut ranked: Vec<(Rank, StepKey)> = steps
            .iter()
            .filter_map(|(key, waiting)| {
                let job = ledger.job(key.job)?;
                let mean = self
                    .mean_job_size
                    .get(&job.queue)
                    .copied()
                    .unwrap_or(waiting.criteria.total_work);
                Some((waiting.criteria.rank(time.monotonic, mean), *key))
            })
            .collect();
        ranked.sort();
        ranked
    }

    fn place_units(
        &mut self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        candidates: &[WorkerId],
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) -> usize {
        let mut count = 0;
        for index in self.units_of(time, ledger, &request.key) {
            let unit = request.key.unit(index);
            let racks = self.racks_of(&request.key, request.step);
            let request = &Request { units_per_rack: &racks, ..*request };
            let Some(id) = self.best(request, candidates, &unit) else { break };
            let number = self.next_run(ledger, &unit);
            self.put(time, request, &id, unit, number);
            placed.entry(id).or_default().push((unit, number));
            count += 1;
        }
        count
    }

    /// Places all members at once or none.
    fn place_gang(
        &mut self,
        time: Time,
        ledger: &Ledger,
        request: &Request<'_>,
        candidates: &[WorkerId],
        placed: &mut BTreeMap<WorkerId, Vec<(UnitKey, RunNumber)>>,
    ) -> usize {
        let indices = self.units_of(time, ledger, &request.key);
        if indices.len() < request.step.count as usize {
            return 0; // members of an earlier run are not gone yet
        }
        let number = indices
            .iter()
            .map(|index| self.next_run(ledger, &request.key.unit(*index)))
            .max()
            .unwrap_or(1);
        for group in self.groups(request, candidates) {
            let mut chosen: Vec<(WorkerId, UnitKey)> = Vec::new();
            for index in &indices {
                let unit = request.key.unit(*index);
                let Some(id) = self.best(request, &group, &unit) else { break };
                self.put(time, request, &id, unit, number);
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

    /// Sets of workers to try for a gang, best first.
    fn groups(&self, request: &Request<'_>, candidates: &[WorkerId]) -> Vec<Vec<WorkerId>> {
        let mut groups = Vec::new();
        if request.step.same_rack {
            let mut racks: BTreeMap<&str, Vec<WorkerId>> = BTreeMap::new();
            for id in candidates {
                let report = self.workers[id].report.as_ref();
                if let Some(rack) = report.and_then(|report| report.rack()) {
                    racks.entry(rack).or_default().push(id.clone());
                }
            }
            groups.extend(racks.into_values());
        }
        groups.push(candidates.to_vec());
        groups
    }

    fn units_of(&self, time: Time, ledger: &Ledger, key: &StepKey) -> Vec<u32> {
        let Some(job) = ledger.job(key.job) else { return Vec::new() };
        let waiting = self.waiting.get(&job.pool).and_then(|steps| steps.get(key));
        let ready = |(index, not_before): (&u32, &Duration)| {
            (*not_before <= time.monotonic).then_some(*index)
        };
        waiting.map(|waiting| waiting.units.iter().filter_map(ready).collect()).unwrap_or_default()
    }

    fn best(
        &self,
        request: &Request<'_>,
        candidates: &[WorkerId],
        unit: &UnitKey,
    ) -> Option<WorkerId> {
        let none = BTreeSet::new();
        let avoid = self.avoided_workers.get(unit).unwrap_or(&none);
        let fits = |id: &&WorkerId| place::is_feasible(&self.workers[*id], request);
        candidates
            .iter()
            .filter(fits)
            .max_by_key(|id| (!avoid.contains(*id), place::score(&self.workers[*id], request)))
            .cloned()
    }

    pub(super) fn next_run(&self, ledger: &Ledger, unit: &UnitKey) -> RunNumber {
        let committed = ledger.unit(unit).map_or(0, |unit| unit.last_run);
        committed.max(self.last_run_numbers.get(unit).copied().unwrap_or(0)) + 1
    }

    fn put(
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
        for steps in self.waiting.values_mut() {
            if let Some(waiting) = steps.get_mut(&request.key) {
                waiting.units.remove(&unit.index);
            }
        }
    }
}
