//! Instances fetched from other pools for work that lasts and fits on no worker of its own pool.
//!
//! Idle and parked instances go first. If there are none, an instance with only work that ends is
//! drained: it gets no new work, and what has not ended in time is stopped.

use super::claims::Claimant;
use super::{Scheduler, Time};
use crate::instance::Instance;
use crate::worker::StopReason;
use jobs::definition::Resources;
use jobs::{InstanceId, Ledger, PoolName, RunNumber, StepKey, UnitKey, WorkerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Wait after which an instance is fetched for work that lasts.
const FETCH_AFTER: Duration = Duration::from_millis(500);
/// Time after which a new leader knows all workers that report.
const REPORTS_AFTER: Duration = Duration::from_secs(2);
/// Time for which the work on an instance that is drained may end by itself.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Time between two looks at all workers for an instance that can be drained.
const DONORS_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an instance is given up that is not empty yet: its work may not be stopped, or is not.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3500);

/// An instance that has to be fetched for work that lasts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fetch {
    /// Label that it must have.
    requires: Option<String>,
    /// Room that it must have.
    resources: Resources,
    /// Number of its units of each step.
    units: BTreeMap<StepKey, u32>,
    /// One of its units.
    unit: UnitKey,
}

/// An instance that is drained to be moved to a pool.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Drain {
    pool: PoolName,
    since: Duration,
    /// Unit that it is drained for.
    unit: UnitKey,
}

impl Scheduler {
    /// Returns the instances that units need which no worker of their pool can cover, each filled in
    /// turn. Units that no instance could hold ask for none.
    pub(super) fn fetches(&self, time: Time, unmet: &[Claimant<'_>]) -> Vec<Fetch> {
        let mut fetches: Vec<Fetch> = Vec::new();
        if time.monotonic < self.began_at + REPORTS_AFTER {
            return fetches;
        }
        let mut capacities: BTreeMap<&Option<String>, Vec<Resources>> = BTreeMap::new();
        // What was too full for a unit is too full for the others of its step.
        let mut first_open: BTreeMap<StepKey, usize> = BTreeMap::new();
        let due = unmet.iter().filter(|c| time.monotonic >= c.waits_since + FETCH_AFTER);
        for Claimant { unit, step, .. } in due {
            let (key, resources) = (unit.step_key(), step.reserved_resources());
            let capacities =
                capacities.entry(&step.requires).or_insert_with(|| self.capacities(&step.requires));
            let exists = |needed: &Resources| capacities.iter().any(|room| room.covers(needed));
            if !exists(&resources) {
                continue;
            }
            let first = first_open.entry(key).or_default();
            let shared = fetches[*first..].iter().position(|fetch| {
                let units = fetch.units.get(&key).copied().unwrap_or_default();
                fetch.requires == step.requires
                    && (step.anti_affinity == 0 || units < step.anti_affinity)
                    && exists(&fetch.resources.plus(&resources))
            });
            *first = shared.map_or(fetches.len(), |position| *first + position);
            if *first == fetches.len() {
                let requires = step.requires.clone();
                let (resources, units) = Default::default();
                fetches.push(Fetch { requires, resources, units, unit: *unit });
            }
            let fetch = &mut fetches[*first];
            fetch.resources = fetch.resources.plus(&resources);
            *fetch.units.entry(key).or_default() += 1;
        }
        fetches
    }

    /// Returns the different capacities of the instances with a label.
    fn capacities(&self, label: &Option<String>) -> Vec<Resources> {
        let mut capacities = Vec::new();
        for instance in self.inventory.instances() {
            if label.as_ref().is_none_or(|label| instance.labels.contains(label))
                && !capacities.contains(&instance.capacity)
            {
                capacities.push(instance.capacity);
            }
        }
        capacities
    }

    /// Returns whether an instance has a label, and room if nothing else is on it.
    fn instance_holds(
        &self,
        id: &InstanceId,
        requires: &Option<String>,
        resources: &Resources,
    ) -> bool {
        self.inventory.get(id).is_some_and(|instance| {
            instance.capacity.covers(resources)
                && requires.as_ref().is_none_or(|label| instance.labels.contains(label))
        })
    }

    /// Moves instances to pools for work that lasts, unless as many are on their way there.
    pub(super) fn fetch_for_lasting_work(
        &mut self,
        time: Time,
        ledger: &Ledger,
        spare: &mut Vec<InstanceId>,
    ) {
        self.end_unneeded_drains();
        let is_look_due = time.monotonic >= self.donors_sought_at + DONORS_INTERVAL;
        let mut donors = None;
        for (pool, fetches) in self.fetches.clone() {
            let on_their_way = self.count_moves_to(&pool)
                + self.drains.values().filter(|drain| drain.pool == pool).count();
            for fetch in fetches.iter().skip(on_their_way) {
                let fits = |id: &InstanceId| {
                    self.inventory.get(id).is_some_and(|instance| instance.pool != pool)
                        && self.instance_holds(id, &fetch.requires, &fetch.resources)
                };
                if let Some(position) = spare.iter().rposition(fits) {
                    let instance = spare.remove(position);
                    self.order_fetch(time, instance, &pool);
                    continue;
                }
                if !is_look_due {
                    continue;
                }
                let donors = donors.get_or_insert_with(|| self.donors(time, ledger));
                if let Some(position) = donors.iter().position(fits) {
                    let instance = donors.remove(position);
                    self.drain(time, instance, &pool, fetch.unit);
                }
            }
        }
        if donors.is_some() {
            self.donors_sought_at = time.monotonic;
        }
        self.advance_drains(time, ledger);
    }

    /// Begins to drain an instance for a unit of a pool.
    fn drain(&mut self, time: Time, instance: InstanceId, pool: &PoolName, unit: UnitKey) {
        self.cordon(&instance);
        let reason = format!("is drained for pool {pool}: work that lasts has no room");
        self.explain(instance.clone(), reason);
        let drain = Drain { pool: pool.clone(), since: time.monotonic, unit };
        self.drains.insert(instance, drain);
    }

    fn order_fetch(&mut self, time: Time, instance: InstanceId, pool: &PoolName) {
        let reason = "no worker of the pool has room for work that lasts";
        self.order_move(time, instance, pool, reason);
    }

    /// Gives up the drains for pools that need fewer instances by now.
    fn end_unneeded_drains(&mut self) {
        let mut needed: BTreeMap<PoolName, usize> =
            self.fetches.iter().map(|(pool, fetches)| (pool.clone(), fetches.len())).collect();
        let mut ended = Vec::new();
        for (instance, drain) in &self.drains {
            match needed.get_mut(&drain.pool) {
                Some(count) if *count > 0 => *count -= 1,
                _ => ended.push(instance.clone()),
            }
        }
        for instance in ended {
            self.drains.remove(&instance);
            self.uncordon(&instance);
        }
    }

    /// Returns the instances that may be drained, those whose work loses least first, and of each pool
    /// no more than it can give.
    fn donors(&self, time: Time, ledger: &Ledger) -> Vec<InstanceId> {
        let mut left: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for instance in self.inventory.instances().filter(|i| !self.drains.contains_key(&i.id)) {
            *left.entry(&instance.pool).or_default() += 1;
        }
        let losses = self
            .inventory
            .instances()
            .filter_map(|instance| Some((self.drain_loss(time, ledger, &instance.id)?, instance)));
        let mut losses: Vec<(u64, &Instance)> = losses.collect();
        losses.sort_by_key(|(loss, instance)| (*loss, &instance.id));
        let mut donors = Vec::new();
        for (_, instance) in losses {
            let count = left.entry(&instance.pool).or_default();
            if *count > self.fewest_instances(ledger, &instance.pool) {
                *count -= 1;
                donors.push(instance.id.clone());
            }
        }
        donors
    }

    /// Returns the work that is lost if an instance is drained; `None` if it can't be.
    fn drain_loss(&self, time: Time, ledger: &Ledger, instance: &InstanceId) -> Option<u64> {
        let worker = self.workers.get(&self.worker_of(instance)?)?;
        let may_drain = !self.drains.contains_key(instance)
            && self.is_movable(time, instance)
            && worker.is_available(time.monotonic, super::placing::MAX_SILENCE)
            && worker.unplaced.is_empty()
            && !worker.runs.values().any(|run| run.long_running);
        if !may_drain {
            return None;
        }
        let mut loss = 0;
        for (run, state) in &worker.runs {
            let tenant = self.tenant(time, ledger, *run, state)?;
            if tenant.ends_after > DRAIN_TIME {
                loss += tenant.loss?;
            }
        }
        Some(loss)
    }

    /// Moves the instances that have been drained, and stops what has not ended in time.
    fn advance_drains(&mut self, time: Time, ledger: &Ledger) {
        for (instance, drain) in self.drains.clone() {
            let worker = self.worker_of(&instance).and_then(|id| self.workers.get(&id));
            let Some(worker) = worker.filter(|_| self.is_movable(time, &instance)) else {
                self.drains.remove(&instance); // it is in maintenance or gone
                continue;
            };
            let is_empty = worker.runs.is_empty() && worker.unplaced.is_empty();
            if is_empty && worker.polling.unanswered == 0 {
                self.drains.remove(&instance);
                self.order_fetch(time, instance, &drain.pool);
                continue;
            }
            if time.monotonic >= drain.since + MAX_DRAIN_TIME {
                self.drains.remove(&instance);
                self.uncordon(&instance);
                continue;
            }
            if time.monotonic < drain.since + DRAIN_TIME {
                continue;
            }
            let id = worker.incarnation.worker.clone();
            let runs: Vec<_> = worker
                .runs
                .iter()
                .filter_map(|(run, state)| self.tenant(time, ledger, *run, state))
                .filter(|tenant| tenant.loss.is_some())
                .map(|tenant| tenant.run)
                .collect();
            for (unit, number) in runs {
                self.displace(time, ledger, &id, (unit, number), &drain.unit);
            }
        }
    }

    /// Stops a run for a unit that lasts.
    pub(super) fn displace(
        &mut self,
        time: Time,
        ledger: &Ledger,
        id: &WorkerId,
        (unit, number): (UnitKey, RunNumber),
        claimant: &UnitKey,
    ) {
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(&(unit, number)));
        if run.is_none_or(|run| run.stop_reason.is_some()) {
            return; // a placement that is not committed yet is discarded later
        }
        let stopped = ledger.unit_name(&unit).unwrap_or_default();
        let text = format!("has waited too long: run {number} of {stopped} is stopped on {id}");
        self.explain(ledger.unit_name(claimant).unwrap_or_default(), text);
        self.stop(time, ledger, id, unit, number, StopReason::Displaced);
        self.displaced.insert((unit, number), (id.clone(), time.monotonic));
    }
}
